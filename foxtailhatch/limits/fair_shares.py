"""Weighted fair shares by virtual time."""

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_KEYS = 2048


@dataclass(slots=True)
class FairShares:
    """Schedule keys so that their work is proportional to their weights.

    Each key has a virtual time: the work that it was charged divided by its
    weight.  The key with the lowest virtual time is next.  A key that becomes
    active again starts at least at the common virtual time, so that idle time
    earns no credit.

    >>> shares = FairShares()
    >>> shares.activate('large'), shares.activate('small')
    (None, None)
    >>> shares.charge('large', work=10, weight=2)
    >>> shares.next_key(['large', 'small'])
    'small'
    """

    virtual_time: float = 0
    virtual_times: dict[str, float] = field(default_factory=dict)

    def activate(self, key: str) -> None:
        """Let a key that had nothing queued compete again."""
        self.virtual_times[key] = max(
            self.virtual_times.get(key, 0), self.virtual_time
        )

    def next_key(self, keys: Iterable[str]) -> str | None:
        """Return the key with the lowest virtual time, the first of equals."""
        return min(keys, key=self._virtual_time_of, default=None)

    def serve(self, key: str, work: float, weight: float) -> None:
        """Advance the common virtual time to that of ``key``, and charge it."""
        self.virtual_time = max(self.virtual_time, self._virtual_time_of(key))
        self.charge(key, work, weight)
        self._prune()

    def charge(self, key: str, work: float, weight: float) -> None:
        """Charge work to a key; a negative amount is a refund."""
        self.virtual_times[key] = self._virtual_time_of(key) + work / weight

    def _virtual_time_of(self, key: str) -> float:
        return self.virtual_times.get(key, self.virtual_time)

    def _prune(self) -> None:
        if len(self.virtual_times) <= MAX_KEYS:
            return
        latest = sorted(
            self.virtual_times, key=self._virtual_time_of, reverse=True
        )
        self.virtual_times = {
            key: self.virtual_times[key] for key in latest[: MAX_KEYS // 2]
        }
