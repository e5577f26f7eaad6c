"""How much of the configuration stream its snapshots restate."""

from dataclasses import dataclass, replace

MAX_TIMES = 256


@dataclass(frozen=True, slots=True)
class Coverage:
    """The best snapshot's ``through``, and when later records were logged.

    ``times`` maps offsets to the log's wall time in seconds; it is thinned
    out, so a missing offset counts with the time of the one before it.
    """

    through: int = -1
    times: tuple[tuple[int, float], ...] = ()

    @property
    def since(self) -> float | None:
        """Return the time of the oldest record a new reader needs, if any.

        The next snapshot must be in the log before this record expires.

        >>> Coverage().logged(0, 5.0).logged(1, 8.0).since
        5.0
        """
        return self.times[0][1] if self.times else None

    def logged(self, offset: int, time: float) -> 'Coverage':
        """Return the coverage after one more record."""
        times = (*self.times, (offset, time))
        if len(times) > MAX_TIMES:
            times = times[::2]
        return replace(self, times=times)

    def known_up_to(self, through: int) -> 'Coverage':
        """Return the coverage of a reader that has folded up to an offset.

        Without any times it counts as long overdue, so that somebody writes
        a snapshot soon.

        >>> Coverage().known_up_to(7).since
        0.0
        """
        if self.times or through < 0:
            return self
        return self.logged(through, float(0))

    def restated(self, through: int) -> 'Coverage':
        """Return the coverage after a snapshot; an older one is ignored.

        >>> Coverage().logged(0, 5.0).logged(1, 8.0).restated(0).since
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
