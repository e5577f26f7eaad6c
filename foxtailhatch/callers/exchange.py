"""One generate request from its HTTP request to its end."""

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
    """The caller's side of one answer: write to it, end it, lose it.

    The exchange ends once: with its last byte written, with the caller's
    hang-up, or by being cut off.  Whatever is written afterwards is dropped.
    """

    def __init__(self, context: ApiContext, req: Request) -> None:
        """Watch the connection of ``req``."""
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
        """Take the time of a token, whether or not it is written at once."""
        self._timer.record_token(self._context.clock.seconds())

    def write(self, event: bytes) -> None:
        """Write one event of a stream, after its headers if it is first."""
        if not self.open:
            return
        if not self._streaming:
            self._start_stream()
        self._req.write(event)

    def finish_stream(self) -> None:
        """End a stream that is whole."""
        if self.open:
            self.write(LAST_EVENT)
            self._end(None, self._req.finish)

    def finish_with_reply(self, reply: Reply) -> None:
        """Send a whole answer."""
        if self.open:
            self._end(None, lambda: send(self._req, reply))

    def fail(self, refusal: Refusal) -> None:
        """End with a refusal, as an event if the stream has begun."""
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
        # The caller's buffer is full, so that no error could reach it.
        self.open = False
        self._record_outcome(ErrorCode.SLOW_CALLER)
        self.flow.cancel()
        self._req.channel.forceAbortClient()

    def _record_outcome(self, code: ErrorCode | None) -> None:
        observability = self._context.observability
        observability.record_request_outcome(code)
        observability.record_answer_times(self._timer.times())
