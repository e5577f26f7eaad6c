"""Partition layers over accelerators so that all have equal KV capacity."""

from collections.abc import Sequence
from heapq import heapify, heapreplace

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.routes import Engine


def partition_layers(
    accelerators: Sequence[Accelerator],
    layers: LayerRange,
    engine: Engine,
) -> list[tuple[Accelerator, LayerRange]]:
    """Return a part of ``layers`` for each accelerator, by its memory.

    With equal memory per layer, every accelerator has the same KV capacity,
    so that none fills up before the others.  Accelerators without a part are
    left out.  The result is empty if the layers do not fit.
    """
    counts = _layer_counts(accelerators, len(layers), engine)
    if sum(counts) < len(layers):
        return []
    placements = []
    first = layers.first
    for accelerator, count in zip(accelerators, counts, strict=True):
        if count:
            placements.append((accelerator, LayerRange(first, first + count)))
            first += count
    return placements


def _layer_counts(
    accelerators: Sequence[Accelerator], total: int, engine: Engine
) -> list[int]:
    """Assign layers one by one where they leave the most memory per layer."""
    counts = [0 for _ in accelerators]
    # Of equal shares the first accelerator's is on top.
    shares = [
        (-_memory_per_layer_mb(accelerator, 0, engine), index)
        for index, accelerator in enumerate(accelerators)
    ]
    heapify(shares)
    for _ in range(total):
        if not shares or shares[0][0] > 0:
            return counts
        index = shares[0][1]
        counts[index] += 1
        share_mb = _memory_per_layer_mb(
            accelerators[index], counts[index], engine
        )
        heapreplace(shares, (-share_mb, index))
    return counts


def _memory_per_layer_mb(
    accelerator: Accelerator, count: int, engine: Engine
) -> float:
    """Return the memory per layer with one more than ``count``, in MB.

    Return -1 if one more layer does not fit.
    """
    needed_mb = (count + 1) * engine.layer_mb
    return (
        accelerator.memory_mb / (count + 1)
        if needed_mb < accelerator.memory_mb
        else -1
    )
