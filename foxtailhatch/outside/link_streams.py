"""The bodies of the two long-lived HTTP requests of a link."""

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
        """Keep what is written before the connection is there."""
        self._consumer: Any = None
        self._kept: list[bytes] = []
        self._ended: Deferred[None] = Deferred()

    def startProducing(  # noqa: N802
        self,
        consumer: Any,
    ) -> 'Deferred[None]':
        """Write what was kept and go on writing until closed."""
        self._consumer = consumer
        self.write(b''.join(self._kept))
        self._kept = []
        return self._ended

    def write(self, lines: bytes) -> None:
        """Send lines now, or as soon as the connection is there."""
        if self._consumer is None:
            self._kept.append(lines)
        elif lines:
            self._consumer.write(lines)

    def stopProducing(self) -> None:  # noqa: N802
        """Write nothing more."""
        self._consumer = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Go on: frames are bounded by the answers in progress."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on."""


class DownStream(Protocol):
    """The response body that carries frames from the engine."""

    def __init__(
        self,
        heard: Callable[[bytes], None],
        ended: Callable[[str], None],
    ) -> None:
        """Take who hears the bytes, and who learns why they ended."""
        self.heard = heard
        self.ended = ended

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Hand over bytes as they arrive."""
        self.heard(data)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Tell that the stream ended."""
        self.ended('closed')

    def disconnect(self) -> None:
        """Close the connection if there is one."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
