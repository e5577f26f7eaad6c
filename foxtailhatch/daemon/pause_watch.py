"""Whether this process stood still and knows too little since it woke."""

from collections.abc import Callable
from enum import StrEnum

PAUSE_MAX_S = 1.0


class Source(StrEnum):
    """Where an entry learns which endpoints leave."""

    LIST = 'list'
    LOG = 'log'


class PauseWatch:
    """Notice a pause of the process, and when its knowledge is new again.

    An endpoint may have begun to leave during the pause.  So after one,
    nothing new is sent to any endpoint until each source was asked again;
    a source that does not answer counts as asked.

    >>> clock = [0.0]
    >>> watch = PauseWatch(lambda: clock[0])
    >>> clock[0] = 9.0
    >>> watch.is_current()
    False
    >>> for source in Source:
    ...     watch.asked(source, begun_at=9.0)
    >>> watch.is_current()
    True
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Start awake; ``now`` is the loop's time in seconds."""
        self._now = now
        self._beat_at = now()
        self._woke_at = self._beat_at
        self._asked_at = dict.fromkeys(Source, self._woke_at)

    def beat(self) -> None:
        """Learn that the process runs; call it several times a second."""
        now = self._now()
        if now - self._beat_at > PAUSE_MAX_S:
            self._woke_at = now
        self._beat_at = now

    def asked(self, source: Source, begun_at: float) -> None:
        """Learn that a read of a source ended that began at ``begun_at``."""
        self._asked_at[source] = begun_at

    def is_current(self) -> bool:
        """Tell whether every source was asked since the last pause."""
        self.beat()
        return min(self._asked_at.values()) >= self._woke_at
