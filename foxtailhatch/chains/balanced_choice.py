"""Choose between the chains of several zones and one that crosses them."""

from collections.abc import Iterator, Sequence
from itertools import islice
from typing import Protocol

from foxtailhatch.chains.chain_search import ChainPath

# Zones that are tried for a chain with room.  Each search takes about a
# millisecond, and a fourth zone rarely has room if three have none.
MAX_TRIED_ZONES = 3
# Fill of a chain above which another zone is tried.  A lower limit lets entries
# leave zones that are at the target load as well, and overrun others.
FILL_LIMIT = 1.0


class ChainSearches(Protocol):
    """The searches that a choice may make."""

    def in_zone(self, zone: str) -> ChainPath | None:
        """Return the cheapest chain of a zone."""

    def over_all(self) -> ChainPath | None:
        """Return the cheapest chain over all zones."""

    def fill(self, path: ChainPath) -> float:
        """Return the estimated fill of the fullest stage of a chain."""

    def hops(self, path: ChainPath) -> int:
        """Return how many hops of a chain lie between two zones."""


def choose_chain(
    zones: Sequence[str],
    searches: ChainSearches,
    *,
    may_cross: bool,
    fill_limit: float = FILL_LIMIT,
) -> ChainPath | None:
    """Return a chain of the first zone that has room for a request.

    If none has, the cheapest chain over all zones is taken if it ``may_cross``
    and costs less than that of the first zone.  Otherwise the request goes to
    the first zone that has a chain: the least full zone by totals that are
    late would attract all entries.
    """
    full: list[ChainPath] = []
    for path in _chains_in_zones(zones, searches):
        if searches.fill(path) <= fill_limit:
            return path
        full.append(path)
    of_first_zone = full[0] if full else None
    crossing = searches.over_all() if may_cross else None
    if crossing is None or of_first_zone is None:
        return crossing or of_first_zone
    is_better = crossing.cost < of_first_zone.cost
    return crossing if is_better and searches.hops(crossing) else of_first_zone


def _chains_in_zones(
    zones: Sequence[str], searches: ChainSearches
) -> Iterator[ChainPath]:
    """Yield the chains of the first zones that have any."""
    paths = map(searches.in_zone, zones)
    return islice(filter(None, paths), MAX_TRIED_ZONES)
