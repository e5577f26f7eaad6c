"""The HTTP response to one completion request."""

from collections.abc import Callable

from twisted.python.failure import Failure
from twisted.web.http import Request

from foxtailhatch.callers.answer_timing import TokenTimer
from foxtailhatch.callers.api_context import ApiContext
from foxtailhatch.callers.flow_control import FlowController
from foxtailhatch.callers.replies import Reply, refusal_reply, send
from foxtailhatch.core import ErrorCode, Refusal

LAST_EVENT = b'data: [DONE]\n\n'


class Exchange:
    """Write one answer to the caller's connection.

    The exchange ends once: when its last byte is written, when the caller
    disconnects, or when a slow caller is disconnected.  Later writes are
    dropped.
    """

    def __init__(self, context: ApiContext, req: Request) -> None:
        """Observe when the connection of ``req`` ends."""
        self._context = context
        self._req = req
        self._streaming = False
        self._timer = TokenTimer(context.clock.seconds())
        self.open = True
        self.flow = FlowController(
            context.clock,
            context.limits.slow_caller_s,
            self._on_slow_caller,
        )
        req.notifyFinish().addCallbacks(self._on_finished, self._on_disconnect)

    def record_token(self) -> None:
        """Record the time of a token, whether or not it is written at once."""
        self._timer.record_token(self._context.clock.seconds())

    def write(self, event: bytes) -> None:
        """Write an event of a stream; the first one starts the response."""
        if not self.open:
            return
        if not self._streaming:
            self._start_stream()
        self._req.write(event)

    def finish_stream(self) -> None:
        """Write the last event of a complete stream and end it."""
        if self.open:
            self.write(LAST_EVENT)
            self._end(None, self._req.finish)

    def finish_with_reply(self, reply: Reply) -> None:
        """Send a complete answer that was not streamed."""
        if self.open:
            self._end(None, lambda: send(self._req, reply))

    def fail(self, refusal: Refusal) -> None:
        """End with a refusal, sent as an event if the stream has started."""
        if not self.open:
            return
        reply = refusal_reply(refusal)
        if self._streaming:
            self._req.write(b'event: error\ndata: %b\n\n' % reply.body)
            self._end(refusal.code, self._req.finish)
        else:
            self._end(refusal.code, lambda: send(self._req, reply))

    def _start_stream(self) -> None:
        self._streaming = True
        self._req.setHeader('Content-Type', 'text/event-stream')
        self._req.setHeader('Cache-Control', 'no-store')
        self._req.registerProducer(self.flow, True)

    def _end(self, code: ErrorCode | None, close: Callable[[], None]) -> None:
        self.open = False
        self.flow.cancel_timeout()
        if self._streaming:
            self._req.unregisterProducer()
        close()
        self._record_outcome(code)

    def _on_finished(self, _: None) -> None:
        self.open = False

    def _on_disconnect(self, reason: Failure) -> None:
        if self.open:
            self.open = False
            self._record_outcome(ErrorCode.CANCELLED)
        self.flow.cancel()

    def _on_slow_caller(self) -> None:
        # The send buffer is full, so no error message can reach the caller.
        self.open = False
        self._record_outcome(ErrorCode.SLOW_CALLER)
        self.flow.cancel()
        self._req.channel.forceAbortClient()

    def _record_outcome(self, code: ErrorCode | None) -> None:
        observability = self._context.observability
        observability.record_request_outcome(code)
        observability.record_answer_times(self._timer.times())
