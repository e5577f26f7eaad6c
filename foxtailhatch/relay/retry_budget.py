"""The share of the retries of a service that this entry may spend.

Operators bound the retries of all entries together: a ratio of the requests
and a fixed number more in any window.  The ratio of our own requests can be
spent here; of the fixed number each entry takes an equal part.
"""

from collections import defaultdict, deque

# Kept back, as entries disagree for a while about how many they are.
RETRY_RESERVE = 0.7


class WindowBudget:
    """Count requests and retries of each service in a sliding window.

    >>> budget = WindowBudget(ratio=0.0, slack=10.0, window_s=10.0)
    >>> [budget.spend('s', 1.0, entries=3) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Take the bounds that hold for all entries together."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
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
        part = self._slack / max(1, entries)
        most = RETRY_RESERVE * (self._ratio * len(requests) + part)
        return most - len(retries)

    def _forget(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self._window_s:
            times.popleft()
