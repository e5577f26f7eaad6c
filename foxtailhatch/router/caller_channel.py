"""One connection of a caller, and what is still owed on it.

An answer that is written to the transport has not reached its caller yet, and a
request that is read behind another one has not begun.  Both show here only.
"""

from enum import StrEnum
from typing import Any, Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from foxtailhatch.core.send_progress import SendProgress
from foxtailhatch.relay.refusals import RefusalReason, RelayRefusal
from foxtailhatch.relay.request_intake import MAX_CHUNKED_RATIO
from foxtailhatch.router.counted_channel import CountedChannel

# Time for a caller to close its end of a connection after an answer, as a close
# with unread bytes would reset the connection and could drop the answer.
LINGER_S = 1.0
TOO_MANY_PIECES = RelayRefusal(RefusalReason.BODY_IN_SMALL_PIECES)
TOO_LONG = RelayRefusal(RefusalReason.BODY_TOO_LARGE)


class RequestStage(StrEnum):
    """How far the exchange of a request has come.

    A request is ``UNREAD`` while it is behind another one, ``RECEIVING`` until
    its body is whole, then ``RELAYING`` until its answer is complete, and then
    ``SENDING`` until the transport has handed all of the answer to the system.
    """

    UNREAD = 'unread'
    RECEIVING = 'receiving'
    RELAYING = 'relaying'
    SENDING = 'sending'


class ChannelObserver(Protocol):
    """Follow the connections of callers."""

    @property
    def max_body_bytes(self) -> int:
        """Return the maximum size of a request body in bytes."""

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop was requested."""

    def channel_opened(self, channel: 'CallerChannel') -> None:
        """Record a new connection."""

    def channel_closed(self, channel: 'CallerChannel') -> None:
        """Record the end of a connection."""

    def record_undelivered(self, request_id: str, why: str) -> None:
        """Record that a caller does not get all of an answer.

        The identifier is empty for a request that was not parsed.
        """


@implementer(IHalfCloseableProtocol)
class CallerChannel(CountedChannel):
    """The HTTP/1.1 connection of a caller."""

    observer: ChannelObserver
    _path: Any
    _networkProducer: Any

    def __init__(self) -> None:
        """Start without a request."""
        super().__init__()
        self.is_closing = False
        self._is_lingering = False
        self._is_delivered = False
        self._was_idle = False
        # Whether input behind the current request is in the system's buffer.
        self._has_unread = False
        self._is_resetting = False
        # The identifiers of answers that the transport still holds in part.
        self._undelivered: list[str] = []
        self._progress = SendProgress()

    @property
    def max_chunked_bytes(self) -> int:
        """Return the most bytes that a chunked request may have."""
        return MAX_CHUNKED_RATIO * self.observer.max_body_bytes

    @property
    def has_more_input(self) -> bool:
        """Return whether bytes have come behind the current request."""
        return self._has_unread or bool(self._buffer) or any(self._dataBuffer)

    @property
    def request_line(self) -> tuple[bytes, bytes, bytes]:
        """Return method, target and version of the request being received."""
        return self._command, self._path, self._version

    @property
    def is_outstanding(self) -> bool:
        """Return whether a request or a part of an answer is pending."""
        return bool(
            self.requests
            or self.is_closing
            or self._undelivered
            or self._has_unread
        )

    def pending_requests(self) -> list[tuple[str, RequestStage]]:
        """Return the requests without a delivered answer, with their stages."""
        pending = [
            (request_id, RequestStage.SENDING)
            for request_id in self._undelivered
        ]
        pending.extend((req.request_id, req.stage) for req in self.requests)
        has_input_behind = self.requests and self.has_more_input
        if (has_input_behind or self._has_unread) and not self.is_closing:
            pending.append(('', RequestStage.UNREAD))
        return pending

    def leave_unread(self) -> int:
        """Return how many of the last bytes received are left for later.

        They are behind a request in progress, and are received again.
        """
        if not self._handlingRequest or self.is_closing:
            return 0
        count = len(self._buffer) + sum(map(len, self._dataBuffer))
        self.clearLineBuffer()  # type: ignore[no-untyped-call]
        self._dataBuffer.clear()
        self._has_unread = bool(count)
        if self._has_unread:
            self._networkProducer.pauseProducing()
        return count

    def request_answered(self, request_id: str) -> None:
        """Record that the answer of a request was written."""
        self._undelivered.append(request_id)
        # A paused producer is resumed once the transport holds nothing.
        self.transport.producerPaused = True

    def close_if_idle(self) -> None:
        """Close a connection that was idle in two calls in a row."""
        is_idle = not self.is_outstanding
        if is_idle and self._was_idle:
            self.loseConnection()
        self._was_idle = is_idle

    def refuse_partial(self, refusal: RelayRefusal) -> None:
        """Refuse a request whose body is incomplete.

        A connection with an incomplete head is closed.
        """
        if not self.requests or self.is_closing:
            return
        req = self.requests[-1]
        if req.stage is not RequestStage.RECEIVING:
            return
        if req.has_head:
            req.refuse_partial(refusal)
        else:
            self.loseConnection()

    def refuse_input(self) -> None:
        """Refuse the request that is being received, and drop what follows.

        The connection ends a short time after the caller can have read the answer,
        also if the caller does not stop sending.
        """
        self.is_dropping = True
        self.persistent = 0
        req = self.requests[-1] if self.requests else None
        if req is not None and req.has_head:
            req.responseHeaders.setRawHeaders(b'connection', [b'close'])
            refusal = TOO_LONG if self.is_too_long else TOO_MANY_PIECES
            req.refuse_partial(refusal)
        else:
            self._respondToBadRequestAndDisconnect()
        self._transferDecoder = None

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection."""
        super().connectionMade()  # type: ignore[no-untyped-call]
        self.observer.channel_opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Record an answer that was not sent completely."""
        is_flushed = self.is_closing and reason.check(ConnectionDone)
        if not is_flushed:
            for request_id in self._undelivered:
                self.observer.record_undelivered(request_id, 'caller_left')
        self.observer.channel_closed(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Drop what follows an answer that ends the connection."""
        self._has_unread = False
        if self.is_dropping:
            return
        if self._is_lingering and self._transferDecoder is None:
            self.resetTimeout()  # type: ignore[no-untyped-call]
            return
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parse a line, unless the connection is being closed."""
        if not self.is_closing:
            super().lineReceived(line)

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the transport has handed over all that was written."""
        self._undelivered.clear()
        if self._is_resetting:
            self.transport.abortConnection()
            return
        super().resumeProducing()  # type: ignore[no-untyped-call]

    def allContentReceived(self) -> None:  # noqa: N802
        """Handle a request, unless it was refused before it was whole."""
        if self._is_lingering:
            self._transferDecoder = None
            return
        super().allContentReceived()

    def loseConnection(self) -> None:  # noqa: N802
        """Send what is written, and close the connection.

        In a planned stop, within the body of a request, or with input that is
        to be dropped, only this end is closed first.  Input behind an answer
        that was broken off is not read, and the connection is reset.
        """
        if self.is_closing:
            return
        self.is_closing = True
        is_broken_off = bool(self.requests) and self._handlingRequest
        if is_broken_off and self.has_more_input:
            self.observer.record_undelivered('', 'behind_cut_answer')
        self._restart_timeout()
        if is_broken_off and self._has_unread:
            self._is_resetting = True
            self.transport.producerPaused = True
            self.transport.startWriting()
            return
        is_partial = self._transferDecoder is not None
        has_to_read = self.observer.is_stopping or self._has_unread
        if is_broken_off or not (is_partial or has_to_read):
            super().loseConnection()  # type: ignore[no-untyped-call]
            return
        self._is_lingering = True
        self._networkProducer.unregisterProducer()
        # Input may be paused behind the request that was answered last.
        self._networkProducer.resumeProducing()
        self.transport.loseWriteConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Wait for the caller to close its end, as all was handed over."""
        self._is_delivered = True
        self._undelivered.clear()
        self.setTimeout(LINGER_S)  # type: ignore[no-untyped-call]

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection, as the caller has closed its end.

        A caller that closes before it has its answer has left.  One that closes
        only its sending end may still read an answer that was written.
        """
        if self.requests and not self.is_closing:
            self.transport.connectionLost(connectionDone)
            return
        if not self.is_closing:
            self.is_closing = True
            self._networkProducer.unregisterProducer()
        self.transport.loseConnection()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close an idle connection, or one that the caller leaves open.

        One whose caller takes nothing of its answer is aborted; as long as it
        takes something, it has time.
        """
        if self._is_delivered:
            self.transport.loseConnection()
        elif self._progress.has_moved(self.transport):
            self._restart_timeout()
        elif self.is_closing:
            self.transport.abortConnection()
        else:
            self.loseConnection()

    def _restart_timeout(self) -> None:
        # The timeout is suspended while a request is in progress.
        timeout_s = self.timeOut or self._savedTimeOut
        self.setTimeout(timeout_s)  # type: ignore[no-untyped-call]

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        if self._is_lingering:
            self.transport.abortConnection()
            return
        super()._respondToBadRequestAndDisconnect()  # type: ignore[no-untyped-call]
        self.clearLineBuffer()  # type: ignore[no-untyped-call]
        self._transferDecoder = None
