"""A token bucket that bounds a rate."""

from dataclasses import dataclass

BURST_S = 1.0


@dataclass(slots=True)
class TokenBucket:
    """Let ``rate`` requests a second pass, with a burst of one second's worth.

    >>> bucket = TokenBucket(rate=2, level=1, filled_at=0)
    >>> bucket.take(0), bucket.take(0), bucket.take(0.5)
    (True, False, True)
    """

    rate: float
    level: float
    filled_at: float

    def change_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on; what is in the bucket stays."""
        self._fill(now)
        self.rate = rate

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        self._fill(now)
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def wait_s(self, now: float) -> float:
        """Return the seconds until there is a token."""
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
