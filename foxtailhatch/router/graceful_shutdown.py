"""Graceful shutdown: stop being recommended, drain requests, then exit."""

from foxtailhatch.relay.context import RelayContext
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard

# A stopping entry runs for at least this long, for callers that still connect.
MIN_STOP_S = 2.5
# Before the end of the grace period requests in progress are answered that they
# end here, and then the process ends.
ANSWER_MARGIN_S = 0.5
EXIT_MARGIN_S = 0.25


class GracefulShutdown:
    """Wait for the running requests to end, within the grace period."""

    def __init__(
        self,
        board: Blackboard,
        context: RelayContext,
        log: StructuredLog,
    ) -> None:
        """Wait for a stop request; ``is_over`` is set when it is complete."""
        self.is_over = False
        self._board = board
        self._context = context
        self._log = log

    def request_stop(self) -> bool:
        """Begin to stop; return whether this was the first request."""
        if self._board.stop_requested_at is not None:
            return False
        self._board.stop_requested_at = self._board.clock()
        self._log.write('stop_asked', running=len(self._context.running))
        return True

    def check(self, now: float) -> None:
        """Complete the stop if no request runs, or the grace is used up."""
        requested_at = self._board.stop_requested_at
        if requested_at is None:
            return
        elapsed_s = now - requested_at
        left_s = self._board.cfg.bounds.stop_grace_s - elapsed_s
        if left_s <= ANSWER_MARGIN_S:
            self._end_running()
        is_idle = not self._context.running and elapsed_s >= MIN_STOP_S
        if left_s <= EXIT_MARGIN_S or (is_idle and left_s > ANSWER_MARGIN_S):
            self._log.write('stop', running=len(self._context.running))
            self.is_over = True

    def _end_running(self) -> None:
        """Answer the requests in progress while their callers can be told."""
        for relay in tuple(self._context.running):
            relay.end_for_stop()
