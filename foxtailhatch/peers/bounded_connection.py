"""Websocket connections that accept no more than peers send one another.

The library limits each message.  It limits neither those that arrive on all
connections together, nor the connections that have not asked for a websocket,
nor control frames, which it answers without waiting until the answers are read.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.frames import Frame, Opcode

from foxtailhatch.relay.body_memory import BodyMemory

# Connections that have not yet asked for a websocket.
STRANGERS_MAX = 64
HEAD_MAX_BYTES = 4096
# Peers send one ping in PING_INTERVAL_S and a message in IDLE_TIMEOUT_S.
CONTROL_FRAMES_MAX = 64
# Received bytes are parsed in pieces, so that a fault ends the rest of a read.
PIECE_BYTES = 4096


class _Bounded:
    """What a connection may receive, on either side."""

    transport: asyncio.Transport
    limits: 'ConnectionLimits'

    def start_counting(self) -> None:
        """Start with nothing received."""
        self._held = self.limits.memory.hold()
        self._partial_bytes = 0
        self._head_bytes = 0
        self._control_frames = 0
        self.is_open = False

    def receive(self, received: bytes, parse: Callable[[bytes], None]) -> None:
        """Parse received bytes until they exceed a limit."""
        for start in range(0, len(received), PIECE_BYTES):
            if self.transport.is_closing():
                return
            piece = received[start : start + PIECE_BYTES]
            if not self.is_open:
                self._head_bytes += len(piece)
            self._partial_bytes += len(piece)
            if not self._held.resize(self._partial_bytes):
                self.refuse()
                return
            parse(piece)
            if not self.is_open and self._head_bytes > HEAD_MAX_BYTES:
                self.refuse()

    def refuse(self) -> None:
        """Count the connection as refused, and end it without reading on."""
        if not self.transport.is_closing():
            self.limits.on_refused()
        self.release()
        self.transport.abort()

    def release(self) -> None:
        """Give the memory of an incomplete message back."""
        self._partial_bytes = 0
        self._held.release()

    def accepts(self, event: object) -> bool:
        """Return whether an event may follow those before it."""
        self.is_open = True
        self.release()
        if not isinstance(event, Frame):
            return True
        if event.opcode is Opcode.CLOSE:
            return True
        if event.opcode in {Opcode.PING, Opcode.PONG}:
            self._control_frames += 1
            return self._control_frames <= CONTROL_FRAMES_MAX
        self._control_frames = 0
        # Peers send each message as one frame.
        return event.opcode is Opcode.BINARY and event.fin


class BoundedClientConnection(ClientConnection, _Bounded):
    """A connection that this side opened."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with nothing received."""
        self.start_counting()
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give the memory of an incomplete message back."""
        self.release()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes within the limits."""
        self.receive(data, super().data_received)

    def process_event(self, event: Any) -> None:
        """Process an event that may follow those before it."""
        if self.accepts(event):
            super().process_event(event)
        else:
            self.refuse()


class BoundedServerConnection(ServerConnection, _Bounded):
    """A connection that another side opened."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with nothing received, unless too many connections wait."""
        self.start_counting()
        super().connection_made(transport)
        if not self.limits.admit(self):
            self.refuse()

    def connection_lost(self, exc: Exception | None) -> None:
        """Make room for another connection."""
        self.limits.discard(self)
        self.release()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes within the limits."""
        self.receive(data, super().data_received)

    def process_event(self, event: Any) -> None:
        """Process an event that may follow those before it."""
        if self.accepts(event):
            self.limits.discard(self)
            super().process_event(event)
        else:
            self.refuse()


class ConnectionLimits:
    """What all connections of a node may take together."""

    def __init__(self, on_refused: Callable[[], None]) -> None:
        """Start without connections; ``on_refused`` counts those refused."""
        self.on_refused = on_refused
        self.memory = BodyMemory()
        # The connections that have not yet asked for a websocket.
        self._waiting: set[BoundedServerConnection] = set()

    def client(self, *args: Any, **options: Any) -> BoundedClientConnection:
        """Return a new connection that this side opens."""
        conn = BoundedClientConnection(*args, **options)
        conn.limits = self
        return conn

    def server(self, *args: Any, **options: Any) -> BoundedServerConnection:
        """Return a new connection that another side opened."""
        conn = BoundedServerConnection(*args, **options)
        conn.limits = self
        return conn

    def admit(self, conn: BoundedServerConnection) -> bool:
        """Return whether a new connection may wait."""
        if len(self._waiting) >= STRANGERS_MAX:
            return False
        self._waiting.add(conn)
        return True

    def discard(self, conn: BoundedServerConnection) -> None:
        """Remove a connection that has asked for a websocket or ended."""
        self._waiting.discard(conn)
