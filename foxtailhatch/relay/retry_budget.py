"""The retry budget of this entry for each service.

Operators limit the retries of all entries together to a ratio of the requests
plus a fixed number ("slack") in any window.  Each entry may spend the ratio of
its own requests and an equal share of the slack.  A process that has just
started may have spent its share before it was restarted, and does not know all
entries yet, so it uses no slack during its first window.
"""

from collections import defaultdict, deque

# The rest is a margin for retries that are sent near the end of a window.
USABLE_SHARE = 0.9
# An entry that is no longer listed still counts for this long, six windows: it
# may be partitioned from the others and still spend its share.
ENTRY_COUNT_MEMORY_S = 60.0


class RetryBudget:
    """Limit the retries of each service in a sliding window.

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
        """Set the limits that hold for all entries together."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._started_at = started_at
        self._max_entries = (1, started_at)
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def record_request(self, service: str, now: float) -> None:
        """Count a request, when it is sent for the first time."""
        self._requests[service].append(now)
        self._expire(self._requests[service], now)

    def spend(self, service: str, now: float, entries: int) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        if self.remaining(service, now, entries) < 1:
            return False
        self._retries[service].append(now)
        return True

    def remaining(self, service: str, now: float, entries: int) -> float:
        """Return the number of retries that are allowed now."""
        retries = self._retries[service]
        self._expire(retries, now)
        return self._limit(service, now, entries) - len(retries)

    def has_half(self, service: str, now: float, entries: int) -> bool:
        """Return whether a retry is allowed and at least half is left.

        Sends that can be done without leave the rest to those after failures.
        """
        left = self.remaining(service, now, entries)
        return left >= max(1, self._limit(service, now, entries) / 2)

    def _limit(self, service: str, now: float, entries: int) -> float:
        """Return the number of retries that are allowed in this window."""
        requests = self._requests[service]
        self._expire(requests, now)
        slack_share = self._slack / self._max_recent_entries(entries, now)
        limit = self._ratio * len(requests)
        if now - self._started_at >= self._window_s:
            limit += slack_share
        return USABLE_SHARE * limit

    def _max_recent_entries(self, entries: int, now: float) -> int:
        """Return the largest recent number of listed entries."""
        limit, seen_at = self._max_entries
        if entries >= limit or now - seen_at > ENTRY_COUNT_MEMORY_S:
            self._max_entries = (max(1, entries), now)
        return self._max_entries[0]

    def _expire(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()
