"""Cheapest chains of endpoints that mind the zones they cross.

Endpoints hand activations to one another, so a stage costs its own time and
the way to it.  The search goes over the layer boundaries; at each it keeps
the best path for each zone that the path has reached.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import Protocol

from foxtailhatch.core import Invariant, LayerRange, require, tiles


class StageCost(Protocol):
    """What a stage and the way to it cost, in seconds for each request."""

    def of(self, endpoint: str, layers: int, *, is_first: bool) -> float:
        """Return the time that an endpoint takes for so many layers."""

    def crossing(self, zone: str, to_zone: str) -> float:
        """Return what the way from one zone to another costs."""


@dataclass(frozen=True, slots=True)
class Holder:
    """An endpoint and the layers that it may be asked for."""

    endpoint: str
    zone: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class Stage:
    """A part of a chain."""

    endpoint: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class ZonePath:
    """Stages up to a boundary, the zone of the last, and their cost."""

    zone: str
    cost: float = 0
    stages: tuple[Stage, ...] = ()

    def uses(self, endpoint: str) -> bool:
        """Tell whether an endpoint has a stage in the path."""
        return any(stage.endpoint == endpoint for stage in self.stages)


def cheapest_chain(
    holders: Sequence[Holder],
    layer_count: int,
    costs: StageCost,
    from_zone: str,
    *,
    head: str = '',
) -> ZonePath | None:
    """Return the cheapest chain over all layers, or ``None``.

    With ``head`` the first stage is asked of that endpoint.
    """
    bounds = _boundaries(holders, layer_count)
    best: dict[int, dict[str, ZonePath]] = {
        0: {from_zone: ZonePath(from_zone)},
    }
    for reached in bounds:
        for path in tuple(best.get(reached, {}).values()):
            for holder in holders:
                if _may_follow(path, holder, reached, head):
                    _extend(best, path, holder, reached, bounds, costs)
    ends = best.get(layer_count, {}).values()
    found = min(ends, key=attrgetter('cost'), default=None)
    if found is not None:
        require(
            Invariant.LAYERS_ONCE_IN_ORDER,
            tiles((stage.layers for stage in found.stages), layer_count),
            str(found.stages),
        )
    return found


def _may_follow(
    path: ZonePath,
    holder: Holder,
    reached: int,
    head: str,
) -> bool:
    if not holder.layers.first <= reached < holder.layers.end:
        return False
    if reached == 0 and head and holder.endpoint != head:
        return False
    return not path.uses(holder.endpoint)


def _extend(
    best: dict[int, dict[str, ZonePath]],
    path: ZonePath,
    holder: Holder,
    reached: int,
    bounds: Iterable[int],
    costs: StageCost,
) -> None:
    way = costs.crossing(path.zone, holder.zone)
    for end in bounds:
        if not reached < end <= holder.layers.end:
            continue
        work = costs.of(holder.endpoint, end - reached, is_first=not reached)
        cost = path.cost + way + work
        known = best.setdefault(end, {}).get(holder.zone)
        if known is None or cost < known.cost:
            stage = Stage(holder.endpoint, LayerRange(reached, end))
            best[end][holder.zone] = ZonePath(
                holder.zone,
                cost,
                (*path.stages, stage),
            )


def _boundaries(holders: Iterable[Holder], layer_count: int) -> list[int]:
    found = {0, layer_count}
    for holder in holders:
        found.add(holder.layers.first)
        found.add(holder.layers.end)
    return sorted(bound for bound in found if 0 <= bound <= layer_count)
