"""Chains of which no stage is above a fill limit."""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from itertools import islice
from operator import attrgetter
from random import Random

from foxtailhatch.chains.chain_search import (
    ChainPath,
    LayerHolder,
    cheapest_chain,
)
from foxtailhatch.chains.costs import ChainCosts
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.routes import Engine

# Weight of an endpoint that is at its limit, so that all weights are positive.
MIN_ROOM = 0.001


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """The zones of a request in the order in which they are searched.

    Without any, the own zone comes first and then the cheapest other one.  A
    chain over several zones is allowed if it ``may_cross``.
    """

    zones: Sequence[str] = ()
    may_cross: bool = True


def cheapest_with_room(
    costs: ChainCosts,
    start: ChainPath,
    heads: Collection[str],
    fill_limit: float,
    plan: ZonePlan,
    random: Random,
) -> ChainPath | None:
    """Return a cheap chain within the limit, or ``None``.

    A chain over several zones is returned only if no zone holds all layers:
    streams that cross zones fill the link between them, so a request waits
    instead.
    """
    roomy = [
        live
        for live in costs.endpoints.values()
        if costs.has_room(live, fill_limit)
    ]
    search = _LimitedSearch(
        costs,
        start,
        frozenset(
            live.name
            for live in roomy
            if costs.has_slot(live, fill_limit)
            and (not heads or live.name in heads)
        ),
        fill_limit,
        random,
    )

    def search_zone(zone: str) -> ChainPath | None:  # noqa: WPS430
        return search.within(live for live in roomy if live.zone == zone)

    if plan.zones:
        planned = filter(None, map(search_zone, plan.zones))
        found = list(islice(planned, 1))
    else:
        found = _of_own_or_cheapest_zone(costs, start.zone, search_zone)
    if found:
        return min(found, key=attrgetter('cost'))
    if not plan.may_cross or _has_whole_zone(costs):
        return None
    return search.within(roomy)


@dataclass(frozen=True, slots=True)
class _LimitedSearch:
    """Search for chains over endpoints that have room."""

    costs: ChainCosts
    start: ChainPath
    heads: frozenset[str]
    fill_limit: float
    random: Random

    def within(self, endpoints: Iterable[LiveEndpoint]) -> ChainPath | None:
        """Return a chain over some of the endpoints, or ``None``."""
        allowed = [
            live
            for live in endpoints
            if live.layers and (live.layers.first or live.name in self.heads)
        ]
        if not _covers(allowed, self.costs.engine.layer_count, self.start.end):
            return None
        return self._cheapest(self._sample(allowed)) or self._cheapest(allowed)

    def _sample(self, endpoints: Iterable[LiveEndpoint]) -> list[LiveEndpoint]:
        """Return one of the endpoints alike, at random by the room they have.

        All entries see the same totals until the next ones arrive.  The least
        filled endpoint would get what all of them start in that time.
        """
        alike: dict[object, list[LiveEndpoint]] = defaultdict(list)
        for one in endpoints:
            alike[one.zone, one.layers, one.accelerator_kind].append(one)
        return [
            self.random.choices(group, [self._room(live) for live in group])[0]
            for group in alike.values()
        ]

    def _room(self, endpoint: LiveEndpoint) -> float:
        return max(MIN_ROOM, self.fill_limit - self.costs.fill(endpoint))

    def _cheapest(self, endpoints: Iterable[LiveEndpoint]) -> ChainPath | None:
        return cheapest_chain(
            [
                LayerHolder(live.name, live.zone, live.layers)
                for live in endpoints
                if live.layers is not None
            ],
            self.costs.engine.layer_count,
            self.costs,
            self.start,
            heads=self.heads,
            max_stages=self.costs.engine.max_stages,
        )


def _of_own_or_cheapest_zone(
    costs: ChainCosts,
    own_zone: str,
    search_zone: Callable[[str], ChainPath | None],
) -> list[ChainPath]:
    """Return the chain of the own zone, or with it those of all others."""
    own = search_zone(own_zone)
    if own is not None and not costs.is_crowded_path(own):
        return [own]
    zones = {live.zone for live in costs.endpoints.values()}
    others = map(search_zone, sorted(zones - {own_zone}))
    return [path for path in (own, *others) if path is not None]


def _has_whole_zone(costs: ChainCosts) -> bool:
    """Return whether the engines of one zone hold all layers."""
    by_zone: dict[str, list[LiveEndpoint]] = defaultdict(list)
    for live in costs.endpoints.values():
        by_zone[live.zone].append(live)
    layer_count = costs.engine.layer_count
    return any(_covers(in_zone, layer_count) for in_zone in by_zone.values())


def covers_layers(
    endpoints: Iterable[LiveEndpoint],
    engine: Engine,
    exclude: Collection[str],
    heads: Collection[str],
) -> bool:
    """Return whether endpoints form a chain, whatever work they have."""
    allowed = [
        live
        for live in endpoints
        if live.name not in exclude
        and live.accelerator_kind in engine.accelerators
    ]
    later = [
        live
        for live in allowed
        if live.layers and (live.layers.first or not heads)
    ]
    first = [live for live in allowed if live.name in heads]
    return _covers((*first, *later), engine.layer_count)


def _covers(
    endpoints: Iterable[LiveEndpoint], layer_count: int, begin: int = 0
) -> bool:
    """Return whether endpoints together hold all layers from ``begin`` on."""
    ranges = sorted(
        (live.layers.first, live.layers.end)
        for live in endpoints
        if live.layers is not None
    )
    covered = begin
    for first, end in ranges:
        if first <= covered:
            covered = max(covered, end)
    return covered >= layer_count
