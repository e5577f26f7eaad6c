"""Layouts of the whole model over a group, and the gaps in a layout."""

from collections.abc import Sequence

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.partitioning import partition_layers
from foxtailhatch.routes import Engine

Placement = tuple[Accelerator, LayerRange]

# A smaller group needs all of its accelerators for one replica.
SECOND_HEAD_GROUP_SIZE_MIN = 4


def lay_out(
    accelerators: Sequence[Accelerator], engine: Engine
) -> list[Placement]:
    """Place the whole model, the first layers on two accelerators if useful.

    A chain's first endpoint (its head) admits a bounded number of requests.
    Where the KV cache holds more requests of usual size than one head admits,
    a second head is worth the memory that it takes.  Accelerators keep their
    order by layers held, so that few layers have to be loaded.  The result
    is empty if the accelerators cannot hold the model.
    """
    ordered = sorted(
        _largest(accelerators, engine.max_stages), key=_layer_order
    )
    model = LayerRange(0, engine.layer_count)
    single = partition_layers(ordered, model, engine)
    usual = engine.typical_prompt_tokens + engine.typical_output_tokens
    if min_kv_capacity(single, engine) <= engine.slots * usual:
        return single
    second_head = _second_head(ordered)
    rest = [
        accelerator for accelerator in ordered if accelerator is not second_head
    ]
    placements = partition_layers(rest, model, engine)
    if second_head is None or not placements:
        return single
    head_layers = placements[0][1]
    if len(head_layers) * engine.layer_mb >= second_head.memory_mb:
        return placements
    return [*placements, (second_head, head_layers)]


def uncovered_ranges(
    holding: Sequence[Accelerator], layer_count: int
) -> list[LayerRange]:
    """Return the ranges of layers that no accelerator holds."""
    gaps = []
    covered_end = 0
    ranges = sorted(
        accelerator.layers for accelerator in holding if accelerator.layers
    )
    for layers in ranges:
        if layers.first > covered_end:
            gaps.append(LayerRange(covered_end, layers.first))
        covered_end = max(covered_end, layers.end)
    if covered_end < layer_count:
        gaps.append(LayerRange(covered_end, layer_count))
    return gaps


def min_kv_capacity(placements: Sequence[Placement], engine: Engine) -> float:
    """Return the least KV capacity of any accelerator, in tokens."""
    return min(
        (
            engine.kv_tokens(accelerator.memory_mb, len(layers))
            for accelerator, layers in placements
        ),
        default=0,
    )


def layers_max(memory_mb: float, engine: Engine, min_capacity: float) -> int:
    """Return how many layers leave a KV capacity of ``min_capacity`` tokens."""
    return sum(
        engine.kv_tokens(memory_mb, count) >= min_capacity
        for count in range(1, engine.layer_count + 1)
    )


def pooled_kv_capacity(
    accelerator: Accelerator,
    holding: Sequence[Accelerator],
    engine: Engine,
) -> float:
    """Return the tokens that fit on all holders of an accelerator's layers."""
    layers = accelerator.layers
    if layers is None:
        return 0
    return sum(
        engine.kv_tokens(other.memory_mb, len(other.layers))
        for other in holding
        if other.layers and other.layers.covers(layers)
    )


def _largest(
    accelerators: Sequence[Accelerator], limit: int
) -> list[Accelerator]:
    """Return the ``limit`` accelerators with the most memory."""
    by_memory = sorted(
        accelerators,
        key=lambda accelerator: (
            -accelerator.memory_mb,
            accelerator.endpoint,
        ),
    )
    return by_memory[:limit]


def _layer_order(accelerator: Accelerator) -> tuple[int, int, float, str]:
    layers = accelerator.layers
    if layers is None:
        return 0, 0, accelerator.memory_mb, accelerator.endpoint
    return (
        layers.first,
        layers.end,
        accelerator.memory_mb,
        accelerator.endpoint,
    )


def _second_head(ordered: Sequence[Accelerator]) -> Accelerator | None:
    """Return the accelerator to hold the first layers a second time."""
    if len(ordered) < SECOND_HEAD_GROUP_SIZE_MIN:
        return None
    heads = [
        accelerator
        for accelerator in ordered
        if accelerator.layers and not accelerator.layers.first
    ]
    if len(heads) > 1:
        return heads[-1]
    return min(
        ordered,
        key=lambda accelerator: (
            accelerator.memory_mb,
            accelerator.endpoint,
        ),
    )
