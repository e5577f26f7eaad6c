"""A token bucket for bytes loaded from the weight store."""


class LoadRateLimiter:
    """Limit loads to the rate of the weight store.

    A load larger than the bucket is admitted when the bucket is full, and
    makes its level negative.

    >>> rate = LoadRateLimiter(100.0)
    >>> rate.admit(0.0, 250)
    True
    >>> rate.admit(1.0, 1)
    False
    >>> rate.admit(3.5, 1)
    True
    """

    def __init__(self, bytes_per_s: float) -> None:
        """Start with a full bucket, which holds one second of the rate."""
        self._bytes_per_s = bytes_per_s
        self._tokens = bytes_per_s
        self._updated_at = float(0)

    def admit(self, now: float, size: int) -> bool:
        """Return whether a load of ``size`` bytes may start, and account for it."""
        refill = max(float(0), now - self._updated_at) * self._bytes_per_s
        self._tokens = min(self._bytes_per_s, self._tokens + refill)
        self._updated_at = max(self._updated_at, now)
        if self._tokens < min(size, self._bytes_per_s):
            return False
        self._tokens -= size
        return True
