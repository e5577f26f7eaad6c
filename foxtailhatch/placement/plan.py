"""Decide on the orders that close gaps and use spare cards.

A group's first plan gives each card its part of the layers.  The endpoint
that receives a request bounds how many it receives, so the first layers
stand on two cards.  Later plans change as little as they can: lost layers go
to an empty card, else to the cards that hold the layers beside them.
"""

from collections.abc import Sequence

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.cards import Card, LayerOrder
from foxtailhatch.placement.tiling import tile
from foxtailhatch.routes import Engine

# Cards that can receive requests, as the receiver's places bound a group.
HEADS = 2
# A card is not extended beyond this: what is left holds too few requests.
KV_TOKENS_MIN = 8000.0
# A card that can give up layers to one with this much more room does so.
SHRINK_RATIO = 2.0


def plan_orders(group: Sequence[Card], engine: Engine) -> list[LayerOrder]:
    """Return the orders for one group of cards; none if all is well."""
    holding = [card for card in group if card.layers is not None]
    empty = [card for card in group if card.layers is None]
    if not holding:
        return first_orders(empty, engine)
    orders: list[LayerOrder] = []
    spares = sorted(empty, key=lambda card: card.memory_mb, reverse=True)
    spares = [card for card in spares if not card.is_settling]
    for gap in gaps(holding, engine.layer_count):
        orders.extend(_close(gap, holding, spares, engine))
    if not orders:
        orders.extend(_use(spares, holding, engine))
    return orders


def first_orders(cards: Sequence[Card], engine: Engine) -> list[LayerOrder]:
    """Return the orders that place a model on empty cards.

    >>> first_orders([], engine=None)
    []
    """
    if not cards:
        return []
    by_memory = sorted(cards, key=_head_rank)
    doubled = by_memory[: HEADS - 1] if len(cards) > HEADS else []
    rest = [card for card in by_memory if card not in doubled]
    # Faster cards first, since each group then has the same order.
    rest.sort(key=lambda card: (card.memory_mb, card.endpoint))
    whole = LayerRange(0, engine.layer_count)
    placed = tile(rest, whole, engine) or tile(by_memory, whole, engine)
    orders = [
        LayerOrder(card.endpoint, layers, 'first plan')
        for card, layers in placed
    ]
    if placed and doubled:
        head = placed[0][1]
        orders.extend(
            LayerOrder(card.endpoint, head, 'second receiver')
            for card in doubled
            if engine.layer_mb * len(head) < card.memory_mb
        )
    return orders


def gaps(holding: Sequence[Card], layer_count: int) -> list[LayerRange]:
    """Return the runs of layers that no card holds."""
    found = []
    reached = 0
    ranges = sorted(card.layers for card in holding if card.layers)
    for layers in ranges:
        if layers.first > reached:
            found.append(LayerRange(reached, layers.first))
        reached = max(reached, layers.end)
    if reached < layer_count:
        found.append(LayerRange(reached, layer_count))
    return found


def _head_rank(card: Card) -> tuple[float, str]:
    return card.memory_mb, card.endpoint


def _close(
    gap: LayerRange,
    holding: Sequence[Card],
    spares: list[Card],
    engine: Engine,
) -> list[LayerOrder]:
    chosen: list[Card] = []
    while spares:
        chosen.append(spares.pop(0))
        placed = tile(chosen, gap, engine)
        if placed and _roomy(placed, engine):
            break
    placed = tile(chosen, gap, engine) if chosen else []
    if placed:
        return [
            LayerOrder(card.endpoint, layers, 'lost layers')
            for card, layers in placed
        ]
    spares.extend(chosen)
    return _extend(gap, holding, engine)


def _roomy(
    placed: Sequence[tuple[Card, LayerRange]],
    engine: Engine,
) -> bool:
    return all(
        engine.kv_tokens(card.memory_mb, len(layers)) >= KV_TOKENS_MIN
        for card, layers in placed
    )


def _extend(
    gap: LayerRange,
    holding: Sequence[Card],
    engine: Engine,
) -> list[LayerOrder]:
    """Share a gap among the cards that hold the layers beside it."""
    below = _best(
        [
            card
            for card in holding
            if card.layers and card.layers.end == gap.first
        ],
    )
    above = _best(
        [
            card
            for card in holding
            if card.layers and card.layers.first == gap.end
        ],
    )
    orders = []
    split = _split(gap, below, above, engine)
    if below and below.layers and split > gap.first:
        layers = LayerRange(below.layers.first, split)
        orders.append(LayerOrder(below.endpoint, layers, 'lost layers above'))
    if above and above.layers and split < gap.end:
        layers = LayerRange(split, above.layers.end)
        orders.append(LayerOrder(above.endpoint, layers, 'lost layers below'))
    return [order for order in orders if _can_hold(order, holding, engine)]


def _best(cards: Sequence[Card]) -> Card | None:
    free = [card for card in cards if not card.is_settling]
    return max(
        free,
        key=lambda card: card.memory_mb / len(card.layers or ()),
        default=None,
    )


def _split(
    gap: LayerRange,
    below: Card | None,
    above: Card | None,
    engine: Engine,
) -> int:
    """Return the layer at which the card above takes over."""
    if below is None:
        return gap.first
    if above is None:
        return gap.end
    below_count = len(below.layers or ())
    above_count = len(above.layers or ())
    split = gap.first
    while split + above_count - len(above.layers or ()) < gap.end:
        below_room = below.memory_mb / (below_count + 1)
        if below_room >= above.memory_mb / (above_count + 1):
            below_count += 1
            split += 1
        else:
            above_count += 1
    return split


def _can_hold(
    order: LayerOrder,
    holding: Sequence[Card],
    engine: Engine,
) -> bool:
    memory_mb = next(
        card.memory_mb for card in holding if card.endpoint == order.endpoint
    )
    return engine.kv_tokens(memory_mb, len(order.layers)) >= KV_TOKENS_MIN


def _use(
    spares: Sequence[Card],
    holding: Sequence[Card],
    engine: Engine,
) -> list[LayerOrder]:
    """Let a spare card help where the least room for requests is."""
    free = [card for card in holding if card.layers and not card.is_settling]
    if not spares or not free:
        return []
    spare = spares[0]
    tightest = min(free, key=lambda card: _shared_room(card, free, engine))
    layers = tightest.layers
    if layers is None or not _fits(spare, layers, engine):
        return []
    return [LayerOrder(spare.endpoint, layers, 'little room')]


def _shared_room(
    card: Card,
    holding: Sequence[Card],
    engine: Engine,
) -> float:
    layers = card.layers
    if layers is None:
        return 0
    return sum(
        engine.kv_tokens(other.memory_mb, len(other.layers))
        for other in holding
        if other.layers and other.layers.covers(layers)
    )


def _fits(card: Card, layers: LayerRange, engine: Engine) -> bool:
    return engine.kv_tokens(card.memory_mb, len(layers)) >= KV_TOKENS_MIN
