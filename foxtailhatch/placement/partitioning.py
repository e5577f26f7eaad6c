"""Lay the model's layers over cards so that each token finds equal room."""

from collections.abc import Sequence

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.routes import Engine


def partition_layers(
    cards: Sequence[Accelerator],
    layers: LayerRange,
    engine: Engine,
) -> list[tuple[Accelerator, LayerRange]]:
    """Give each card a part of ``layers``, in proportion to its memory.

    Equal memory a layer means equal room for KV cache on every card, so no
    card fills up before the others.  Cards that would get nothing are left
    out.  The result is empty if the cards cannot hold the layers.
    """
    counts = _counts(cards, len(layers), engine)
    if sum(counts) < len(layers):
        return []
    placed = []
    first = layers.first
    for card, count in zip(cards, counts, strict=True):
        if count:
            placed.append((card, LayerRange(first, first + count)))
            first += count
    return placed


def _counts(
    cards: Sequence[Accelerator], total: int, engine: Engine
) -> list[int]:
    """Hand out one layer after another to the card with most memory each."""
    counts = [0 for _ in cards]
    for _ in range(total):
        worths = [
            _worth(card, count, engine)
            for card, count in zip(cards, counts, strict=True)
        ]
        best = max(worths, default=-1)
        if best < 0:
            return counts
        counts[worths.index(best)] += 1
    return counts


def _worth(card: Accelerator, count: int, engine: Engine) -> float:
    """Return the memory for each layer with one more; -1 if none fits."""
    needed_mb = (count + 1) * engine.layer_mb
    return card.memory_mb / (count + 1) if needed_mb < card.memory_mb else -1
