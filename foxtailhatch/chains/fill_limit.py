"""The cheapest chain of which no stage is above a fill limit."""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from itertools import islice
from operator import attrgetter

from foxtailhatch.chains.chain_search import (
    ChainPath,
    LayerHolder,
    cheapest_chain,
)
from foxtailhatch.chains.costs import ChainCosts
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.routes import Engine


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
) -> ChainPath | None:
    """Return the cheapest chain within the limit, or ``None``.

    A chain over several zones is returned only if no zone holds all layers:
    streams that cross zones fill the link between them, so a request waits
    instead.
    """
    roomy = [
        live
        for live in costs.endpoints.values()
        if costs.has_room(live, fill_limit)
    ]
    roomy_heads = frozenset(
        live.name
        for live in roomy
        if costs.has_slot(live, fill_limit)
        and (not heads or live.name in heads)
    )
    if not roomy_heads:
        return None

    def search(endpoints: Iterable[LiveEndpoint]) -> ChainPath | None:  # noqa: WPS430
        return cheapest_chain(
            _holders(endpoints),
            costs.engine.layer_count,
            costs,
            start,
            heads=roomy_heads,
            max_stages=costs.engine.max_stages,
        )

    def search_zone(zone: str) -> ChainPath | None:  # noqa: WPS430
        return search(live for live in roomy if live.zone == zone)

    if plan.zones:
        planned = filter(None, map(search_zone, plan.zones))
        found = list(islice(planned, 1))
    else:
        found = _of_own_or_cheapest_zone(costs, start.zone, search_zone)
    if found:
        return min(found, key=attrgetter('cost'))
    if not plan.may_cross or _has_whole_zone(costs):
        return None
    return search(roomy)


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


def _covers(endpoints: Iterable[LiveEndpoint], layer_count: int) -> bool:
    """Return whether endpoints together hold all layers."""
    ranges = sorted(
        (live.layers.first, live.layers.end)
        for live in endpoints
        if live.layers is not None
    )
    end = 0
    for first, stop in ranges:
        if first > end:
            return False
        end = max(end, stop)
    return end >= layer_count


def _holders(endpoints: Iterable[LiveEndpoint]) -> list[LayerHolder]:
    return [
        LayerHolder(live.name, live.zone, live.layers)
        for live in endpoints
        if live.layers is not None
    ]
