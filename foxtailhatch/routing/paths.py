"""Find the shortest path over layer boundaries.

The nodes are the boundaries from 0 to ``layer_count`` at which some option
starts or ends.  An option adds an edge between any two boundaries inside its
range, so an endpoint may run only part of the layers that it holds.  All
edges lead to higher boundaries, so one pass in ascending order finds the
shortest path.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from foxtailhatch.core import ChainStage, LayerRange
from foxtailhatch.routing.costs import StageOption

MAX_REUSE_COST_RATIO = 0.8


@dataclass(frozen=True, slots=True)
class Path:
    """Stages from layer 0 up to a boundary, and their total cost."""

    cost: float = 0
    stages: tuple[ChainStage, ...] = ()

    def uses(self, endpoint: str) -> bool:
        """Return whether an endpoint has a stage in the path."""
        return any(stage.endpoint == endpoint for stage in self.stages)

    def repeats(self) -> bool:
        """Return whether any endpoint has more than one stage in the path."""
        names = {stage.endpoint for stage in self.stages}
        return len(names) < len(self.stages)


def cheapest_path(
    options: Sequence[StageOption], layer_count: int
) -> Path | None:
    """Return the cheapest path over all layers, or ``None``.

    An endpoint gets more than one stage only if that costs less than
    ``MAX_REUSE_COST_RATIO`` of the best path without such reuse.
    """
    best = _search(options, layer_count, reuse=True)
    if best is None or not best.repeats():
        return best
    without_reuse = _search(options, layer_count, reuse=False)
    if (
        without_reuse is None
        or best.cost < MAX_REUSE_COST_RATIO * without_reuse.cost
    ):
        return best
    return without_reuse


def _search(
    options: Sequence[StageOption],
    layer_count: int,
    *,
    reuse: bool,
) -> Path | None:
    boundaries = _layer_boundaries(options, layer_count)
    best = {0: Path()}
    for first in boundaries:
        path = best.get(first)
        if path is not None:
            remaining = LayerRange(first, layer_count)
            allowed = (
                option
                for option in options
                if reuse or not path.uses(option.endpoint)
            )
            for option in allowed:
                _extend(best, path, remaining, option, boundaries)
    return best.get(layer_count)


def _extend(
    best: dict[int, Path],
    path: Path,
    remaining: LayerRange,
    option: StageOption,
    boundaries: Iterable[int],
) -> None:
    for end in _stage_ends(option, remaining, boundaries):
        cost = path.cost + option.cost(end - remaining.first)
        known = best.get(end)
        if known is None or cost < known.cost:
            stage = ChainStage(
                option.endpoint, LayerRange(remaining.first, end)
            )
            best[end] = Path(cost, (*path.stages, stage))


def _stage_ends(
    option: StageOption,
    remaining: LayerRange,
    boundaries: Iterable[int],
) -> Iterable[int]:
    if not option.layers.first <= remaining.first < option.layers.end:
        return ()
    if option.indivisible:
        starts_here = option.layers.first == remaining.first
        return (option.layers.end,) if starts_here else ()
    last = min(option.layers.end, remaining.end)
    return [end for end in boundaries if remaining.first < end <= last]


def _layer_boundaries(
    options: Iterable[StageOption], layer_count: int
) -> list[int]:
    boundaries = {0, layer_count}
    for option in options:
        boundaries.add(option.layers.first)
        boundaries.add(option.layers.end)
    return sorted(bound for bound in boundaries if 0 <= bound <= layer_count)
