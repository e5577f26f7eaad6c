"""Bodies of the two long-lived HTTP requests of a link."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class UpStream:
    """The request body that carries frames to the engine."""

    length = UNKNOWN_LENGTH

    def __init__(self) -> None:
        """Start without a connection; writes are buffered until there is one."""
        self._consumer: Any = None
        self._buffer: list[bytes] = []
        self._closed: Deferred[None] = Deferred()

    def startProducing(  # noqa: N802
        self,
        consumer: Any,
    ) -> 'Deferred[None]':
        """Write the buffer; the request ends when its connection is closed."""
        self._consumer = consumer
        self.write(b''.join(self._buffer))
        self._buffer = []
        return self._closed

    def write(self, lines: bytes) -> None:
        """Send lines now, or when the connection is open."""
        if self._consumer is None:
            self._buffer.append(lines)
        elif lines:
            self._consumer.write(lines)

    def stopProducing(self) -> None:  # noqa: N802
        """Stop writing."""
        self._consumer = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the answers in progress limit the buffered frames."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing, because writing is never paused."""


class DownStream(Protocol):
    """The response body that carries frames from the engine."""

    def __init__(
        self,
        on_bytes: Callable[[bytes], None],
        on_closed: Callable[[str], None],
    ) -> None:
        """Set the callbacks for received bytes and for the end."""
        self.on_bytes = on_bytes
        self.on_closed = on_closed

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Pass received bytes to the callback."""
        self.on_bytes(data)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Report the end of the stream."""
        self.on_closed('closed')

    def disconnect(self) -> None:
        """Close the connection if there is one."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
