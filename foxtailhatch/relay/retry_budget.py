"""The share of the retries of a service that this entry may spend.

Operators bound the retries of all entries together: a ratio of the requests
and a fixed number more in any window.  The ratio of our own requests can be
spent here; of the fixed number each entry takes an equal part.  A process that
has just started may have spent its part before it ended, and does not know all
entries yet, so the part grows with its age up to a whole window.
"""

from collections import defaultdict, deque

# The share that is spent: what all entries spent just before they restarted
# and what they spend after it stay below the bound together.
SPENT_SHARE = 0.5
# A process that has just started does not know the other entries for this
# long.  Source: two of their heartbeats.
UNKNOWN_S = 3.0


class WindowBudget:
    """Count requests and retries of each service in a sliding window.

    >>> budget = WindowBudget(ratio=0.0, slack=10.0, window_s=10.0)
    >>> [budget.spend('s', 10.0, entries=2) for _ in range(3)]
    [True, True, False]
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        started_at: float = 0,
    ) -> None:
        """Take the bounds that hold for all entries together."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._started_at = started_at
        self._most_entries = (1, started_at)
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def note_request(self, service: str, now: float) -> None:
        """Count a first send."""
        self._requests[service].append(now)
        self._forget(self._requests[service], now)

    def spend(self, service: str, now: float, entries: int) -> bool:
        """Count one more send and return whether it is allowed."""
        if self.left(service, now, entries) < 1:
            return False
        self._retries[service].append(now)
        return True

    def left(self, service: str, now: float, entries: int) -> float:
        """Return how many more sends are allowed now."""
        requests = self._requests[service]
        retries = self._retries[service]
        self._forget(requests, now)
        self._forget(retries, now)
        part = self._slack / self._sharers(entries, now)
        part *= self._grown(now - self._started_at)
        most = SPENT_SHARE * (self._ratio * len(requests) + part)
        return most - len(retries)

    def _grown(self, age_s: float) -> float:
        """Return the share of the fixed part that a process may spend."""
        return 0 if age_s < UNKNOWN_S else min(1, age_s / self._window_s)

    def _sharers(self, entries: int, now: float) -> int:
        """Return the most entries that were seen within a window."""
        most, seen_at = self._most_entries
        if entries >= most or now - seen_at > self._window_s:
            self._most_entries = (max(1, entries), now)
        return self._most_entries[0]

    def _forget(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()
