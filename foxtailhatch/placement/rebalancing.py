"""Even out the room for requests, one boundary at a time.

A gap that neighbours have closed leaves these with many layers and little
room for requests, which bounds the whole group.  So the boundaries around the
tightest card move to where a layout of the same few cards in the same order
has them.  First a card loads the layers beyond its boundary as well, then its neighbour
gives them up.  Nothing is without a holder at any time, and no card is left
with less room than the tightest one had before.

Only boundaries that lead layers away from the tightest card move.  The layout
depends on the order and the memory of these cards alone, no step moves a
boundary away from it, and the least room only grows: so the steps come to rest.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import chain, pairwise, starmap, takewhile, zip_longest
from operator import attrgetter

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.layout import Placed
from foxtailhatch.placement.partitioning import partition_layers
from foxtailhatch.placement.stage_groups import StageGroup, stage_groups_of
from foxtailhatch.routes import Engine

# Layers move only if the tightest card ends with this much more room: a load
# costs more than an imbalance.  Source: with 1.1 a day of trouble at a hundred
# engines had 220 such orders, and requests were refused at cards on the way.
GAIN_MIN = 1.3
# Columns on either side of the tightest one that take part; each moves its
# layers on, so more would load for long.
REACH = 3
# Loads of one plan; more at once would make each take longer.
LOADS_AT_ONCE = 2


@dataclass(frozen=True, slots=True)
class Border:
    """Two columns next to each other, and where one should begin."""

    below: StageGroup
    above: StageGroup
    target: int

    @property
    def cards(self) -> tuple[Accelerator, ...]:
        """Return the cards of both columns."""
        return self.below.cards + self.above.cards

    @property
    def has_pending_order(self) -> bool:
        """Tell whether a card on either side carries out an order."""
        return any(card.has_pending_order for card in self.cards)

    @property
    def moves_up(self) -> bool:
        """Tell whether the lower column should have more layers."""
        return self.target > self.below.layers.end

    @property
    def moves_down(self) -> bool:
        """Tell whether the upper column should have more layers."""
        return self.target < self.below.layers.end

    @property
    def gainer_and_giver(self) -> tuple[StageGroup, StageGroup]:
        """Return who should have more layers, and who fewer."""
        if self.moves_up:
            return self.below, self.above
        return self.above, self.below


def relaxed(holding: Sequence[Accelerator], engine: Engine) -> list[Placed]:
    """Return the next steps towards equal room."""
    columns = stage_groups_of(holding)
    if len(columns) < 2 or not _is_ordered(columns):
        return []
    rooms = [column.room(engine) for column in columns]
    place = rooms.index(min(rooms))
    begin = max(0, place - REACH)
    window = columns[begin : place + REACH + 1]
    targets = _targets(window, engine)
    borders = [
        *_as_they_are(columns[: begin + 1], engine),
        *starmap(Border, zip(window, window[1:], targets, strict=False)),
        *_as_they_are(columns[begin + len(window) - 1 :], engine),
    ]
    steps = _apart([], borders, map(_overlap_given_up, borders), len(borders))
    if not _is_worth(min(rooms), window, targets, engine):
        return steps
    near = _relieving(place, borders)
    return _apart(steps, near, _all_taken(near, min(rooms), engine))


def _as_they_are(columns: Sequence[StageGroup], engine: Engine) -> list[Border]:
    """Return borders at which only overlaps are to go.

    Of two columns that overlap the tighter one should give up.
    """
    borders = []
    for below, above in pairwise(columns):
        is_tight = below.room(engine) <= above.room(engine)
        target = above.layers.first if is_tight else below.layers.end
        borders.append(Border(below, above, target))
    return borders


def _is_worth(
    least: float,
    window: Sequence[StageGroup],
    targets: Sequence[int],
    engine: Engine,
) -> bool:
    """Tell whether to load layers for the room that it gives."""
    usual = engine.usual_prompt + engine.usual_answer
    if not targets or least >= engine.slots * usual:
        return False
    return least * GAIN_MIN <= _room_at(targets, window, engine)


def split_range(spare: Accelerator, tight: Accelerator) -> LayerRange | None:
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


def _targets(columns: Sequence[StageGroup], engine: Engine) -> list[int]:
    """Return where the boundaries between columns should be.

    The result is empty if a column would be left without layers.
    """
    whole = LayerRange(columns[0].layers.first, columns[-1].layers.end)
    tightest = [column.tightest for column in columns]
    placed = partition_layers(tightest, whole, engine)
    if len(placed) < len(columns):
        return []
    return [layers.end for _, layers in placed[:-1]]


def _is_ordered(columns: Sequence[StageGroup]) -> bool:
    """Tell whether no column lies within another, and no layer is missing."""
    return all(
        below.layers.end <= above.layers.end
        and above.layers.first <= below.layers.end
        for below, above in pairwise(columns)
    )


def _room_at(
    targets: Sequence[int],
    columns: Sequence[StageGroup],
    engine: Engine,
) -> float:
    """Return the room of the tightest card once all boundaries are there."""
    bounds = [columns[0].layers.first, *targets, columns[-1].layers.end]
    counts = [end - first for first, end in pairwise(bounds)]
    return min(
        column.room(engine, count)
        for column, count in zip(columns, counts, strict=True)
    )


def _relieving(tightest: int, borders: Sequence[Border]) -> list[Border]:
    """Return the borders that lead layers away from a column, near first.

    These are the ones above it that have to move down, and those below it
    that have to move up, as far as they are next to one another.
    """
    above = takewhile(attrgetter('moves_down'), borders[tightest:])
    below = takewhile(attrgetter('moves_up'), reversed(borders[:tightest]))
    by_turns = zip_longest(above, below)
    return [border for border in chain.from_iterable(by_turns) if border]


def _overlap_given_up(border: Border) -> list[Placed]:
    """Let one of two overlapping columns give up layers of the overlap.

    The upper column gives up what lies below the target, and the lower one
    what lies above it.
    """
    lower, upper = border.below.layers, border.above.layers
    if upper.first >= lower.end:
        return []
    first = min(border.target, lower.end, upper.end - 1)
    if first > upper.first:
        return border.above.holding(LayerRange(first, upper.end))
    return border.below.holding(LayerRange(lower.first, upper.first))


def _all_taken(
    borders: Sequence[Border],
    least: float,
    engine: Engine,
) -> list[list[Placed]]:
    return [_taken_over(border, least, engine) for border in borders]


def _taken_over(border: Border, least: float, engine: Engine) -> list[Placed]:
    """Let a column load layers of its neighbour, as far as its room allows."""
    lower, upper = border.below.layers, border.above.layers
    if lower.end != upper.first or border.target == lower.end:
        return []
    gainer, giver = border.gainer_and_giver
    most = min(abs(border.target - lower.end), len(giver.layers) - 1)
    counts = (
        count
        for count in range(1, most + 1)
        if gainer.room(engine, len(gainer.layers) + count) > least
    )
    count = max(counts, default=0)
    if not count:
        return []
    if border.moves_up:
        return gainer.holding(LayerRange(lower.first, lower.end + count))
    return gainer.holding(LayerRange(upper.first - count, upper.end))


def _apart(
    steps: Sequence[Placed],
    borders: Sequence[Border],
    wishes: Iterable[Sequence[Placed]],
    most: int = LOADS_AT_ONCE,
) -> list[Placed]:
    """Add wishes that touch no card of another step, up to a number.

    Cards that carry out an order take part in no step.
    """
    chosen = list(steps)
    busy = {card.endpoint for card, _ in steps}
    added = 0
    for border, wish in zip(borders, wishes, strict=True):
        names = {card.endpoint for card in border.cards}
        is_free = not border.has_pending_order and not names & busy
        if wish and is_free and added < most:
            chosen.extend(wish)
            busy |= names
            added += 1
    return chosen
