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

from foxtailhatch.relay.body_memory import HeldBody

MAX_BODY_BYTES: Final = 67_108_864
# Each piece takes time of the loop, however small it is.
MAX_BODY_PIECES: Final = 100_000


class BodyTooLarge(Exception):
    """Raised when a response body exceeds a limit of its reader."""


class NoMemory(Exception):
    """Raised when all bodies together leave no room for a response body."""


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
        held: HeldBody,
        lost_by: Callable[[], Failure | None],
    ) -> None:
        """Start with an empty body of at most ``max_bytes``.

        What it takes of the memory for all bodies is ``held``, and given back
        when ``body`` fires.
        """
        self.body: Deferred[bytes] = Deferred(self._cancelled)
        self._max_bytes = max_bytes
        self._held = held
        self._lost_by = lost_by
        self._received = bytearray()
        self._pieces = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Add received bytes to the body, or fail beyond a limit."""
        if self.body.called:
            return
        size = len(self._received) + len(data)
        self._pieces += 1
        if size > self._max_bytes:
            self._fail(BodyTooLarge('the response body is too large'))
        elif self._pieces > MAX_BODY_PIECES:
            self._fail(BodyTooLarge('the response body has too many pieces'))
        elif self._held.resize(size):
            self._received += data
        else:
            self._fail(NoMemory('no memory is left for the response body'))

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
        received = self._take()
        if is_complete:
            self.body.callback(received)
        else:
            self.body.errback(reason)

    def _take(self) -> bytes:
        """Return the body and give its memory back."""
        received = bytes(self._received)
        self._received = bytearray()
        self._held.release()
        return received

    def _fail(self, exc: Exception) -> None:
        self._take()
        self.body.errback(exc)
        self._disconnect()

    def _cancelled(self, _: Any) -> None:
        """Close the connection of a cancelled read."""
        self._take()
        self._disconnect()

    def _disconnect(self) -> None:
        """Close the connection, which cannot be reused within a body."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
