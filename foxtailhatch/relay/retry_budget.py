"""The share of the retries of a service that this entry may spend.

Operators bound the retries of all entries together: a ratio of the requests
and a fixed number more in any window.  The ratio of our own requests can be
spent here; of the fixed number each entry takes an equal part.  A process that
has just started may have spent its part before it ended, and does not know all
entries yet, so it leaves the fixed number alone for its first window.
"""

from collections import defaultdict, deque

# The share that is spent; the rest is for sends that cross a window's end.
SPENT_SHARE = 0.9
# An entry that is not listed counts for this long: it may only be cut off from
# the others.  Source: six windows of the stated bound.
UNLISTED_S = 60.0


class RetryBudget:
    """Count requests and retries of each service in a sliding window.

    >>> budget = RetryBudget(ratio=0.0, slack=10.0, window_s=10.0)
    >>> [budget.spend('s', 10.0, entries=5) for _ in range(3)]
    [True, False, False]
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
        most = self._ratio * len(requests)
        if now - self._started_at >= self._window_s:
            most += part
        return SPENT_SHARE * most - len(retries)

    def _sharers(self, entries: int, now: float) -> int:
        """Return the most entries that were listed not long ago."""
        most, seen_at = self._most_entries
        if entries >= most or now - seen_at > UNLISTED_S:
            self._most_entries = (max(1, entries), now)
        return self._most_entries[0]

    def _forget(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()
