"""Peer node: listens, connects, and keeps a bounded pool of links.

Links are opened on demand and reused; when there are too many, the least
recently used one is closed.  Messages are delivered at most once and may be
lost; callers that need a reply must retry.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack, ExitStack
from dataclasses import replace

from returns.result import Success
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from foxtailhatch.core import Address, HybridClock
from foxtailhatch.peers.bounded_connection import ConnectionLimits
from foxtailhatch.peers.codec import decode, encode
from foxtailhatch.peers.handshake import AuthenticatedPeer, PeerIdentity
from foxtailhatch.peers.link import (
    HANDSHAKE_TIMEOUT_S,
    PeerLink,
    authenticate_to_client,
    authenticate_to_server,
)
from foxtailhatch.peers.messages import Message
from foxtailhatch.peers.outbox import Outbox, SendOutcome
from foxtailhatch.peers.pool import LinkPool
from foxtailhatch.peers.server import dial, listen
from foxtailhatch.peers.settings import PeerCounters, PeerSettings

OPENING_LINKS_MAX = 32
UNAUTHENTICATED_MAX = 64
CLOCK_SKEW_MAX_S = 60.0

MessageListener = Callable[[PeerIdentity, Message], None]
UnreachableListener = Callable[[Address], None]


class PeerNode:
    """Send messages to peers by address, and dispatch received messages.

    ``on_message`` is scheduled on the event loop, one callback per message,
    so its exceptions reach the loop's exception handler.  ``on_unreachable``
    is called with an address to which no authenticated connection could be
    opened.
    """

    def __init__(
        self,
        settings: PeerSettings,
        clock: HybridClock,
        on_message: MessageListener,
        on_unreachable: UnreachableListener,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Create the node; :meth:`start` opens the listening socket."""
        self.identity = settings.identity
        self.counters = PeerCounters()
        self._key = settings.key
        self._clock = clock
        self._wall = wall
        self._on_message = on_message
        self._on_unreachable = on_unreachable
        self._pool = LinkPool(settings.links_max)
        self._limits = ConnectionLimits(self._count_refused)
        self._opening: dict[Address, Outbox] = {}
        self._unauthenticated: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: Server | None = None

    async def start(self) -> Address:
        """Start listening, and return the address with the actual port."""
        self._server = await listen(
            self.identity.address, self._accept, self._limits
        )
        port = self._server.sockets[0].getsockname()[1]
        address = replace(self.identity.address, port=port)
        self.identity = replace(self.identity, address=address)
        return address

    async def stop(self) -> None:
        """Close all links and stop listening."""
        server = self._server
        self._server = None
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if server is not None:
            server.close()
            await server.wait_closed()

    def send(
        self,
        address: Address,
        message: Message,
        *,
        reconnect: bool = False,
    ) -> SendOutcome:
        """Queue a message for an address.

        With ``reconnect``, open links to the address are closed and the
        message is sent on a new connection.
        """
        if self._server is None:
            return SendOutcome.STOPPED
        if reconnect:
            self._close_links(address)
        frame = encode(message, self._clock.tick(self._wall()))
        outbox = self._outbox(address)
        outcome = SendOutcome.QUEUE_FULL
        if outbox is not None:
            outcome = outbox.put(frame)
        if outcome is SendOutcome.QUEUED:
            self.counters.bytes_sent += len(frame)
        else:
            self.counters.messages_dropped += 1
        return outcome

    def link_count(self) -> int:
        """Return the number of open links."""
        return len(self._pool)

    def _outbox(self, address: Address) -> Outbox | None:
        link = self._pool.get_newest(address)
        if link is not None:
            return link.outbox
        opening = self._opening.get(address)
        if opening is None and len(self._opening) < OPENING_LINKS_MAX:
            opening = Outbox()
            self._opening[address] = opening
            self._spawn(self._open(address, opening))
        return opening

    def _close_links(self, address: Address) -> None:
        for link in self._pool.links_to(address):
            self._pool.remove(link)
            self._spawn(link.close())

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, address: Address, outbox: Outbox) -> None:
        with ExitStack() as stack:
            stack.callback(self._opening.pop, address, None)
            link = await self._dial(address, outbox)
        if link is None:
            self._on_unreachable(address)
        else:
            await self._run(address, link)

    async def _dial(self, address: Address, outbox: Outbox) -> PeerLink | None:
        try:
            conn = await dial(address, self._limits)
        except (OSError, TimeoutError, InvalidHandshake):
            return None
        proof = authenticate_to_server(conn, self._key, self.identity)
        authenticated = await self._authenticate(conn, proof)
        return (
            None
            if authenticated is None
            else PeerLink(conn, authenticated, outbox)
        )

    def _count_refused(self) -> None:
        self.counters.links_refused += 1

    async def _accept(self, conn: Connection) -> None:
        if len(self._unauthenticated) >= UNAUTHENTICATED_MAX:
            self._count_refused()
            return
        with ExitStack() as stack:
            self._unauthenticated.add(conn)
            stack.callback(self._unauthenticated.discard, conn)
            proof = authenticate_to_client(conn, self._key, self.identity)
            authenticated = await self._authenticate(conn, proof)
        if authenticated is not None:
            link = PeerLink(conn, authenticated, Outbox())
            await self._run(authenticated.peer.address, link)

    async def _authenticate(
        self,
        conn: Connection,
        proof: Coroutine[None, None, AuthenticatedPeer | None],
    ) -> AuthenticatedPeer | None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                authenticated = await proof
        except (TimeoutError, ConnectionClosed):
            authenticated = None
        if (
            authenticated is None
            or authenticated.peer.name == self.identity.name
        ):
            self._count_refused()
            await conn.close()
            return None
        return authenticated

    async def _run(self, address: Address, link: PeerLink) -> None:
        self.counters.links_opened += 1
        evicted = self._pool.add(address, link)
        if evicted is not None:
            self._spawn(evicted.close())
        async with AsyncExitStack() as stack:
            stack.push_async_callback(link.close)
            # Callbacks run in reverse order: the link leaves the pool before it
            # is closed, so that nothing more is queued on it.
            stack.callback(self._pool.remove, link)
            await link.run(self._handle_frame)

    def _handle_frame(self, peer: PeerIdentity, frame: bytes) -> None:
        self.counters.frames_received += 1
        self.counters.bytes_received += len(frame)
        match decode(frame):
            case Success(envelope):
                now = self._wall()
                if envelope.stamp.wall <= now + CLOCK_SKEW_MAX_S:
                    self._clock.receive(envelope.stamp, now)
                loop = asyncio.get_running_loop()
                loop.call_soon(self._on_message, peer, envelope.message)
            case _:
                self.counters.frames_rejected += 1
