"""Layouts of a group: whole ones, and what closes a gap."""

from collections.abc import Sequence

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.partitioning import partition_layers
from foxtailhatch.routes import Engine

Placed = tuple[Accelerator, LayerRange]

# A group this small needs all of its cards for one copy of the layers.
DOUBLED_FROM = 4


def lay_out(cards: Sequence[Accelerator], engine: Engine) -> list[Placed]:
    """Lay the whole model over cards, the first layers on two if need be.

    A receiver takes a bounded number of requests.  Where memory holds more
    of usual size, a second receiver pays for the room that it costs.  Cards
    keep the order of what they hold, so that little has to be loaded.  The
    result is empty if the cards cannot hold the model.
    """
    ordered = sorted(_largest(cards, engine.stages_max), key=_order)
    whole = LayerRange(0, engine.layer_count)
    single = partition_layers(ordered, whole, engine)
    usual = engine.usual_prompt + engine.usual_answer
    if min_kv_capacity(single, engine) <= engine.slots * usual:
        return single
    doubled = _doubled(ordered)
    rest = [card for card in ordered if card is not doubled]
    placed = partition_layers(rest, whole, engine)
    if doubled is None or not placed:
        return single
    head = placed[0][1]
    if len(head) * engine.layer_mb >= doubled.memory_mb:
        return placed
    return [*placed, (doubled, head)]


def uncovered_ranges(
    holding: Sequence[Accelerator], layer_count: int
) -> list[LayerRange]:
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


def min_kv_capacity(placed: Sequence[Placed], engine: Engine) -> float:
    """Return the tokens that fit on the tightest of the cards."""
    return min(
        (
            engine.kv_tokens(card.memory_mb, len(layers))
            for card, layers in placed
        ),
        default=0,
    )


def shared_room(
    card: Accelerator,
    holding: Sequence[Accelerator],
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


def _largest(cards: Sequence[Accelerator], most: int) -> list[Accelerator]:
    """Return the cards with most memory, as many as a chain may have."""
    by_memory = sorted(cards, key=lambda one: (-one.memory_mb, one.endpoint))
    return by_memory[:most]


def _order(card: Accelerator) -> tuple[int, int, float, str]:
    layers = card.layers
    if layers is None:
        return 0, 0, card.memory_mb, card.endpoint
    return layers.first, layers.end, card.memory_mb, card.endpoint


def _doubled(ordered: Sequence[Accelerator]) -> Accelerator | None:
    """Return the card to hold the first layers a second time."""
    if len(ordered) < DOUBLED_FROM:
        return None
    heads = [card for card in ordered if card.layers and not card.layers.first]
    if len(heads) > 1:
        return heads[-1]
    return min(ordered, key=lambda card: (card.memory_mb, card.endpoint))
