"""What the caller has got of an answer, and when."""

from foxtailhatch.relay.event_stream import EventOrder, StreamEvent
from foxtailhatch.relay.request import CallerConnection, EndpointResponse

# Bodies up to this size are passed on once they are whole, so that a cut
# one can be replaced.  Source: eighty times the usual answer of a service.
HELD_BODY_BYTES = 65_536


class Delivery:
    """Pass an answer on: whole events as they come, small bodies as a whole.

    Times are in seconds on the caller's clock of the relay; ``progress_at``
    is when the last event came, or when the request was sent.
    """

    def __init__(
        self,
        caller: CallerConnection,
        last_event_id: int | None,
        now: float,
    ) -> None:
        """Start with nothing passed on."""
        self.is_started = False
        self.last_progress_at = now
        self.first_s: float | None = None
        self.longest_pause_s = float(0)
        self._caller = caller
        self._arrived_at = now
        self._order = EventOrder(last_event_id)
        self._kept: list[bytes] = []
        self._kept_bytes = 0

    @property
    def last_event(self) -> int | None:
        """Return the number of the last event that was passed on."""
        return self._order.last

    @property
    def misses_event(self) -> bool:
        """Tell whether the run skipped an event."""
        return self._order.misses_event

    def begin_run(self, now: float) -> None:
        """Begin to take the answer of another attempt."""
        self._order.begin_run()
        self._kept.clear()
        self._kept_bytes = 0
        if not self.is_started:
            self.last_progress_at = now

    def take_events(
        self,
        answer: EndpointResponse,
        events: list[StreamEvent],
        now: float,
    ) -> None:
        """Pass on the events that follow the last one."""
        if events:
            self._note_progress(now)
        passed = self._order.take(events)
        if passed:
            self.start(answer, now)
            self._caller.write(passed)

    def take_body(
        self,
        answer: EndpointResponse,
        piece: bytes,
        now: float,
    ) -> None:
        """Keep a piece of a body, or pass it on if the body is large."""
        self._kept.append(piece)
        self._kept_bytes += len(piece)
        if self._kept_bytes > HELD_BODY_BYTES or self.is_started:
            self.start(answer, now)
            self._flush()

    def finish(self, answer: EndpointResponse, now: float) -> None:
        """End the caller's answer as complete."""
        self.start(answer, now)
        self._flush()
        self._caller.finish()

    def start(self, answer: EndpointResponse, now: float) -> None:
        """Send status and headers, once."""
        if self.is_started:
            return
        self.is_started = True
        self.first_s = now - self._arrived_at
        headers = answer.headers
        if answer.is_event_stream:
            # A resumed stream may have another length than its first run.
            headers = tuple(
                pair for pair in headers if pair[0] != b'content-length'
            )
        self._caller.start(answer.status, headers)

    def _flush(self) -> None:
        for piece in self._kept:
            self._caller.write(piece)
        self._kept.clear()

    def _note_progress(self, now: float) -> None:
        if self.is_started:
            pause_s = now - self.last_progress_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_progress_at = now
