"""Decide on the orders that close gaps and use spare cards.

A group's first plan gives each card its part of the layers.  The endpoint
that receives a request bounds how many it receives, so the first layers
stand on two cards.  Later plans change as little as they can: lost layers go
to cards that are empty or hold only what others hold as well, and to the
cards that hold the layers beside the gap.  Only where these lack the memory
and no other copy holds the layers is the whole group laid out anew: it cannot
serve in any case.  While nothing
is lost, empty cards and neighbours with more room take over from tight cards.
"""

from collections.abc import Sequence

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import (
    Accelerator,
    OrderReason,
    PlacementOrder,
)
from foxtailhatch.placement.gap_repair import closed, duplicates
from foxtailhatch.placement.layout import (
    Placed,
    lay_out,
    shared_room,
    uncovered_ranges,
)
from foxtailhatch.placement.rebalancing import relaxed, split_range
from foxtailhatch.placement.stage_groups import stage_groups_of
from foxtailhatch.routes import Engine

# Nothing is loaded onto a card that is left with less room than this: ten
# requests of usual size would fill it.
KV_TOKENS_MIN = 8000.0


def plan_placement(
    group: Sequence[Accelerator],
    engine: Engine,
    beside: Sequence[Accelerator] = (),
) -> list[PlacementOrder]:
    """Return the orders for one group of cards; none if all is well.

    Cards ``beside`` the group, of other copies, hold layers that chains may
    take from there as well.
    """
    holding = [card for card in group if card.layers is not None]
    spares = [
        card
        for card in group
        if card.layers is None and not card.has_pending_order
    ]
    spares.sort(key=lambda card: (-card.memory_mb, card.endpoint))
    if not holding:
        return _orders(
            lay_out(spares, engine), spares, OrderReason.INITIAL_PLACEMENT
        )
    lost = uncovered_ranges(holding, engine.layer_count)
    if lost:
        repair = _repair(lost, holding, spares, engine)
        if repair or _hold_all(lost, beside):
            return repair
        return _anew([*holding, *spares], engine)
    orders = _use(spares, holding, engine)
    return orders or _orders(
        relaxed(holding, engine), holding, OrderReason.REBALANCING
    )


def _repair(
    lost: Sequence[LayerRange],
    holding: Sequence[Accelerator],
    spares: Sequence[Accelerator],
    engine: Engine,
) -> list[PlacementOrder]:
    cards = [*holding, *spares]
    orders: list[PlacementOrder] = []
    places_left = engine.stages_max - len(stage_groups_of(holding))
    left = [*spares[:places_left], *duplicates(holding)]
    for gap in lost:
        placed = closed(gap, holding, left, engine, KV_TOKENS_MIN)
        if not placed:
            continue
        left = [card for card in left if card not in _cards(placed)]
        orders.extend(_orders(placed, cards, OrderReason.LOST_LAYERS))
    return orders


def _hold_all(lost: Sequence[LayerRange], cards: Sequence[Accelerator]) -> bool:
    """Tell whether other cards hold what is lost."""
    held = {
        layer
        for card in cards
        if card.layers is not None
        for layer in range(card.layers.first, card.layers.end)
    }
    return all(held.issuperset(range(one.first, one.end)) for one in lost)


def _anew(cards: Sequence[Accelerator], engine: Engine) -> list[PlacementOrder]:
    if any(card.has_pending_order for card in cards):
        return []
    return _orders(lay_out(cards, engine), cards, OrderReason.FULL_RELAYOUT)


def _use(
    spares: Sequence[Accelerator],
    holding: Sequence[Accelerator],
    engine: Engine,
) -> list[PlacementOrder]:
    """Let a spare card help where the least room for requests is."""
    free = [card for card in holding if not card.has_pending_order]
    if not spares or not free:
        return []
    if len(stage_groups_of(holding)) >= engine.stages_max:
        return []
    spare = spares[0]
    tightest = min(free, key=lambda card: shared_room(card, free, engine))
    layers = split_range(spare, tightest)
    if layers is None:
        return []
    if engine.kv_tokens(spare.memory_mb, len(layers)) < KV_TOKENS_MIN:
        return []
    return _orders([(spare, layers)], [spare], OrderReason.LOW_KV_CAPACITY)


def _orders(
    placed: Sequence[Placed],
    cards: Sequence[Accelerator],
    reason: OrderReason,
) -> list[PlacementOrder]:
    """Return orders for the cards that do not hold what they should."""
    held = {card.endpoint: card.layers for card in cards}
    return [
        PlacementOrder(card.endpoint, layers, reason)
        for card, layers in placed
        if held.get(card.endpoint) != layers
    ]


def _cards(placed: Sequence[Placed]) -> list[Accelerator]:
    return [card for card, _ in placed]
