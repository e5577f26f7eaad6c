"""Cards that hold layers from the same one on, taken together."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.layout import Placed
from foxtailhatch.routes import Engine


@dataclass(frozen=True, slots=True)
class StageGroup:
    """Cards with the same first layer, and the layers of the longest ones.

    The others only help with a part of these layers.
    """

    cards: tuple[Accelerator, ...]
    layers: LayerRange

    @property
    def tightest(self) -> Accelerator:
        """Return the card with the least memory among the longest ones.

        What a request needs has to fit on whichever of these it gets.
        """
        longest = [card for card in self.cards if card.layers == self.layers]
        return min(longest, key=attrgetter('memory_mb', 'endpoint'))

    def room(self, engine: Engine, count: int | None = None) -> float:
        """Return the tokens that fit beside its layers, or beside ``count``."""
        held = len(self.layers) if count is None else count
        return engine.kv_tokens(self.tightest.memory_mb, held)

    def holding(self, layers: LayerRange) -> list[Placed]:
        """Return the cards that have to change for the column to hold these.

        A card that helps never gets layers beyond the ones that it has.
        """
        placed = []
        for card in self.cards:
            wanted = _part(card, layers, self.layers.end)
            if wanted is not None and wanted != card.layers:
                placed.append((card, wanted))
        return placed


def stage_groups_of(cards: Sequence[Accelerator]) -> list[StageGroup]:
    """Return the columns of the cards that hold layers, in their order.

    A column that another one covers and exceeds is left out.
    """
    by_first: dict[int, list[Accelerator]] = defaultdict(list)
    for card in cards:
        if card.layers is not None:
            by_first[card.layers.first].append(card)
    columns: list[StageGroup] = []
    for first in sorted(by_first):
        column = _column(first, by_first[first])
        reached = columns[-1].layers.end if columns else 0
        if column.layers.end >= reached:
            columns.append(column)
    return columns


def _column(first: int, cards: Sequence[Accelerator]) -> StageGroup:
    end = max(card.layers.end for card in cards if card.layers is not None)
    return StageGroup(tuple(cards), LayerRange(first, end))


def _part(card: Accelerator, layers: LayerRange, end: int) -> LayerRange | None:
    """Return the part that a card should have in its column's layers."""
    held = card.layers
    if held is None or held.end <= layers.first:
        return None
    if held.end == end:
        return layers
    return LayerRange(layers.first, min(held.end, layers.end))
