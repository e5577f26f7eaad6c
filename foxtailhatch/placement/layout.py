"""Layouts of a group: whole ones, and what closes a gap."""

from collections.abc import Sequence

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.cards import Card
from foxtailhatch.placement.tiling import tile
from foxtailhatch.routes import Engine

Placed = tuple[Card, LayerRange]

# A group this small needs all of its cards for one copy of the layers.
DOUBLED_FROM = 4


def laid_out(cards: Sequence[Card], engine: Engine) -> list[Placed]:
    """Lay the whole model over cards, the first layers on two of them.

    Cards keep the order of what they hold, so that little has to be loaded.
    The result is empty if the cards cannot hold the model.
    """
    ordered = sorted(cards, key=_order)
    whole = LayerRange(0, engine.layer_count)
    doubled = _doubled(ordered)
    rest = [card for card in ordered if card is not doubled]
    placed = tile(rest, whole, engine)
    if doubled is None or not placed:
        return placed or tile(ordered, whole, engine)
    head = placed[0][1]
    if len(head) * engine.layer_mb >= doubled.memory_mb:
        return placed
    return [*placed, (doubled, head)]


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


def extended(gap: LayerRange, holding: Sequence[Card]) -> list[Placed]:
    """Share a gap among the cards that hold the layers beside it."""
    below = _roomiest(gap.first, holding, at_end=True)
    above = _roomiest(gap.end, holding, at_end=False)
    split = _split(gap, below, above)
    placed = []
    if below and below.layers and split > gap.first:
        placed.append((below, LayerRange(below.layers.first, split)))
    if above and above.layers and split < gap.end:
        placed.append((above, LayerRange(split, above.layers.end)))
    return placed


def room_of(placed: Sequence[Placed], engine: Engine) -> float:
    """Return the tokens that fit on the tightest of the cards."""
    return min(
        (
            engine.kv_tokens(card.memory_mb, len(layers))
            for card, layers in placed
        ),
        default=0,
    )


def shared_room(
    card: Card,
    holding: Sequence[Card],
    engine: Engine,
) -> float:
    """Return the tokens that fit where a card's layers stand."""
    layers = card.layers
    if layers is None:
        return 0
    return sum(
        engine.kv_tokens(other.memory_mb, len(other.layers))
        for other in holding
        if other.layers and other.layers.covers(layers)
    )


def _order(card: Card) -> tuple[int, int, float, str]:
    layers = card.layers
    if layers is None:
        return 0, 0, card.memory_mb, card.endpoint
    return layers.first, layers.end, card.memory_mb, card.endpoint


def _doubled(ordered: Sequence[Card]) -> Card | None:
    """Return the card to hold the first layers a second time."""
    if len(ordered) < DOUBLED_FROM:
        return None
    heads = [card for card in ordered if card.layers and not card.layers.first]
    if len(heads) > 1:
        return heads[-1]
    return min(ordered, key=lambda card: (card.memory_mb, card.endpoint))


def _roomiest(
    boundary: int,
    holding: Sequence[Card],
    *,
    at_end: bool,
) -> Card | None:
    free = [card for card in holding if card.layers and not card.is_settling]
    beside = [card for card in free if _bound(card, at_end) == boundary]
    return max(
        beside,
        key=lambda card: card.memory_mb / len(card.layers or (0,)),
        default=None,
    )


def _bound(card: Card, at_end: bool) -> int | None:  # noqa: FBT001
    layers = card.layers
    if layers is None:
        return None
    return layers.end if at_end else layers.first


def _split(gap: LayerRange, below: Card | None, above: Card | None) -> int:
    """Return the layer at which the card above takes over."""
    if below is None:
        return gap.first
    if above is None:
        return gap.end
    below_count = len(below.layers or ())
    above_count = len(above.layers or ())
    split = gap.first
    taken_above = 0
    while split + taken_above < gap.end:
        below_room = below.memory_mb / (below_count + 1)
        if below_room >= above.memory_mb / (above_count + 1):
            below_count += 1
            split += 1
        else:
            above_count += 1
            taken_above += 1
    return split
