"""Search for the cheapest chain of endpoints, with the cost of zone hops.

Endpoints pass activations on to one another, so that a stage costs its own
time and the hop to it.  The search is a dynamic program over the layer
boundaries: at each one it keeps the cheapest path for each zone in which a
path ends there.
"""

from bisect import bisect_right
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import Protocol

from foxtailhatch.core import (
    Invariant,
    LayerRange,
    check_invariant,
    is_partition,
)

# Used where engines give no limit: more stages than any sensible chain has.
STAGES_MAX = 64
# If the cheapest chains have too many stages, each stage costs this much more,
# so that the search yields the shortest chain: more than any chain costs.
STAGE_PENALTY_S = 1000.0


class StageCost(Protocol):
    """Costs of a stage and of the hop to it, in seconds a request."""

    def stage_cost(
        self, endpoint: str, layers: int, *, is_first: bool
    ) -> float:
        """Return the time that an endpoint takes for ``layers`` layers."""

    def crossing_cost(
        self, zone: str, to_zone: str, *, is_first: bool
    ) -> float:
        """Return the cost of the hop from one zone to another.

        The first hop carries the request itself, the others activations.
        """


@dataclass(frozen=True, slots=True)
class LayerHolder:
    """An endpoint and the layers that a chain may use it for."""

    endpoint: str
    zone: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class Stage:
    """The layers that an endpoint runs as its part of a chain."""

    endpoint: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class ChainPath:
    """Stages up to a layer boundary, with their total cost.

    ``zone`` is that of the last stage, or of the sender if there is none.
    """

    zone: str
    cost: float = 0
    stages: tuple[Stage, ...] = ()

    @property
    def end(self) -> int:
        """Return the first layer after the path."""
        return self.stages[-1].layers.end if self.stages else 0

    def uses(self, endpoint: str) -> bool:
        """Return whether an endpoint runs a stage of the path."""
        return any(stage.endpoint == endpoint for stage in self.stages)


def cheapest_chain(
    holders: Sequence[LayerHolder],
    layer_count: int,
    costs: StageCost,
    start: ChainPath,
    *,
    heads: Collection[str] = (),
    max_stages: int = STAGES_MAX,
) -> ChainPath | None:
    """Return the cheapest chain over all layers, or ``None``.

    The chain extends ``start``.  If ``heads`` is not empty, it names the
    endpoints that may run the first stage.  The chain has at most
    ``max_stages`` stages.
    """
    start_layer = start.end
    bounds = [start_layer, *_boundaries(holders, start_layer, layer_count)]
    for stage_penalty in (0, STAGE_PENALTY_S):
        search = _Search(bounds, costs, start, max_stages, stage_penalty)
        for boundary in bounds[:-1]:
            for holder in _holders_of(holders, boundary, heads):
                search.extend(holder, boundary)
        best = search.best_at(layer_count)
        if best is not None:
            break
    if best is not None:
        check_invariant(
            Invariant.LAYERS_ONCE_IN_ORDER,
            is_partition((stage.layers for stage in best.stages), layer_count),
            str(best.stages),
        )
    return best


def _holders_of(
    holders: Sequence[LayerHolder],
    layer: int,
    heads: Collection[str],
) -> list[LayerHolder]:
    """Return the holders that a stage may use from ``layer`` on."""
    matching = [
        holder
        for holder in holders
        if holder.layers.first <= layer < holder.layers.end
    ]
    if layer or not heads:
        return matching
    return [holder for holder in matching if holder.endpoint in heads]


class _Search:
    """The cheapest path to each boundary, for each zone of its last stage."""

    def __init__(
        self,
        bounds: Sequence[int],
        costs: StageCost,
        start: ChainPath,
        max_stages: int,
        stage_penalty: float,
    ) -> None:
        self._bounds = bounds
        self._stages_max = max_stages
        self._stage_penalty = stage_penalty
        self._costs = costs
        self._best: dict[int, dict[str, ChainPath]] = {
            start.end: {start.zone: start},
        }

    def best_at(self, boundary: int) -> ChainPath | None:
        """Return the cheapest path to a boundary."""
        paths = self._best.get(boundary, {}).values()
        return min(paths, key=attrgetter('cost'), default=None)

    def extend(self, holder: LayerHolder, boundary: int) -> None:
        """Extend all paths to a boundary by the stages of a holder."""
        paths = self._best.get(boundary)
        if not paths:
            return
        stages = self._possible_stages(holder, boundary)
        for path in tuple(paths.values()):
            is_full = len(path.stages) >= self._stages_max
            if not is_full and not path.uses(holder.endpoint):
                self._append_stages(path, holder, stages)

    def _possible_stages(
        self,
        holder: LayerHolder,
        boundary: int,
    ) -> list[tuple[Stage, float]]:
        """Return the stages that a holder may run, and their costs."""
        begin = bisect_right(self._bounds, boundary)
        stop = bisect_right(self._bounds, holder.layers.end)
        is_first = boundary == 0
        return [
            (
                Stage(holder.endpoint, LayerRange(boundary, end)),
                self._costs.stage_cost(
                    holder.endpoint,
                    end - boundary,
                    is_first=is_first,
                ),
            )
            for end in self._bounds[begin:stop]
        ]

    def _append_stages(
        self,
        path: ChainPath,
        holder: LayerHolder,
        stages: Iterable[tuple[Stage, float]],
    ) -> None:
        zone = holder.zone
        is_first = not path.stages
        hop_cost = self._costs.crossing_cost(path.zone, zone, is_first=is_first)
        for stage, stage_cost in stages:
            cost = path.cost + hop_cost + stage_cost + self._stage_penalty
            best_by_zone = self._best.setdefault(stage.layers.end, {})
            best = best_by_zone.get(zone)
            if best is None or cost < best.cost:
                best_by_zone[zone] = ChainPath(
                    zone, cost, (*path.stages, stage)
                )


def _boundaries(
    holders: Iterable[LayerHolder],
    start_layer: int,
    layer_count: int,
) -> list[int]:
    bounds = {layer_count}
    for holder in holders:
        bounds.add(holder.layers.first)
        bounds.add(holder.layers.end)
    return sorted(
        bound for bound in bounds if start_layer < bound <= layer_count
    )
