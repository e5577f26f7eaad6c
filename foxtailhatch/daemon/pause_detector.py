"""Whether this process stood still and knows too little since it woke."""

from collections.abc import Callable
from enum import StrEnum

PAUSE_MAX_S = 1.0


class LeaveSource(StrEnum):
    """Where an entry learns which endpoints leave."""

    LIST = 'list'
    LOG = 'log'


class PauseDetector:
    """Notice a pause of the process, and when its knowledge is new again.

    An endpoint may have begun to leave during the pause.  So after one,
    nothing new is sent to any endpoint until each source was asked again;
    a source that does not answer counts as asked.

    >>> clock = [0.0]
    >>> detector = PauseDetector(lambda: clock[0])
    >>> clock[0] = 9.0
    >>> detector.is_current()
    False
    >>> for source in LeaveSource:
    ...     detector.note_read(source, begun_at=9.0)
    >>> detector.is_current()
    True
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Start awake; ``now`` is the loop's time in seconds."""
        self._now = now
        self._last_run_at = now()
        self._resumed_at = self._last_run_at
        self._last_read_at = dict.fromkeys(LeaveSource, self._resumed_at)

    def note_running(self) -> None:
        """Learn that the process runs; call it several times a second."""
        now = self._now()
        if now - self._last_run_at > PAUSE_MAX_S:
            self._resumed_at = now
        self._last_run_at = now

    def note_read(self, source: LeaveSource, begun_at: float) -> None:
        """Learn that a read of a source ended that began at ``begun_at``."""
        self._last_read_at[source] = begun_at

    def is_current(self) -> bool:
        """Tell whether every source was asked since the last pause."""
        self.note_running()
        return min(self._last_read_at.values()) >= self._resumed_at
