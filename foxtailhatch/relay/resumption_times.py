"""How long the resumptions of streams at this entry take."""

from collections import deque

# Assumed before the first resumption is seen.
INITIAL_RESUMPTION_S = 0.1
# The load changes within seconds, in which an entry sees a few dozen at most.
REMEMBERED_RESUMPTIONS = 31
# A hedge that is sent with the median of them left comes late in half of all cases.
SHARE_IN_TIME = 0.9


class ResumptionTimes:
    """The times from the send of a resumed attempt to its first event.

    ``expected_s`` is the time within which nine in ten of them arrive.

    >>> times = ResumptionTimes()
    >>> times.expected_s
    0.1
    >>> times.record(0.04); times.record(0.06)
    >>> times.expected_s
    0.06
    """

    def __init__(self) -> None:
        """Start with the initial expectation."""
        self.expected_s = INITIAL_RESUMPTION_S
        self._recent: deque[float] = deque(maxlen=REMEMBERED_RESUMPTIONS)

    def record(self, seconds: float) -> None:
        """Record the time of one resumption."""
        self._recent.append(seconds)
        in_order = sorted(self._recent)
        self.expected_s = in_order[int(SHARE_IN_TIME * len(in_order))]
