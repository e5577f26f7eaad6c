"""Shortest paths over layer boundaries.

The nodes are the boundaries 0 to ``layer_count`` at which some offer starts
or ends.  An offer makes an edge between any two boundaries inside its range,
so that an endpoint may be asked for part of what it holds.  All edges lead
upwards, hence one pass in the order of the boundaries finds the best path.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from foxtailhatch.core import ChainStage, LayerRange
from foxtailhatch.routing.costs import Offer

REUSE_COST_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Path:
    """Stages from layer 0 up to a boundary, and their cost together."""

    cost: float = 0
    stages: tuple[ChainStage, ...] = ()

    def uses(self, endpoint: str) -> bool:
        """Tell whether an endpoint has a stage in the path."""
        return any(stage.endpoint == endpoint for stage in self.stages)

    def repeats(self) -> bool:
        """Tell whether an endpoint has more than one stage in the path."""
        names = {stage.endpoint for stage in self.stages}
        return len(names) < len(self.stages)


def cheapest(offered: Sequence[Offer], layer_count: int) -> Path | None:
    """Return the cheapest path over all layers, or ``None``.

    An endpoint has two stages only where that clearly pays.
    """
    best = _search(offered, layer_count, reuse=True)
    if best is None or not best.repeats():
        return best
    other = _search(offered, layer_count, reuse=False)
    if other is None or best.cost < REUSE_COST_SHARE * other.cost:
        return best
    return other


def _search(
    offered: Sequence[Offer],
    layer_count: int,
    *,
    reuse: bool,
) -> Path | None:
    bounds = _boundaries(offered, layer_count)
    best = {0: Path()}
    for first in bounds:
        path = best.get(first)
        if path is not None:
            rest = LayerRange(first, layer_count)
            open_to = (
                offer
                for offer in offered
                if reuse or not path.uses(offer.endpoint)
            )
            for offer in open_to:
                _extend(best, path, rest, offer, bounds)
    return best.get(layer_count)


def _extend(
    best: dict[int, Path],
    path: Path,
    rest: LayerRange,
    offer: Offer,
    bounds: Iterable[int],
) -> None:
    for end in _ends(offer, rest, bounds):
        cost = path.cost + offer.cost(end - rest.first)
        known = best.get(end)
        if known is None or cost < known.cost:
            stage = ChainStage(offer.endpoint, LayerRange(rest.first, end))
            best[end] = Path(cost, (*path.stages, stage))


def _ends(
    offer: Offer,
    rest: LayerRange,
    bounds: Iterable[int],
) -> Iterable[int]:
    if not offer.layers.first <= rest.first < offer.layers.end:
        return ()
    if offer.entire:
        starts_here = offer.layers.first == rest.first
        return (offer.layers.end,) if starts_here else ()
    last = min(offer.layers.end, rest.end)
    return [end for end in bounds if rest.first < end <= last]


def _boundaries(offered: Iterable[Offer], layer_count: int) -> list[int]:
    found = {0, layer_count}
    for offer in offered:
        found.add(offer.layers.first)
        found.add(offer.layers.end)
    return sorted(bound for bound in found if 0 <= bound <= layer_count)
