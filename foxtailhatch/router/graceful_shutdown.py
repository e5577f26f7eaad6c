"""A planned stop: out of the advice, drained, then gone."""

from foxtailhatch.relay.context import RelayContext
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.router_state import RouterState

# A stopping entry stays at least so long, for callers that still come.
STOP_MIN_S = 2.5
# What is left of the grace when the process ends at the latest.
STOP_RESERVE_S = 0.4


class GracefulShutdown:
    """Wait for the running requests, within the grace that is given."""

    def __init__(
        self,
        board: RouterState,
        parts: RelayContext,
        log: StructuredLog,
    ) -> None:
        """Start without a stop; ``is_over`` tells when the process may end."""
        self.is_over = False
        self._board = board
        self._parts = parts
        self._log = log

    def ask(self) -> bool:
        """Begin to stop; return whether this was the first time."""
        if self._board.stop_requested_at is not None:
            return False
        self._board.stop_requested_at = self._board.clock()
        self._log.write('stop_asked', running=len(self._parts.running))
        return True

    def look(self, now: float) -> None:
        """End the process if nothing runs, or if the grace is over."""
        asked_at = self._board.stop_requested_at
        if asked_at is None:
            return
        waited_s = now - asked_at
        latest_s = self._board.cfg.bounds.stop_grace_s - STOP_RESERVE_S
        is_idle = not self._parts.running and waited_s >= STOP_MIN_S
        if is_idle or waited_s >= latest_s:
            self._log.write('stop', running=len(self._parts.running))
            self.is_over = True
