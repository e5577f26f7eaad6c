"""Assign layers that nobody holds to spare and adjacent accelerators."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.layout import Placement
from foxtailhatch.routes import Engine


@dataclass(slots=True)
class _GapShare:
    """The part of a gap that one accelerator takes.

    ``side`` is -1 for an accelerator whose layers end where the gap begins, 1
    for one whose layers begin where it ends, and 0 for any other.  Adjacent
    accelerators keep their layers; the others give them up.
    """

    accelerator: Accelerator
    side: int = 0
    count: int = 0

    def capacity_with_next_layer(self, engine: Engine) -> float:
        """Return the KV capacity in tokens that one more layer leaves."""
        kept = len(self.accelerator.layers or ()) if self.side else 0
        return engine.kv_tokens(
            self.accelerator.memory_mb, kept + self.count + 1
        )

    def resulting_range(self, first: int) -> LayerRange:
        """Return the layers to hold if the part of the gap begins there."""
        end = first + self.count
        held = self.accelerator.layers
        if held is None or not self.side:
            return LayerRange(first, end)
        if self.side < 0:
            return LayerRange(held.first, end)
        return LayerRange(first, held.end)


def fill_gap(
    gap: LayerRange,
    holding: Sequence[Accelerator],
    spares: Sequence[Accelerator],
    engine: Engine,
    min_capacity: float,
) -> list[Placement]:
    """Return placements that cover a gap; empty if its layers do not fit.

    One empty accelerator takes the whole gap if it can.  Otherwise the
    adjacent accelerators and as few spares as suffice share it, and each is
    left with a KV capacity of ``min_capacity`` tokens or more.
    """
    empty = [
        [_GapShare(accelerator)]
        for accelerator in spares
        if accelerator.layers is None
    ]
    mixed = [
        [
            *_adjacent_shares(gap, holding, spares[:count]),
            *map(_GapShare, spares[:count]),
        ]
        for count in range(len(spares) + 1)
    ]
    for shares in (*empty[:1], *mixed):
        placements = _distribute(gap, shares, engine, min_capacity)
        if placements:
            return placements
    return []


def redundant(holding: Sequence[Accelerator]) -> list[Accelerator]:
    """Return accelerators whose layers are all held by others as well.

    They can take other layers.  Of accelerators that hold the same layers,
    all but one are returned.
    """
    needed = list(holding)
    selected = []
    for accelerator in sorted(holding, key=lambda held: held.memory_mb):
        others = [other for other in needed if other is not accelerator]
        if accelerator.layers is None or accelerator.has_pending_order:
            continue
        if _are_held(accelerator.layers, others):
            needed = others
            selected.append(accelerator)
    return selected


def _are_held(layers: LayerRange, accelerators: Iterable[Accelerator]) -> bool:
    missing = set(range(layers.first, layers.end))
    for accelerator in accelerators:
        if accelerator.layers is not None and not accelerator.has_pending_order:
            missing.difference_update(
                range(accelerator.layers.first, accelerator.layers.end)
            )
    return not missing


def _adjacent_shares(
    gap: LayerRange,
    holding: Sequence[Accelerator],
    spares: Sequence[Accelerator],
) -> list[_GapShare]:
    """Return shares for the adjacent accelerators with most memory a layer."""
    free = [
        accelerator
        for accelerator in holding
        if accelerator.layers
        and not accelerator.has_pending_order
        and accelerator not in spares
    ]
    below = [
        accelerator for accelerator in free if _end(accelerator) == gap.first
    ]
    above = [
        accelerator for accelerator in free if _first(accelerator) == gap.end
    ]
    shares = []
    if below:
        shares.append(_GapShare(max(below, key=_memory_per_layer_mb), -1))
    if above:
        shares.append(_GapShare(max(above, key=_memory_per_layer_mb), 1))
    return shares


def _distribute(
    gap: LayerRange,
    shares: Sequence[_GapShare],
    engine: Engine,
    min_capacity: float,
) -> list[Placement]:
    """Assign each layer of a gap to the share with the most capacity left."""
    while sum(share.count for share in shares) < len(gap):
        capacities = [
            share.capacity_with_next_layer(engine) for share in shares
        ]
        largest = max(capacities, default=0)
        if largest < min_capacity:
            return []
        shares[capacities.index(largest)].count += 1
    placements = []
    first = gap.first
    for share in sorted(shares, key=attrgetter('side')):
        if share.count:
            placements.append((share.accelerator, share.resulting_range(first)))
            first += share.count
    return placements


def _memory_per_layer_mb(accelerator: Accelerator) -> float:
    return accelerator.memory_mb / len(accelerator.layers or (0,))


def _first(accelerator: Accelerator) -> int | None:
    return None if accelerator.layers is None else accelerator.layers.first


def _end(accelerator: Accelerator) -> int | None:
    return None if accelerator.layers is None else accelerator.layers.end
