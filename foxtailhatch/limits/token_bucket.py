"""A token bucket that limits a request rate."""

from dataclasses import dataclass

BURST_S = 1.0


@dataclass(slots=True)
class TokenBucket:
    """Allow ``rate`` requests per second, with bursts of ``BURST_S`` seconds.

    >>> bucket = TokenBucket(rate=2, level=1, filled_at=0)
    >>> bucket.try_take(0), bucket.try_take(0), bucket.try_take(0.5)
    (True, False, True)
    """

    rate: float
    level: float
    filled_at: float

    def update_rate(self, rate: float, now: float) -> None:
        """Change the rate from ``now`` on; the level of the bucket stays."""
        self._fill(now)
        self.rate = rate

    def try_take(self, now: float) -> bool:
        """Take one token; return false if there is none."""
        self._fill(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def wait_s(self, now: float) -> float:
        """Return the seconds until a token is available."""
        self._fill(now)
        if self.level >= 1:
            return 0
        if not self.rate:
            return float('inf')
        return (1 - self.level) / self.rate

    def _fill(self, now: float) -> None:
        burst = max(1, self.rate * BURST_S)
        gained = max(0, now - self.filled_at) * self.rate
        self.level = min(burst, self.level + gained)
        self.filled_at = max(now, self.filled_at)
