"""Plan the orders that close gaps in the layers and use spare accelerators.

The first plan of a group gives each accelerator a part of the layers.  A
chain's first endpoint admits a bounded number of requests, so the first layers
are placed on two accelerators where memory allows.  Later plans change as
little as possible: lost layers go to accelerators that are empty or redundant,
and to those that hold the adjacent layers, which pass layers on to the next ones if
they lack the memory.  If that does not suffice and no
other replica holds the layers, the group cannot serve in any case and is laid
out again as a whole.  While no layer is missing, empty accelerators of the
working set and neighbours with more KV capacity take layers from those with
the least.
"""

from collections.abc import Sequence
from dataclasses import replace

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import (
    Accelerator,
    OrderReason,
    PlacementOrder,
)
from foxtailhatch.placement.gap_repair import fill_gap, redundant
from foxtailhatch.placement.layout import (
    Placement,
    lay_out,
    min_kv_capacity,
    pooled_kv_capacity,
    uncovered_ranges,
)
from foxtailhatch.placement.rebalancing import rebalancing_steps, split_range
from foxtailhatch.placement.stage_groups import stage_groups_of
from foxtailhatch.placement.window_repair import fill_gap_by_window
from foxtailhatch.placement.working_set import working_set
from foxtailhatch.routes import Engine

# KV capacity that must be left on an accelerator that loads layers: about ten
# requests of usual size.
KV_TOKENS_MIN = 8000.0
# Boundaries around a gap are moved if that leaves this share of the KV capacity
# that a new layout of all accelerators would have.
WINDOW_CAPACITY_SHARE = 0.7


def plan_placement(
    group: Sequence[Accelerator],
    engine: Engine,
    other_replicas: Sequence[Accelerator] = (),
    *,
    is_crowded: bool = False,
) -> list[PlacementOrder]:
    """Return the orders for one group; empty if nothing has to change.

    ``other_replicas`` are accelerators whose layers chains may use as well.
    A group that ``is_crowded`` has little KV capacity left, so that it uses
    accelerators outside the working set, too.
    """
    holding = [
        accelerator for accelerator in group if accelerator.layers is not None
    ]
    spares = [
        accelerator
        for accelerator in group
        if accelerator.layers is None and not accelerator.has_pending_order
    ]
    serving = working_set([*holding, *spares], engine)
    spares.sort(
        key=lambda accelerator: (
            accelerator not in serving,
            -accelerator.memory_mb,
            accelerator.endpoint,
        )
    )
    if not holding:
        return _orders(
            lay_out(serving, engine), spares, OrderReason.INITIAL_PLACEMENT
        )
    gaps = uncovered_ranges(holding, engine.layer_count)
    if gaps:
        repair = _repair(gaps, holding, spares, engine)
        if repair or _are_held(gaps, other_replicas):
            return repair
        return _relayout([*holding, *spares], engine)
    is_changing = any(accelerator.has_pending_order for accelerator in group)
    uses_reserve = is_crowded and not is_changing
    useful = [spare for spare in spares if uses_reserve or spare in serving]
    orders = _assign_spare(useful, holding, engine)
    return orders or _orders(
        rebalancing_steps(holding, engine), holding, OrderReason.REBALANCING
    )


def _repair(
    gaps: Sequence[LayerRange],
    holding: Sequence[Accelerator],
    spares: Sequence[Accelerator],
    engine: Engine,
) -> list[PlacementOrder]:
    accelerators = [*holding, *spares]
    orders: list[PlacementOrder] = []
    stages_left = engine.max_stages - len(stage_groups_of(holding))
    available = [*spares[:stages_left], *redundant(holding)]
    for gap in gaps:
        free = _with_orders(holding, orders)
        placements = fill_gap(
            gap, free, available, engine, KV_TOKENS_MIN
        ) or fill_gap_by_window(
            gap,
            free,
            [spare for spare in available if spare.layers is None],
            engine,
            _useful_capacity(accelerators, engine),
        )
        if not placements:
            continue
        available = [
            accelerator
            for accelerator in available
            if accelerator not in _accelerators(placements)
        ]
        orders.extend(
            _orders(placements, accelerators, OrderReason.LOST_LAYERS)
        )
    return orders


def _useful_capacity(
    accelerators: Sequence[Accelerator], engine: Engine
) -> float:
    """Return the KV capacity that mending a layout should leave, in tokens."""
    usual = engine.typical_prompt_tokens + engine.typical_output_tokens
    replaced = min_kv_capacity(lay_out(accelerators, engine), engine)
    useful = min(replaced, engine.slots * usual)
    return max(KV_TOKENS_MIN, WINDOW_CAPACITY_SHARE * useful)


def _with_orders(
    accelerators: Sequence[Accelerator], orders: Sequence[PlacementOrder]
) -> list[Accelerator]:
    """Return accelerators as they are while orders are in progress."""
    ordered = {order.endpoint: order.layers for order in orders}
    return [
        replace(
            accelerator,
            layers=ordered[accelerator.endpoint],
            has_pending_order=True,
        )
        if accelerator.endpoint in ordered
        else accelerator
        for accelerator in accelerators
    ]


def _are_held(
    gaps: Sequence[LayerRange], accelerators: Sequence[Accelerator]
) -> bool:
    """Return whether accelerators hold all layers of the gaps."""
    held = {
        layer
        for accelerator in accelerators
        if accelerator.layers is not None
        for layer in range(accelerator.layers.first, accelerator.layers.end)
    }
    return all(held.issuperset(range(gap.first, gap.end)) for gap in gaps)


def _relayout(
    accelerators: Sequence[Accelerator], engine: Engine
) -> list[PlacementOrder]:
    if any(accelerator.has_pending_order for accelerator in accelerators):
        return []
    return _orders(
        lay_out(accelerators, engine), accelerators, OrderReason.FULL_RELAYOUT
    )


def _assign_spare(
    spares: Sequence[Accelerator],
    holding: Sequence[Accelerator],
    engine: Engine,
) -> list[PlacementOrder]:
    """Let the largest spare share layers where KV capacity is least."""
    free = [
        accelerator
        for accelerator in holding
        if not accelerator.has_pending_order
    ]
    if not spares or not free:
        return []
    if len(stage_groups_of(holding)) >= engine.max_stages:
        return []
    spare = spares[0]
    bottleneck = min(
        free,
        key=lambda accelerator: pooled_kv_capacity(accelerator, free, engine),
    )
    layers = split_range(spare, bottleneck)
    if layers is None:
        return []
    if engine.kv_tokens(spare.memory_mb, len(layers)) < KV_TOKENS_MIN:
        return []
    return _orders([(spare, layers)], [spare], OrderReason.LOW_KV_CAPACITY)


def _orders(
    placements: Sequence[Placement],
    accelerators: Sequence[Accelerator],
    reason: OrderReason,
) -> list[PlacementOrder]:
    """Return orders for the placements that differ from what is held."""
    held = {
        accelerator.endpoint: accelerator.layers for accelerator in accelerators
    }
    return [
        PlacementOrder(accelerator.endpoint, layers, reason)
        for accelerator, layers in placements
        if held.get(accelerator.endpoint) != layers
    ]


def _accelerators(placements: Sequence[Placement]) -> list[Accelerator]:
    return [accelerator for accelerator, _ in placements]
