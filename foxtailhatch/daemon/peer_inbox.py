"""Receive peer messages, also before the entry is fully built."""

from foxtailhatch.core import Address
from foxtailhatch.daemon.guard import Guard
from foxtailhatch.daemon.peer_loop import PeerLoop
from foxtailhatch.peers import Message, PeerIdentity


class PeerInbox:
    """Forward messages under the guard; drop those that arrive too early.

    The node must listen before the entry knows its own address, so a message
    may arrive before the peer loop exists.  Peers repeat their messages.
    """

    def __init__(self) -> None:
        """Start without a loop; messages are dropped until :meth:`connect`."""
        self._guard: Guard | None = None
        self._loop: PeerLoop | None = None

    def connect(self, guard: Guard, loop: PeerLoop) -> None:
        """Forward messages to ``loop`` from now on."""
        self._guard = guard
        self._loop = loop

    def receive(self, peer: PeerIdentity, message: Message) -> None:
        """Forward a message from an authenticated peer."""
        if self._guard is not None and self._loop is not None:
            self._guard.run(self._loop.receive, peer, message)

    def handle_unreachable(self, address: Address) -> None:
        """Forward that no connection to a peer could be opened."""
        if self._guard is not None and self._loop is not None:
            self._guard.run(self._loop.handle_unreachable, address)

    async def step(self) -> None:
        """Run one step of the peer loop, if it exists."""
        if self._loop is not None:
            await self._loop.step()
