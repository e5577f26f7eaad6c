"""Track which records of the configuration stream no snapshot covers."""

from dataclasses import dataclass, replace

MAX_TIME_SAMPLES = 256


@dataclass(frozen=True, slots=True)
class Coverage:
    """The last offset that a snapshot covers, and the times of later records.

    ``times`` maps offsets to the log's wall time in seconds.  It is thinned
    out to bound its size; an offset that is missing has the time of the
    offset before it.
    """

    through: int = -1
    times: tuple[tuple[int, float], ...] = ()

    @property
    def oldest_uncovered_time(self) -> float | None:
        """Return the time of the oldest record that no snapshot covers.

        A new reader needs this record, so the next snapshot must be in the
        log before it expires.  The result is ``None`` if all are covered.

        >>> coverage = Coverage().add_record(0, 5.0).add_record(1, 8.0)
        >>> coverage.oldest_uncovered_time
        5.0
        """
        return self.times[0][1] if self.times else None

    def add_record(self, offset: int, time: float) -> 'Coverage':
        """Return the coverage after a record logged at ``time``."""
        times = (*self.times, (offset, time))
        if len(times) > MAX_TIME_SAMPLES:
            times = times[::2]
        return replace(self, times=times)

    def assume_overdue(self, through: int) -> 'Coverage':
        """Return the coverage, with a snapshot due if no times are known.

        A state that was received without times says nothing about the age of
        its records up to ``through``.  They count as logged at time 0, so
        that a snapshot is written soon.

        >>> Coverage().assume_overdue(7).oldest_uncovered_time
        0.0
        """
        if self.times or through < 0:
            return self
        return self.add_record(through, float(0))

    def after_snapshot(self, through: int) -> 'Coverage':
        """Return the coverage after a snapshot of all records up to ``through``.

        A snapshot that covers no more than an earlier one changes nothing.

        >>> coverage = Coverage().add_record(0, 5.0).add_record(1, 8.0)
        >>> coverage.after_snapshot(0).oldest_uncovered_time
        8.0
        """
        if through <= self.through:
            return self
        later = tuple(entry for entry in self.times if entry[0] > through)
        before = [entry for entry in self.times if entry[0] <= through]
        if before and not _starts_at(later, through + 1):
            later = ((through + 1, before[-1][1]), *later)
        return Coverage(through, later)


def _starts_at(times: tuple[tuple[int, float], ...], offset: int) -> bool:
    return bool(times) and times[0][0] == offset
