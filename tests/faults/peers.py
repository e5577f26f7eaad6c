"""Fake peer node that connects the entries of a simulation."""

from foxtailhatch.core import Address
from foxtailhatch.peers import PeerIdentity


class FakeNode:
    """Deliver messages to other entries; a dead entry is unreachable."""

    def __init__(self, sim, name, inbox):
        self.sim = sim
        self.address = Address('127.0.0.1', 100 + len(sim.nodes))
        self._name = name
        self._inbox = inbox
        sim.nodes[self.address] = self
        self._context = sim.loop.context_of(name)

    def send(self, address, message, *, reconnect=False):
        peer = self.sim.nodes[address]
        if peer.is_dead():
            self._call_later(self._inbox.handle_unreachable, address)
        else:
            me = PeerIdentity(self._name, self.address)
            peer.receive(me, message)

    def receive(self, peer, message):
        self._call_later(self._inbox.receive, peer, message)

    def is_dead(self):
        return self._name in self.sim.dead

    def _call_later(self, call, *args):
        self.sim.transmit(self._name, call, *args, context=self._context)
