"""HTTP requests with limits on the body size and the receive time."""

from typing import cast

from twisted.python.failure import Failure
from twisted.web import server

from foxtailhatch.callers.api_context import ApiContext
from foxtailhatch.callers.async_reply import internal_error
from foxtailhatch.callers.channel import CallerChannel
from foxtailhatch.callers.replies import raw_reply, refusal_reply, send
from foxtailhatch.core import ErrorCode, InvariantViolation, Refusal
from foxtailhatch.core.reactor_clock import DelayedCall

NO_ROOM_RETRY_S = 1.0
NO_ROOM = Refusal(
    ErrorCode.QUEUE_FULL,
    'The bodies of the requests at this entry leave no memory for this one.',
    retry_after_s=NO_ROOM_RETRY_S,
)


class LimitedRequest(server.Request):
    """A request that is refused if its body is too large or too slow.

    The refusal is written at once, and the rest of the request is discarded.
    """

    def __init__(
        self, context: ApiContext, channel: CallerChannel, *_: object
    ) -> None:
        """Start the timeout for the arrival of headers and body."""
        server.Request.__init__(self, channel)
        self._context = context
        self._refused = False
        self._body_bytes = 0
        self._held = context.bodies.hold()
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
        elif self._held.resize(self._body_bytes):
            server.Request.handleContentChunk(self, data)
        else:
            self.refuse(NO_ROOM)

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
        self._held.release()
        server.Request.connectionLost(self, reason)

    def finish(self) -> None:
        """Give the memory of the body back with the end of the answer."""
        self._held.release()
        server.Request.finish(self)

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

    def answer_id(self) -> str:
        """Return the id that the answer bears, or an empty string."""
        ids = self.responseHeaders.getRawHeaders(b'X-Request-Id', [b''])
        return ids[-1].decode()

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the request before it is complete."""
        # Twisted needs the method to reply, and sets it only after the body.
        self._refused = True
        self._drop_body()
        # Otherwise the channel sends 100 Continue after the refusal.
        self.requestHeaders.removeHeader(b'Expect')
        self._cancel_timeout()
        self._context.observability.record_request_outcome(refusal.code)
        channel = cast(CallerChannel, self.channel)
        channel.send_last(raw_reply(refusal))

    def _drop_body(self) -> None:
        self._held.release()
        if self.content is not None:
            self.content.close()

    def _refuse_large_body(self) -> None:
        limit = self._context.limits.body_bytes
        message = f'The body is larger than {limit} bytes.'
        self.refuse(Refusal(ErrorCode.BODY_TOO_LARGE, message))

    def _refuse_slow_request(self) -> None:
        self._timeout = None
        seconds = self._context.limits.body_timeout_s
        message = f'The request did not arrive within {seconds} seconds.'
        self.refuse(Refusal(ErrorCode.BODY_TOO_SLOW, message))

    def _cancel_timeout(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
