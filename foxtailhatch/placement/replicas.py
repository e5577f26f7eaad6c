"""Split the cards of a zone into copies of the model.

One copy over all cards of a large zone would stop with any of them, and its
chains would be long.  So the cards form as many copies as leave each enough
room for requests.  Chains may still change from one copy to another where a
card is lost.

A card stays in its copy while it is there; that keeps later plans small.  A
decider that takes over finds the copies from the layers that cards hold.
"""

from collections.abc import Sequence

from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.groups import total_memory_mb, zone_groups
from foxtailhatch.routes import Engine
from foxtailhatch.routes.configuration import BYTES_IN_MB

# A copy's room for requests, in what its receiver takes at most.  Source: with
# three quarters of it some hundred requests were refused on a day of trouble.
RECEIVER_FILL = 1.0

Copy = list[Accelerator]


class ModelReplicas:
    """Know which copy of the model each card belongs to."""

    def __init__(self) -> None:
        """Start without any card."""
        self._copy_of: dict[str, int] = {}

    def groups(
        self, cards: Sequence[Accelerator], engine: Engine
    ) -> list[Copy]:
        """Return the cards of each copy, zone by zone."""
        kept: dict[str, int] = {}
        found: list[Copy] = []
        for zone in zone_groups(cards, engine):
            copies = self._split(zone, engine)
            kept.update(_places(copies))
            found.extend(filter(None, copies))
        self._copy_of = kept
        return found

    def _split(
        self, cards: Sequence[Accelerator], engine: Engine
    ) -> list[Copy]:
        if len({card.zone for card in cards}) > 1:
            return [list(cards)]
        names = {card.endpoint for card in cards}
        known = {
            name: place
            for name, place in self._copy_of.items()
            if name in names
        }
        if known:
            count = max(known.values()) + 1
        else:
            count = replica_count(cards, engine)
            known = _receivers(cards, count)
        copies: list[Copy] = [[] for _ in range(count)]
        for card in sorted(cards, key=_join_order):
            place = known.get(card.endpoint)
            if place is not None:
                copies[place].append(card)
        for newcomer in sorted(cards, key=_join_order):
            if newcomer.endpoint not in known:
                _join(newcomer, copies)
        return copies


def other_replicas_in_zone(copy: Copy, copies: Sequence[Copy]) -> Copy:
    """Return the cards of the other copies in the same zone."""
    zones = {card.zone for card in copy}
    others = [one for one in copies if one is not copy]
    return [card for other in others for card in other if card.zone in zones]


def replica_count(cards: Sequence[Accelerator], engine: Engine) -> int:
    """Return how many copies cards hold, or could hold if most are empty."""
    memory_mb = total_memory_mb(cards)
    empty_mb = total_memory_mb(card for card in cards if card.layers is None)
    if 2 * empty_mb < memory_mb:
        held = sum(len(card.layers or ()) for card in cards)
        return max(1, round(held / engine.layer_count))
    return max(1, int(memory_mb // replica_memory_mb(engine)))


def replica_memory_mb(engine: Engine) -> float:
    """Return the memory that a copy needs with room for requests, in MB."""
    usual = engine.usual_prompt + engine.usual_answer
    tokens = RECEIVER_FILL * engine.slots * usual
    weights_mb = engine.layer_count * engine.layer_mb
    return weights_mb + tokens * engine.kv_bytes / BYTES_IN_MB


def _places(copies: Sequence[Copy]) -> dict[str, int]:
    """Return the place of each card's copy."""
    return {
        card.endpoint: place
        for place, copy in enumerate(copies)
        for card in copy
    }


def _receivers(cards: Sequence[Accelerator], count: int) -> dict[str, int]:
    """Return the copies of the cards with the first layers.

    A copy may have several such cards, which hold the same layers.
    """
    heads = [card for card in cards if card.layers and not card.layers.first]
    heads.sort(key=lambda card: (card.layers, card.endpoint))
    return {
        head.endpoint: place * count // len(heads)
        for place, head in enumerate(heads)
    }


def _join_order(card: Accelerator) -> tuple[bool, int, float, str]:
    """Sort cards with layers first, in the order of these; then large ones."""
    first = card.layers.first if card.layers else 0
    return card.layers is None, first, -card.memory_mb, card.endpoint


def _join(card: Accelerator, copies: Sequence[Copy]) -> None:
    """Add a card to the copy that lacks it most."""
    if card.layers is None:
        begun = [copy for copy in copies if any(one.layers for one in copy)]
        min(begun or copies, key=total_memory_mb).append(card)
        return

    def lack(copy: Copy) -> tuple[int, bool, float]:  # noqa: WPS430
        is_next = any(_follows(card, one) for one in copy)
        return _new_layers(card, copy), is_next, -total_memory_mb(copy)

    max(copies, key=lack).append(card)


def _new_layers(card: Accelerator, copy: Copy) -> int:
    """Return how many layers of a card the others of a copy lack."""
    layers = card.layers
    if layers is None:
        return 0
    missing = set(range(layers.first, layers.end))
    for other in copy:
        if other.layers is not None:
            held = range(other.layers.first, other.layers.end)
            missing.difference_update(held)
    return len(missing)


def _follows(card: Accelerator, other: Accelerator) -> bool:
    """Tell whether a card's layers begin where those of another end."""
    if card.layers is None or other.layers is None:
        return False
    return card.layers.first == other.layers.end
