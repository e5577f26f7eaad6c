"""Complete bodies of HTTP requests and responses."""

from collections.abc import Callable
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
    """Raised when a response body exceeds the limit of its reader."""


@implementer(IBodyProducer)
class BytesProducer:
    """A request body that is written at once."""

    def __init__(self, body: bytes) -> None:
        """Create a producer of ``body``."""
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> 'Deferred[None]':  # noqa: N802
        """Write the body."""
        consumer.write(self.body)
        return succeed(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body was written at once."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body was written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body was written at once."""


class BodyReader(Protocol):
    """Collect a response body; ``body`` fires with it or with a failure.

    A body without a length ends with its connection.  Only ``lost_by`` knows
    then whether the other side closed it or it broke.
    """

    def __init__(
        self,
        max_bytes: int,
        lost_by: Callable[[], Failure | None],
    ) -> None:
        """Start with an empty body of at most ``max_bytes``."""
        self._lost_by = lost_by
        self.body: Deferred[bytes] = Deferred(self._cancelled)
        self._chunks: list[bytes] = []
        self._remaining_bytes = max_bytes

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Add received bytes to the body, or fail beyond the limit."""
        self._remaining_bytes -= len(data)
        if self._remaining_bytes >= 0:
            self._chunks.append(data)
        elif not self.body.called:
            self.body.errback(BodyTooLarge('the response body is too large'))
            self._disconnect()

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Fire with the complete body, or with a failure if it is truncated."""
        if self.body.called:
            return
        is_complete = reason.check(ResponseDone)
        if reason.check(PotentialDataLoss):
            broken = self._lost_by()
            is_complete = broken is None
            reason = broken or reason
        if is_complete:
            self.body.callback(b''.join(self._chunks))
        else:
            self.body.errback(reason)

    def _cancelled(self, _: Any) -> None:
        """Close the connection of a cancelled read."""
        self._disconnect()

    def _disconnect(self) -> None:
        """Close the connection, which cannot be reused within a body."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
