"""Even out the room for requests, one boundary at a time.

A gap that neighbours have closed leaves these with many layers and little
room for requests, which bounds the whole group.  So layers move on to cards
with more room: first the roomier of two neighbours loads them as well, then
the tighter one gives them up.  Nothing is without a holder at any time.
"""

from collections.abc import Sequence
from itertools import pairwise

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.cards import Card
from foxtailhatch.placement.layout import Placed
from foxtailhatch.routes import Engine

# Layers move only if the tighter of two cards gains this much room: a load
# costs more than a small imbalance.
GAIN_MIN = 1.1
# Loads of one plan; more at once would make each take longer.
LOADS_AT_ONCE = 2


def relaxed(holding: Sequence[Card], engine: Engine) -> list[Placed]:
    """Return the next steps towards equal room."""
    ordered = sorted(
        (card for card in holding if card.layers is not None),
        key=lambda card: (card.layers or LayerRange(0, 0), card.endpoint),
    )
    pairs = [
        pair
        for pair in pairwise(ordered)
        if not any(card.is_settling for card in pair)
    ]
    given_up = [_overlap_given_up(*pair, engine) for pair in pairs]
    taken = [_taken_over(*pair, engine) for pair in pairs]
    steps = _apart([], pairs, given_up, len(pairs))
    return _apart(steps, pairs, taken, LOADS_AT_ONCE)


def _apart(
    steps: list[Placed],
    pairs: Sequence[tuple[Card, Card]],
    wishes: Sequence[Placed | None],
    most: int,
) -> list[Placed]:
    """Add steps that touch no card of another step, up to a number."""
    busy = {card.endpoint for card, _ in steps}
    added = 0
    for pair, wish in zip(pairs, wishes, strict=True):
        names = {card.endpoint for card in pair}
        if wish is not None and added < most and not names & busy:
            steps = [*steps, wish]
            busy |= names
            added += 1
    return steps


def split_range(spare: Card, tight: Card) -> LayerRange | None:
    """Return the upper part of a tight card's layers for a spare one.

    The parts are in proportion to the cards' memory; the tight card gives
    its part up once the spare one has loaded it.
    """
    layers = tight.layers
    if layers is None or len(layers) < 2:
        return None
    share = spare.memory_mb / (spare.memory_mb + tight.memory_mb)
    taken = min(len(layers) - 1, max(1, round(len(layers) * share)))
    return LayerRange(layers.end - taken, layers.end)


def _overlap_given_up(
    below: Card,
    above: Card,
    engine: Engine,
) -> Placed | None:
    """Let the tighter of two overlapping cards give the overlap up."""
    lower, upper = below.layers, above.layers
    if lower is None or upper is None or upper.first >= lower.end:
        return None
    if lower.first == upper.first or upper.end < lower.end:
        return None
    if _room(below, len(lower), engine) <= _room(above, len(upper), engine):
        return below, LayerRange(lower.first, upper.first)
    if upper.end == lower.end:
        return None
    return above, LayerRange(lower.end, upper.end)


def _taken_over(
    below: Card,
    above: Card,
    engine: Engine,
) -> Placed | None:
    """Let the roomier of two neighbours load layers of the tighter one."""
    lower, upper = below.layers, above.layers
    if lower is None or upper is None or lower.end != upper.first:
        return None
    is_lower_tight = _room(below, len(lower), engine) <= _room(
        above,
        len(upper),
        engine,
    )
    if is_lower_tight:
        count = _count(below, above, engine)
        layers = LayerRange(upper.first - count, upper.end)
        return (above, layers) if count else None
    count = _count(above, below, engine)
    layers = LayerRange(lower.first, lower.end + count)
    return (below, layers) if count else None


def _count(tight: Card, roomy: Card, engine: Engine) -> int:
    """Return how many layers should move from a tight card; 0 for none."""
    held, other = len(tight.layers or ()), len(roomy.layers or ())

    def least(count: int) -> float:  # noqa: WPS430
        return min(
            _room(tight, held - count, engine),
            _room(roomy, other + count, engine),
        )

    best = max(range(held), key=least)
    return best if least(best) >= GAIN_MIN * least(0) else 0


def _room(card: Card, layers: int, engine: Engine) -> float:
    return engine.kv_tokens(card.memory_mb, layers)
