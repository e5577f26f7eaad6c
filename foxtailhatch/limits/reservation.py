"""Urgency ranks of a service, and the capacity that each of them may fill.

All entries apply the same limits to the same totals of work in progress, so the
most urgent requests find capacity at every entry without a message.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Fill limit of the least urgent rank.  The rest is what more urgent requests need
# until work of the others has ended: streams last some 2 s, so that 0.3 of the
# capacity is free again after 0.6 s, the age of the totals.
LAST_FILL_LIMIT = 0.7
FULL = 1.0

# The priority in force and that of the route; 0 is the most urgent.
PriorityPair = tuple[int, int]


@dataclass(frozen=True, slots=True)
class UrgencyRanks:
    """The ranks of one service, the most urgent first.

    The priority of an account takes precedence over that of a route, which
    decides among equals.

    >>> ranks = UrgencyRanks.of([(2, 2), (0, 0), (0, 2)])
    >>> ranks.rank_of(0, 2), ranks.fill_limit(1)
    (1, 0.85)
    """

    pairs: tuple[PriorityPair, ...]

    @classmethod
    def of(cls, pairs: Iterable[PriorityPair]) -> 'UrgencyRanks':
        """Return the ranks of the pairs that requests may have."""
        return cls(tuple(sorted(set(pairs))))

    @property
    def has_order(self) -> bool:
        """Return whether routes with different priorities share the service."""
        return len({priority for _, priority in self.pairs}) > 1

    def rank_of(self, priority: int, route_priority: int) -> int:
        """Return the rank of a request; 0 is the most urgent.

        A pair that is not known has the rank of the next less urgent one.
        """
        pair = (priority, route_priority)
        more_urgent = sum(known < pair for known in self.pairs)
        return min(more_urgent, max(0, len(self.pairs) - 1))

    def fill_limit(self, rank: int) -> float:
        """Return up to which fill a chain takes requests of a rank."""
        last = len(self.pairs) - 1
        if last < 1:
            return FULL
        return FULL - (FULL - LAST_FILL_LIMIT) * min(rank, last) / last
