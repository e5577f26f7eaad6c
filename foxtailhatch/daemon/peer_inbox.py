"""Where messages of peers arrive, also before the entry is joined."""

from foxtailhatch.core import Address
from foxtailhatch.daemon.guard import Guard
from foxtailhatch.daemon.peer_loop import PeerLoop
from foxtailhatch.peers import Message, PeerIdentity


class PeerInbox:
    """Pass messages on under the guard; drop those that come too early.

    The node must listen before the entry can tell its own address, so a
    message may come before there is anybody to take it.  Peers ask again.
    """

    def __init__(self) -> None:
        """Start closed."""
        self._guard: Guard | None = None
        self._loop: PeerLoop | None = None

    def connect(self, guard: Guard, loop: PeerLoop) -> None:
        """Pass messages on to ``loop`` from now on."""
        self._guard = guard
        self._loop = loop

    def receive(self, peer: PeerIdentity, message: Message) -> None:
        """Take a message of a peer."""
        if self._guard is not None and self._loop is not None:
            self._guard.run(self._loop.receive, peer, message)

    def handle_unreachable(self, address: Address) -> None:
        """Learn that no connection to a peer could be opened."""
        if self._guard is not None and self._loop is not None:
            self._guard.run(self._loop.handle_unreachable, address)

    async def step(self) -> None:
        """Send what is due."""
        if self._loop is not None:
            await self._loop.step()
