"""The links between entries, in place of the program's own node."""

from foxtailhatch.core import Address
from foxtailhatch.peers import PeerIdentity


class FakeNode:
    """Carry messages to other entries; a dead one is unreachable."""

    def __init__(self, world, name, inbox):
        self.world = world
        self.address = Address('127.0.0.1', 100 + len(world.nodes))
        self._name = name
        self._inbox = inbox
        world.nodes[self.address] = self
        self._context = world.loop.context_of(name)

    def send(self, address, message, *, reconnect=False):
        peer = self.world.nodes[address]
        if peer.is_dead():
            self._later(self._inbox.handle_unreachable, address)
        else:
            me = PeerIdentity(self._name, self.address)
            peer.receive(me, message)

    def receive(self, peer, message):
        self._later(self._inbox.receive, peer, message)

    def is_dead(self):
        return self._name in self.world.dead

    def _later(self, call, *args):
        self.world.carry(self._name, call, *args, context=self._context)
