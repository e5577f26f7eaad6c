"""Whole bodies of HTTP requests and responses."""

from typing import Any, Final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

MAX_BODY_BYTES: Final = 67_108_864


class BodyTooLarge(Exception):
    """The reason of a reader whose body exceeds its limit."""


@implementer(IBodyProducer)
class BytesProducer:
    """A request body that is at hand and written at once."""

    def __init__(self, body: bytes) -> None:
        """Take the whole body."""
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> 'Deferred[None]':  # noqa: N802
        """Write the body."""
        consumer.write(self.body)
        return succeed(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; all is written."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; all is written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; all is written."""


class BodyReader(Protocol):
    """Collect a response body; ``whole`` fires with it or with a failure."""

    def __init__(self, max_bytes: int) -> None:
        """Start with nothing read."""
        self.whole: Deferred[bytes] = Deferred(self._cancelled)
        self._chunks: list[bytes] = []
        self._left = max_bytes

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Keep bytes as they come."""
        self._left -= len(data)
        if self._left >= 0:
            self._chunks.append(data)
        elif not self.whole.called:
            self.whole.errback(BodyTooLarge('the answer is too large'))
            self._disconnect()

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Give the whole body, or say that its end is missing."""
        if self.whole.called:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.whole.callback(b''.join(self._chunks))
        else:
            self.whole.errback(reason)

    def _cancelled(self, _: Any) -> None:
        """Give up: the rest of the body is of no use."""
        self._disconnect()

    def _disconnect(self) -> None:
        """Close the connection, which nothing else can use."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
