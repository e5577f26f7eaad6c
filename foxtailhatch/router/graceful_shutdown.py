"""Graceful shutdown: stop being recommended, drain requests, then exit.

What a caller has got counts, not what a relay has decided: the process runs on
while a request is received in part, while the transport holds a part of an
answer, and while records that other entries need are not in the store.
"""

from collections.abc import Callable

from foxtailhatch.relay.context import RelayContext
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.admission import STOPPING_REFUSAL, stop_accept_s
from foxtailhatch.router.blackboard import Blackboard

# A stopping entry runs for at least this long, for callers that still connect.
MIN_STOP_S = 2.5
# Before the end of the grace period requests in progress are answered that they
# end here, and then the process ends.
ANSWER_MARGIN_S = 0.5
EXIT_MARGIN_S = 0.25


class GracefulShutdown:
    """Wait until callers have their answers, within the grace period."""

    def __init__(
        self,
        board: Blackboard,
        context: RelayContext,
        log: StructuredLog,
        has_unwritten_records: Callable[[], bool],
    ) -> None:
        """Wait for a stop request; ``is_over`` is set when it is complete."""
        self.is_over = False
        self._board = board
        self._context = context
        self._log = log
        self._has_unwritten_records = has_unwritten_records

    def request_stop(self) -> bool:
        """Begin to stop; return whether this was the first request."""
        if self._board.stop_requested_at is not None:
            return False
        self._board.stop_requested_at = self._board.clock()
        self._log.write('stop_asked', running=self._running)
        return True

    def check(self, now: float) -> None:
        """Complete the stop if nothing is pending, or the grace is used up."""
        requested_at = self._board.stop_requested_at
        if requested_at is None:
            return
        elapsed_s = now - requested_at
        grace_s = self._board.cfg.bounds.stop_grace_s
        left_s = grace_s - elapsed_s
        channels = self._board.channels
        if elapsed_s > stop_accept_s(grace_s):
            channels.refuse_partial(STOPPING_REFUSAL)
            channels.close_idle()
        if left_s <= ANSWER_MARGIN_S:
            self._end_running()
        is_drained = elapsed_s >= MIN_STOP_S and not self._has_pending()
        if is_drained or left_s <= EXIT_MARGIN_S:
            self.log_pending('stop')
            self._log.write(
                'stop',
                running=self._running,
                unwritten=self._has_unwritten_records(),
            )
            self.is_over = True

    def log_pending(self, why: str) -> None:
        """Log the requests that the end of this process cuts off."""
        for request_id, stage in self._board.channels.pending_requests():
            self._context.metrics.record_undelivered(why)
            self._log.write(
                'answer_undelivered', id=request_id, why=why, stage=stage.value
            )

    @property
    def _running(self) -> int:
        return len(self._context.running)

    def _has_pending(self) -> bool:
        return (
            bool(self._context.running)
            or self._board.channels.has_outstanding
            or self._has_unwritten_records()
        )

    def _end_running(self) -> None:
        """Answer the requests in progress while their callers can be told."""
        for relay in tuple(self._context.running):
            relay.end_for_stop()
