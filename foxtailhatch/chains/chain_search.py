"""Cheapest chains of endpoints that mind the zones they cross.

Endpoints hand activations to one another, so a stage costs its own time and
the way to it.  The search goes over the layer boundaries; at each it keeps
the best path for each zone that the path has reached.
"""

from bisect import bisect_right
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import Protocol

from foxtailhatch.core import Invariant, LayerRange, require, tiles

# Without a bound of the engines: more stages than any sensible chain has.
STAGES_MAX = 64
# Where the cheapest chains are too long, stages cost this much more, so that
# the shortest chain is found: more than any chain costs, in seconds.
STAGE_COST = 1000.0


class StageCost(Protocol):
    """What a stage and the way to it cost, in seconds for each request."""

    def stage_cost(
        self, endpoint: str, layers: int, *, is_first: bool
    ) -> float:
        """Return the time that an endpoint takes for so many layers."""

    def crossing_cost(
        self, zone: str, to_zone: str, *, is_first: bool
    ) -> float:
        """Return what the way from one zone to another costs.

        The first way is that of the request itself, not of activations.
        """


@dataclass(frozen=True, slots=True)
class LayerHolder:
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
class ChainPath:
    """Stages up to a boundary, the zone of the last, and their cost."""

    zone: str
    cost: float = 0
    stages: tuple[Stage, ...] = ()

    @property
    def end(self) -> int:
        """Return the layer that comes next."""
        return self.stages[-1].layers.end if self.stages else 0

    def uses(self, endpoint: str) -> bool:
        """Tell whether an endpoint has a stage in the path."""
        return any(stage.endpoint == endpoint for stage in self.stages)


def cheapest_chain(
    holders: Sequence[LayerHolder],
    layer_count: int,
    costs: StageCost,
    start: ChainPath,
    *,
    heads: Collection[str] = (),
    stages_max: int = STAGES_MAX,
) -> ChainPath | None:
    """Return the cheapest chain over all layers, or ``None``.

    The chain goes on from ``start``.  With ``heads`` the first stage is
    asked of one of these endpoints.  No path has more than ``stages_max``
    stages.
    """
    begun = start.end
    bounds = [begun, *_boundaries(holders, begun, layer_count)]
    for stage_cost in (0, STAGE_COST):
        search = _Search(bounds, costs, start, stages_max, stage_cost)
        for reached in bounds[:-1]:
            for holder in _holding(holders, reached, heads):
                search.extend(holder, reached)
        found = search.best_at(layer_count)
        if found is not None:
            break
    if found is not None:
        require(
            Invariant.LAYERS_ONCE_IN_ORDER,
            tiles((stage.layers for stage in found.stages), layer_count),
            str(found.stages),
        )
    return found


def _holding(
    holders: Sequence[LayerHolder],
    layer: int,
    heads: Collection[str],
) -> list[LayerHolder]:
    """Return the holders that may go on with a layer."""
    found = [
        holder
        for holder in holders
        if holder.layers.first <= layer < holder.layers.end
    ]
    if layer or not heads:
        return found
    return [holder for holder in found if holder.endpoint in heads]


class _Search:
    """The best path to each boundary, for each zone of its last stage."""

    def __init__(
        self,
        bounds: Sequence[int],
        costs: StageCost,
        start: ChainPath,
        stages_max: int,
        stage_cost: float,
    ) -> None:
        self._bounds = bounds
        self._stages_max = stages_max
        self._stage_cost = stage_cost
        self._costs = costs
        self._best: dict[int, dict[str, ChainPath]] = {
            start.end: {start.zone: start},
        }

    def best_at(self, boundary: int) -> ChainPath | None:
        """Return the cheapest path to a boundary."""
        paths = self._best.get(boundary, {}).values()
        return min(paths, key=attrgetter('cost'), default=None)

    def extend(self, holder: LayerHolder, reached: int) -> None:
        """Let a holder take on layers after all paths to a boundary."""
        paths = self._best.get(reached)
        if not paths:
            return
        work = self._work(holder, reached)
        for path in tuple(paths.values()):
            is_full = len(path.stages) >= self._stages_max
            if not is_full and not path.uses(holder.endpoint):
                self._follow(path, holder, work)

    def _work(
        self,
        holder: LayerHolder,
        reached: int,
    ) -> list[tuple[Stage, float]]:
        """Return the stages that a holder may take on, and their costs."""
        begin = bisect_right(self._bounds, reached)
        stop = bisect_right(self._bounds, holder.layers.end)
        is_first = reached == 0
        return [
            (
                Stage(holder.endpoint, LayerRange(reached, end)),
                self._costs.stage_cost(
                    holder.endpoint,
                    end - reached,
                    is_first=is_first,
                ),
            )
            for end in self._bounds[begin:stop]
        ]

    def _follow(
        self,
        path: ChainPath,
        holder: LayerHolder,
        work: Iterable[tuple[Stage, float]],
    ) -> None:
        zone = holder.zone
        is_first = not path.stages
        way = self._costs.crossing_cost(path.zone, zone, is_first=is_first)
        for stage, stage_cost in work:
            cost = path.cost + way + stage_cost + self._stage_cost
            ends = self._best.setdefault(stage.layers.end, {})
            known = ends.get(zone)
            if known is None or cost < known.cost:
                ends[zone] = ChainPath(zone, cost, (*path.stages, stage))


def _boundaries(
    holders: Iterable[LayerHolder],
    begun: int,
    layer_count: int,
) -> list[int]:
    found = {layer_count}
    for holder in holders:
        found.add(holder.layers.first)
        found.add(holder.layers.end)
    return sorted(bound for bound in found if begun < bound <= layer_count)
