"""Weighted fair shares by virtual time."""

from collections.abc import Iterable
from dataclasses import dataclass, field

KEPT_KEYS = 2048


@dataclass(slots=True)
class FairShares:
    """Decide who is next, so that work done follows weights.

    Each key has a virtual time: the work it was given over its weight.  The
    least one is next.  Whoever comes back after a rest starts at the common
    virtual time at least, so that rest gives no credit.

    >>> shares = FairShares()
    >>> shares.join('large'), shares.join('small')
    (None, None)
    >>> shares.charge('large', work=10, weight=2)
    >>> shares.first(['large', 'small'])
    'small'
    """

    virtual_time: float = 0
    used: dict[str, float] = field(default_factory=dict)

    def join(self, key: str) -> None:
        """Let a key that had nothing waiting compete again."""
        self.used[key] = max(self.used.get(key, 0), self.virtual_time)

    def first(self, keys: Iterable[str]) -> str | None:
        """Return the key with the least virtual time, the earliest of equals."""
        return min(keys, key=self._time_of, default=None)

    def serve(self, key: str, work: float, weight: float) -> None:
        """Advance the common virtual time to that of ``key``; charge it."""
        self.virtual_time = max(self.virtual_time, self._time_of(key))
        self.charge(key, work, weight)
        self._forget()

    def charge(self, key: str, work: float, weight: float) -> None:
        """Charge work to a key; a negative amount gives some back."""
        self.used[key] = self._time_of(key) + work / weight

    def _time_of(self, key: str) -> float:
        return self.used.get(key, self.virtual_time)

    def _forget(self) -> None:
        if len(self.used) <= KEPT_KEYS:
            return
        latest = sorted(self.used, key=self._time_of, reverse=True)
        self.used = {key: self.used[key] for key in latest[: KEPT_KEYS // 2]}
