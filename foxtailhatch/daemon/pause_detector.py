"""Detect pauses of this process, after which its state may be stale."""

from collections.abc import Callable
from enum import StrEnum

MAX_STEP_GAP_S = 1.0


class LeaveSource(StrEnum):
    """A source from which an entry learns that an endpoint is draining."""

    LIST = 'list'
    LOG = 'log'


class PauseDetector:
    """Detect a pause of the process and when its state is current again.

    An endpoint may have started to drain during the pause.  Therefore no new
    work is sent to any endpoint after a pause until each source has been read
    again.  A read that fails counts as well.

    >>> clock = [0.0]
    >>> detector = PauseDetector(lambda: clock[0])
    >>> clock[0] = 9.0
    >>> detector.is_current()
    False
    >>> for source in LeaveSource:
    ...     detector.record_read(source, begun_at=9.0)
    >>> detector.is_current()
    True
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Start as current; ``now`` returns the loop's time in seconds."""
        self._now = now
        self._last_run_at = now()
        self._resumed_at = self._last_run_at
        self._last_read_at = dict.fromkeys(LeaveSource, self._resumed_at)

    def record_running(self) -> None:
        """Record that the process runs; call it several times a second."""
        now = self._now()
        if now - self._last_run_at > MAX_STEP_GAP_S:
            self._resumed_at = now
        self._last_run_at = now

    def record_read(self, source: LeaveSource, begun_at: float) -> None:
        """Record that a read of ``source`` begun at ``begun_at`` has ended."""
        self._last_read_at[source] = begun_at

    def is_current(self) -> bool:
        """Return whether every source has been read since the last pause."""
        self.record_running()
        return min(self._last_read_at.values()) >= self._resumed_at
