"""HTTP requests with limits on the body size and the receive time."""

from http import HTTPStatus
from typing import cast

from twisted.internet.tcp import Connection
from twisted.python.failure import Failure
from twisted.web import server
from twisted.web.http import HTTPChannel

from foxtailhatch.callers.api_context import ApiContext
from foxtailhatch.callers.async_reply import internal_error
from foxtailhatch.callers.errors import HTTP_STATUSES, error_body
from foxtailhatch.callers.replies import refusal_reply, send
from foxtailhatch.core import ErrorCode, InvariantViolation, Refusal
from foxtailhatch.core.reactor_clock import DelayedCall

LINGER_S = 2


class LimitedRequest(server.Request):
    """A request that is refused if its body is too large or too slow.

    The refusal is written at once.  Further input is discarded for
    ``LINGER_S`` before the connection is closed: closing it with unread input
    would reset it, and the caller could lose the refusal.
    """

    def __init__(
        self, context: ApiContext, channel: HTTPChannel, *_: object
    ) -> None:
        """Start the timeout for the arrival of headers and body."""
        server.Request.__init__(self, channel)
        self._context = context
        self._refused = False
        self._body_bytes = 0
        self._timeout: DelayedCall | None = context.clock.callLater(
            context.limits.body_timeout_s,
            self._refuse_slow_request,
        )

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose Content-Length exceeds the limit."""
        server.Request.gotLength(self, length)
        if length is not None and length > self._context.limits.body_bytes:
            self._refuse_large_body()

    def handleContentChunk(self, data: bytes) -> None:
        """Add a chunk to the body, or refuse it beyond the limit."""
        if self._refused:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._context.limits.body_bytes:
            self._refuse_large_body()
        else:
            server.Request.handleContentChunk(self, data)

    def requestReceived(
        self,
        command: bytes,
        path: bytes,
        version: bytes,
    ) -> None:
        """Process the request unless it was refused while it was received."""
        if self._refused:
            self.channel.loseConnection()
            return
        self._cancel_timeout()
        server.Request.requestReceived(self, command, path, version)

    def connectionLost(self, reason: Failure) -> None:
        """Cancel the timeout when the connection is lost."""
        self._cancel_timeout()
        server.Request.connectionLost(self, reason)

    def processingFailed(self, reason: Failure) -> Failure:
        """Reply with an internal error, and report a violated invariant."""
        if isinstance(reason.value, InvariantViolation):
            self._context.observability.invariant_broken(reason.value)
        self._context.observability.record_request_outcome(ErrorCode.INTERNAL)
        if self.startedWriting:
            self.channel.forceAbortClient()
        else:
            send(self, refusal_reply(internal_error()))
        return reason

    def _refuse_large_body(self) -> None:
        limit = self._context.limits.body_bytes
        message = f'The body is larger than {limit} bytes.'
        self._refuse(Refusal(ErrorCode.BODY_TOO_LARGE, message))

    def _refuse_slow_request(self) -> None:
        self._timeout = None
        seconds = self._context.limits.body_timeout_s
        message = f'The request did not arrive within {seconds} seconds.'
        self._refuse(Refusal(ErrorCode.BODY_TOO_SLOW, message))

    def _refuse(self, refusal: Refusal) -> None:
        # Twisted needs the method to reply, and sets it only after the body.
        self._refused = True
        # Otherwise the channel sends 100 Continue after the refusal.
        self.requestHeaders.removeHeader(b'Expect')
        self._cancel_timeout()
        self._context.observability.record_request_outcome(refusal.code)
        self._connection().write(raw_reply(refusal))
        self._timeout = self._context.clock.callLater(
            LINGER_S, self._close_connection
        )

    def _close_connection(self) -> None:
        self._timeout = None
        self._connection().loseConnection()

    def _connection(self) -> Connection:
        return cast(Connection, self.channel.transport)

    def _cancel_timeout(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None


def raw_reply(refusal: Refusal) -> bytes:
    """Return a complete HTTP response with ``Connection: close``."""
    status = HTTPStatus(HTTP_STATUSES[refusal.code])
    body = error_body(refusal)
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + body
