"""How long the resumptions of streams at this entry take."""

from collections import deque
from statistics import median

# Assumed before the first resumption is seen.
INITIAL_RESUMPTION_S = 0.1
# The load changes within seconds, in which an entry sees a few dozen at most.
REMEMBERED_RESUMPTIONS = 31


class ResumptionTimes:
    """The times from the send of a resumed attempt to its first event.

    >>> times = ResumptionTimes()
    >>> times.expected_s
    0.1
    >>> times.record(0.04); times.record(0.06)
    >>> times.expected_s
    0.05
    """

    def __init__(self) -> None:
        """Start with the initial expectation."""
        self.expected_s = INITIAL_RESUMPTION_S
        self._recent: deque[float] = deque(maxlen=REMEMBERED_RESUMPTIONS)

    def record(self, seconds: float) -> None:
        """Record the time of one resumption."""
        self._recent.append(seconds)
        self.expected_s = median(self._recent)
