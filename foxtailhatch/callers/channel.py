"""HTTP channel that knows which answers the transport has taken."""

from typing import Any, cast

from twisted.internet.protocol import connectionDone
from twisted.internet.tcp import Connection
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel

from foxtailhatch.callers.connections import CallerConnections, CutReason
from foxtailhatch.callers.replies import raw_reply
from foxtailhatch.core import Refusal
from foxtailhatch.core.reactor_clock import DelayedCall, ReactorClock
from foxtailhatch.core.send_progress import SendProgress

LINGER_S = 2
# As long as a body may take by default: a caller that sends on for longer has had
# its answer all the time.
MAX_LINGER_S = 10


class CallerChannel(HTTPChannel):
    """A caller's connection.

    It is closed in two steps: the sending side once the transport has taken
    everything, the rest when the caller closes, or has sent nothing for
    ``LINGER_S``, and after ``MAX_LINGER_S`` at last.  Input is discarded
    meanwhile, because a socket that is closed with unread input resets the
    connection, and the caller could lose the answer.
    """

    def __init__(
        self, connections: CallerConnections, clock: ReactorClock
    ) -> None:
        """Create the channel of a connection."""
        HTTPChannel.__init__(self)
        self._clock = clock
        self._connections = connections
        # The ids of finished answers that the transport still holds.
        self._undelivered: list[str] = []
        self._ending = False
        self._has_unread = False
        self._linger: DelayedCall | None = None
        self._linger_until: float = 0
        self._progress = SendProgress()

    def connectionMade(self) -> None:
        """Register the connection."""
        HTTPChannel.connectionMade(self)
        self._connections.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Record the answers that the caller did not get."""
        self._connections.discard(self)
        if self._linger is not None:
            self._linger.cancel()
            self._linger = None
        kind = type(reason.value).__name__
        self._cut_undelivered(f'connection ended: {kind}')
        HTTPChannel.connectionLost(self, reason)

    def dataReceived(self, data: bytes) -> None:
        """Parse input, or discard it once the connection is ending."""
        if not self._ending:
            HTTPChannel.dataReceived(self, data)
            return
        if self._linger is not None:
            self._linger.cancel()
            self._wait_for_caller()
        if not (self.requests or self._has_unread):
            # Input after a refused request may still belong to it.
            self._has_unread = True
            self._record_cut('', CutReason.NOT_READ, 'connection closing')

    def writeHeaders(
        self, version: bytes, code: bytes, reason: bytes, headers: Any
    ) -> None:
        """Write the headers, which may announce the end of the connection.

        While connections are being closed, an answer is the last one unless
        another request was read behind it.
        """
        if self._connections.closing and not self._has_input_behind():
            self.persistent = False
            headers.setRawHeaders(b'Connection', [b'close'])
        HTTPChannel.writeHeaders(self, version, code, reason, headers)

    def requestDone(self, request: Any) -> None:
        """Wait until the transport has taken the answer."""
        self._undelivered.append(request.answer_id())
        self._notify_when_delivered()
        HTTPChannel.requestDone(self, request)

    def resumeProducing(self) -> None:
        """Note that the transport has taken everything written so far."""
        delivered = self._undelivered
        self._undelivered = []
        for request_id in delivered:
            self._connections.recorder.record_delivered(request_id)
        if self._ending:
            self._close_sending_side()
        else:
            HTTPChannel.resumeProducing(self)

    def loseConnection(self) -> None:
        """End the connection once the transport has taken everything."""
        if self._ending:
            return
        self._ending = True
        HTTPChannel.clearLineBuffer(self)
        self._dataBuffer.clear()
        # The timeout was suspended if a request was in progress.
        HTTPChannel.setTimeout(self, self.timeOut or self._savedTimeOut)
        self._notify_when_delivered()
        conn = self._transport()
        conn.resumeProducing()
        conn.startWriting()

    def timeoutConnection(self) -> None:
        """Close an idle connection; abort one whose caller does not read.

        As long as the caller takes something of its answer, it has time.
        """
        has_moved = self._progress.has_moved(self._transport())
        if self._undelivered and has_moved:
            HTTPChannel.setTimeout(self, self.timeOut)
        elif self._ending:
            HTTPChannel.forceAbortClient(self)
        else:
            HTTPChannel.timeoutConnection(self)

    def pending(self) -> int:
        """Return how many requests have no delivered answer yet."""
        if self._ending:
            return len(self._undelivered)
        behind = int(self._has_input_behind())
        return len(self.requests) + len(self._undelivered) + behind

    def receiving(self) -> bool:
        """Return whether a request has begun and is not yet complete."""
        if self._ending or self._handlingRequest:
            return False
        return bool(self.requests or self._has_input_behind())

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the request that is not yet complete, and close."""
        if self.requests:
            self.requests[-1].refuse(refusal)
        else:
            self.send_last(raw_reply(refusal))

    def send_last(self, reply: bytes) -> None:
        """Write a reply to a request that is not complete, and close."""
        self._undelivered.append('')
        self._transport().write(reply)
        self.loseConnection()

    def close_idle(self) -> None:
        """Close the connection unless a request is pending."""
        if not self.pending():
            self.loseConnection()

    def cut(self, cause: str) -> int:
        """Record the pending requests as cut and return their number."""
        count = self.pending()
        self._cut_undelivered(cause)
        if self._ending:
            return count
        reason = CutReason.INCOMPLETE
        if self._handlingRequest:
            reason = CutReason.IN_PROGRESS
        for request in self.requests:
            self._record_cut(request.answer_id(), reason, cause)
        if self._has_input_behind():
            self._record_cut('', CutReason.NOT_READ, cause)
        return count

    def _has_input_behind(self) -> bool:
        # The buffer holds an empty chunk after a body that ended a segment.
        return bool(self._buffer) or any(self._dataBuffer)

    def _cut_undelivered(self, cause: str) -> None:
        undelivered = self._undelivered
        self._undelivered = []
        for request_id in undelivered:
            self._record_cut(request_id, CutReason.NOT_DELIVERED, cause)

    def _record_cut(
        self, request_id: str, reason: CutReason, cause: str
    ) -> None:
        peer = self._transport().getPeer()
        subject = request_id or f'{peer.host}:{peer.port}'
        self._connections.recorder.record_cut(subject, reason, cause)

    def _notify_when_delivered(self) -> None:
        # A paused producer is resumed once the send buffer is empty.
        self._transport().producerPaused = True

    def _close_sending_side(self) -> None:
        if self._linger is None:
            self._transport().loseWriteConnection()
            self._linger_until = self._clock.seconds() + MAX_LINGER_S
            self._wait_for_caller()

    def _wait_for_caller(self) -> None:
        left_s = self._linger_until - self._clock.seconds()
        self._linger = self._clock.callLater(
            max(0, min(LINGER_S, left_s)), self._close
        )

    def _close(self) -> None:
        self._linger = None
        HTTPChannel.loseConnection(self)

    def _transport(self) -> Connection:
        return cast(Connection, self.transport)
