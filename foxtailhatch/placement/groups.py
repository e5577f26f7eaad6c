"""Groups of availability zones that hold a whole model together."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.routes import Engine

# Memory that a group needs beside one copy of the weights, as a share of it:
# less leaves no room for the requests' KV cache.
SPARE_SHARE = 0.06


def zone_groups(
    cards: Sequence[Accelerator], engine: Engine
) -> list[list[Accelerator]]:
    """Split cards into groups that can each hold the whole model.

    A zone that can do so is a group of its own, since activations that cross
    zones share one narrow link.  The others form a group together if they
    hold the model, or if no zone is large enough.
    """
    zones: dict[str, list[Accelerator]] = defaultdict(list)
    for card in cards:
        zones[card.zone].append(card)
    whole = []
    rest: list[Accelerator] = []
    for zone in sorted(zones):
        if holds_model(zones[zone], engine):
            whole.append(zones[zone])
        else:
            rest.extend(zones[zone])
    if not rest:
        return whole
    if holds_model(rest, engine) or not whole:
        return [*whole, rest]
    return whole


def holds_model(cards: Iterable[Accelerator], engine: Engine) -> bool:
    """Tell whether cards hold all layers with room for requests."""
    needed = engine.layer_count * engine.layer_mb * (1 + SPARE_SHARE)
    return total_memory_mb(cards) >= needed


def total_memory_mb(cards: Iterable[Accelerator]) -> float:
    """Return the memory of all cards together, in MB."""
    return sum(card.memory_mb for card in cards)
