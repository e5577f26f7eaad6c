"""Delivery of a response to the caller."""

from foxtailhatch.relay.event_stream import EventSequencer, StreamEvent
from foxtailhatch.relay.event_syntax import EventFault
from foxtailhatch.relay.request import CallerConnection, EndpointResponse

# Bodies up to this size are forwarded only when complete, so that a truncated
# one can be replaced by a retry.  A usual service response is eighty times
# smaller.
MAX_BUFFERED_BODY_BYTES = 65_536


class Delivery:
    """Forward a response to the caller, across attempts.

    Complete events of a stream are forwarded as they arrive; small bodies
    only when they are complete.  Times are in seconds on the relay's clock.
    ``last_progress_at`` is when the last event arrived, or when the request
    was sent if none has.
    """

    def __init__(
        self,
        caller: CallerConnection,
        last_event_id: int | None,
        now: float,
        last_possible: int | None = None,
    ) -> None:
        """Start with nothing forwarded; no event follows ``last_possible``."""
        self.is_started = False
        self.last_progress_at = now
        self.time_to_first_byte_s: float | None = None
        self.longest_gap_s = float(0)
        self._caller = caller
        self._arrived_at = now
        self._sequencer = EventSequencer(last_event_id, last_possible)
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0

    @property
    def last_event(self) -> int | None:
        """Return the number of the last forwarded event."""
        return self._sequencer.last

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the part of a body that is not forwarded yet."""
        return self._buffered_bytes

    @property
    def event_fault(self) -> EventFault | None:
        """Return why an event of the current attempt is not the next one."""
        return self._sequencer.fault

    @property
    def rejected(self) -> bytes:
        """Return the first bytes of the event that is not the next one."""
        return self._sequencer.rejected

    def fault_of(self, event: StreamEvent) -> EventFault | None:
        """Return why an event of another attempt is not the next one, if so."""
        return self._sequencer.fault_of(event.number)

    def start_attempt(self, now: float) -> None:
        """Prepare for the response of another attempt."""
        self._sequencer.start_attempt()
        self._buffered.clear()
        self._buffered_bytes = 0
        if not self.is_started:
            self.last_progress_at = now

    def deliver_events(
        self,
        response: EndpointResponse,
        events: list[StreamEvent],
        now: float,
    ) -> None:
        """Forward the events that follow the last forwarded one."""
        passed = self._sequencer.accept(events)
        if passed:
            self._record_progress(now)
            self.start(response, now)
            self._caller.write(passed)

    def deliver_body(
        self,
        response: EndpointResponse,
        chunk: bytes,
        now: float,
    ) -> None:
        """Buffer a chunk of a body, or forward it if the body is large."""
        self._buffered.append(chunk)
        self._buffered_bytes += len(chunk)
        if self._buffered_bytes > MAX_BUFFERED_BODY_BYTES or self.is_started:
            self.forward_buffered(response, now)

    def forward_buffered(self, response: EndpointResponse, now: float) -> None:
        """Forward what is buffered of a body before it is complete."""
        self.start(response, now)
        self._flush()

    def finish(self, response: EndpointResponse, now: float) -> None:
        """End the caller's response as complete."""
        self.start(response, now)
        self._flush()
        self._caller.finish()

    def start(self, response: EndpointResponse, now: float) -> None:
        """Send status and headers if they have not been sent."""
        if self.is_started:
            return
        self.is_started = True
        self.time_to_first_byte_s = now - self._arrived_at
        headers = response.headers
        if response.is_event_stream:
            # A resumed stream may have another length than its first attempt.
            headers = tuple(
                pair for pair in headers if pair[0] != b'content-length'
            )
        self._caller.start(response.status, headers)

    def _flush(self) -> None:
        for chunk in self._buffered:
            self._caller.write(chunk)
        self._buffered.clear()
        self._buffered_bytes = 0

    def _record_progress(self, now: float) -> None:
        if self.is_started:
            pause_s = now - self.last_progress_at
            self.longest_gap_s = max(self.longest_gap_s, pause_s)
        self.last_progress_at = now
