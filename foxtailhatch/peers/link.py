"""Authenticated connection with a peer, opened by either side."""

import asyncio
import secrets
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from foxtailhatch.peers import wire
from foxtailhatch.peers.handshake import (
    NONCE_BYTES,
    TAG_BYTES,
    AuthenticatedPeer,
    ClientHandshake,
    PeerIdentity,
    ServerHandshake,
)
from foxtailhatch.peers.outbox import Outbox

HANDSHAKE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0
READY = b''
MESSAGE_MAX_BYTES = (
    TAG_BYTES + wire.CONFIGURATION_MAX_BYTES + wire.FRAME_MAX_BYTES
)

FrameListener = Callable[[PeerIdentity, bytes], None]


async def authenticate_to_server(
    conn: Connection,
    key: bytes,
    own: PeerIdentity,
) -> AuthenticatedPeer | None:
    """Run the client's handshake; return ``None`` if the server fails it."""
    handshake = ClientHandshake(key, own, secrets.token_bytes(NONCE_BYTES))
    await conn.send(handshake.hello)
    answer = handshake.answer(await _receive(conn))
    if answer is None:
        return None
    proof, authenticated = answer
    _raise_size_limit(conn)
    await conn.send(proof)
    ready = authenticated.authenticators.incoming.verify(await _receive(conn))
    return None if ready is None else authenticated


async def authenticate_to_client(
    conn: Connection,
    key: bytes,
    own: PeerIdentity,
) -> AuthenticatedPeer | None:
    """Run the server's handshake; return ``None`` if the client fails it."""
    handshake = ServerHandshake(key, own, secrets.token_bytes(NONCE_BYTES))
    challenge = handshake.challenge(await _receive(conn))
    if challenge is None:
        return None
    await conn.send(challenge)
    authenticated = handshake.finish(await _receive(conn))
    if authenticated is None:
        return None
    # The client sends no frame before it receives this one.  If this one were
    # sent before the size limit is raised, the client's first large frame
    # could exceed the limit for unauthenticated peers.
    _raise_size_limit(conn)
    await conn.send(authenticated.authenticators.outgoing.sign(READY))
    return authenticated


class PeerLink:
    """Send and receive authenticated frames until either side closes."""

    def __init__(
        self,
        conn: Connection,
        authenticated: AuthenticatedPeer,
        outbox: Outbox,
    ) -> None:
        """Create for a connection after its handshake."""
        self.peer = authenticated.peer
        self.outbox = outbox
        self._conn = conn
        self._authenticators = authenticated.authenticators

    async def run(self, on_frame: FrameListener) -> None:
        """Transfer frames until the connection closes or times out.

        A frame with a wrong tag ends the connection, as does a peer that
        sends nothing for ``IDLE_TIMEOUT_S``.
        """
        async with AsyncExitStack() as stack:
            writer = asyncio.ensure_future(self._write())
            stack.push_async_callback(_cancel, writer)
            with suppress(ConnectionClosed, TimeoutError):
                await self._read(on_frame)

    async def close(self) -> None:
        """Close the connection, which also ends :meth:`run`."""
        await self._conn.close()

    async def _write(self) -> None:
        while True:
            frame = await self.outbox.get()
            await self._conn.send(self._authenticators.outgoing.sign(frame))

    async def _read(self, on_frame: FrameListener) -> None:
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                received = await _receive(self._conn)
            frame = self._authenticators.incoming.verify(received)
            if frame is None:
                return
            on_frame(self.peer, frame)


async def _cancel(task: asyncio.Future[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _receive(conn: Connection) -> bytes:
    frame = await conn.recv(decode=False)
    return bytes(frame)


def _raise_size_limit(conn: Connection) -> None:
    """Allow an authenticated peer to send frames of the full size."""
    conn.protocol.max_message_size = MESSAGE_MAX_BYTES
