"""Close a gap of layers with spare cards and the cards beside it."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.layout import Placed
from foxtailhatch.routes import Engine


@dataclass(slots=True)
class _Share:
    """A card's part of a gap; ``side`` is -1 below the gap and 1 above it.

    A card beside the gap keeps its layers; any other one gives them up.
    """

    card: Accelerator
    side: int = 0
    count: int = 0

    def room_with_next(self, engine: Engine) -> float:
        """Return the tokens that fit with one more layer."""
        kept = len(self.card.layers or ()) if self.side else 0
        return engine.kv_tokens(self.card.memory_mb, kept + self.count + 1)

    def joined(self, first: int) -> LayerRange:
        """Return what the card holds with its part, which begins there."""
        end = first + self.count
        held = self.card.layers
        if held is None or not self.side:
            return LayerRange(first, end)
        if self.side < 0:
            return LayerRange(held.first, end)
        return LayerRange(first, held.end)


def closed(
    gap: LayerRange,
    holding: Sequence[Accelerator],
    spares: Sequence[Accelerator],
    engine: Engine,
    room_min: float,
) -> list[Placed]:
    """Return where the layers of a gap go; empty if they fit nowhere.

    A single empty card takes the whole gap if it can.  Else the cards beside
    the gap and as many spares as it needs share it, each with at least
    ``room_min`` tokens of room left.
    """
    empty = [[_Share(card)] for card in spares if card.layers is None]
    mixed = [
        [
            *_beside(gap, holding, spares[:count]),
            *map(_Share, spares[:count]),
        ]
        for count in range(len(spares) + 1)
    ]
    for shares in (*empty[:1], *mixed):
        placed = _shared(gap, shares, engine, room_min)
        if placed:
            return placed
    return []


def duplicates(holding: Sequence[Accelerator]) -> list[Accelerator]:
    """Return cards that can be given other layers, as others hold theirs.

    Of cards that hold the same layers all but one are returned.
    """
    needed = list(holding)
    found = []
    for card in sorted(holding, key=lambda one: one.memory_mb):
        others = [one for one in needed if one is not card]
        if card.layers is None or card.has_pending_order:
            continue
        if _cover(card.layers, others):
            needed = others
            found.append(card)
    return found


def _cover(layers: LayerRange, cards: Iterable[Accelerator]) -> bool:
    missing = set(range(layers.first, layers.end))
    for card in cards:
        if card.layers is not None and not card.has_pending_order:
            missing.difference_update(range(card.layers.first, card.layers.end))
    return not missing


def _beside(
    gap: LayerRange,
    holding: Sequence[Accelerator],
    spares: Sequence[Accelerator],
) -> list[_Share]:
    """Return the roomiest cards that hold the layers beside a gap."""
    free = [
        card
        for card in holding
        if card.layers and not card.has_pending_order and card not in spares
    ]
    below = [card for card in free if _end(card) == gap.first]
    above = [card for card in free if _first(card) == gap.end]
    shares = []
    if below:
        shares.append(_Share(max(below, key=_memory_share), -1))
    if above:
        shares.append(_Share(max(above, key=_memory_share), 1))
    return shares


def _shared(
    gap: LayerRange,
    shares: Sequence[_Share],
    engine: Engine,
    room_min: float,
) -> list[Placed]:
    """Hand out the layers of a gap one by one to the roomiest card."""
    while sum(share.count for share in shares) < len(gap):
        rooms = [share.room_with_next(engine) for share in shares]
        most = max(rooms, default=0)
        if most < room_min:
            return []
        shares[rooms.index(most)].count += 1
    placed = []
    first = gap.first
    for share in sorted(shares, key=attrgetter('side')):
        if share.count:
            placed.append((share.card, share.joined(first)))
            first += share.count
    return placed


def _memory_share(card: Accelerator) -> float:
    return card.memory_mb / len(card.layers or (0,))


def _first(card: Accelerator) -> int | None:
    return None if card.layers is None else card.layers.first


def _end(card: Accelerator) -> int | None:
    return None if card.layers is None else card.layers.end
