"""Equalize KV capacity by moving boundaries between adjacent stage groups.

When neighbours have closed a gap, they hold many layers and have little KV
capacity left, which limits the whole group.  So the boundaries around the
group with the least capacity (the bottleneck) move to where a new layout of
the same few accelerators, in the same order, would put them.  An accelerator
first loads the layers beyond its boundary, and its neighbour releases them
afterwards.  Each layer has a holder at any time, and no accelerator is left
with less capacity than the bottleneck had before.

Only boundaries that lead layers away from the bottleneck move.  The layout
depends only on the order and the memory of these accelerators, no step moves a
boundary away from it, and the least capacity only grows, so the steps
converge.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import chain, pairwise, starmap, takewhile, zip_longest
from operator import attrgetter

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.layout import Placement
from foxtailhatch.placement.partitioning import partition_layers
from foxtailhatch.placement.stage_groups import StageGroup, stage_groups_of
from foxtailhatch.routes import Engine

# Factor by which the least KV capacity must grow to be worth loading layers,
# which costs more than an imbalance.  With 1.1 a day of injected faults at a
# hundred engines had 220 such orders, and accelerators that were carrying them
# out refused requests.
MIN_CAPACITY_GAIN = 1.3
# Stage groups on either side of the bottleneck that take part.  Each of them
# passes layers on, so with more of them loading would take long.
WINDOW_RADIUS = 3
# Concurrent loads of one plan; more of them slow each other down.
CONCURRENT_LOADS_MAX = 2


@dataclass(frozen=True, slots=True)
class Boundary:
    """Two adjacent stage groups, and the target layer of their boundary."""

    below: StageGroup
    above: StageGroup
    target: int

    @property
    def accelerators(self) -> tuple[Accelerator, ...]:
        """Return the accelerators on both sides."""
        return self.below.accelerators + self.above.accelerators

    @property
    def has_pending_order(self) -> bool:
        """Return whether an accelerator on either side has one."""
        return any(
            accelerator.has_pending_order for accelerator in self.accelerators
        )

    @property
    def moves_up(self) -> bool:
        """Return whether the lower group should hold more layers."""
        return self.target > self.below.layers.end

    @property
    def moves_down(self) -> bool:
        """Return whether the upper group should hold more layers."""
        return self.target < self.below.layers.end

    @property
    def recipient_and_donor(self) -> tuple[StageGroup, StageGroup]:
        """Return the group that gains layers, and the one that loses them."""
        if self.moves_up:
            return self.below, self.above
        return self.above, self.below


def rebalancing_steps(
    holding: Sequence[Accelerator], engine: Engine
) -> list[Placement]:
    """Return the next placements on the way to equal KV capacity."""
    groups = stage_groups_of(holding)
    if len(groups) < 2 or not _is_contiguous(groups):
        return []
    capacities = [group.kv_capacity(engine) for group in groups]
    bottleneck = capacities.index(min(capacities))
    begin = max(0, bottleneck - WINDOW_RADIUS)
    window = groups[begin : bottleneck + WINDOW_RADIUS + 1]
    targets = _targets(window, engine)
    boundaries = [
        *_current_boundaries(groups[: begin + 1], engine),
        *starmap(Boundary, zip(window, window[1:], targets, strict=False)),
        *_current_boundaries(groups[begin + len(window) - 1 :], engine),
    ]
    steps = _add_disjoint(
        [], boundaries, map(_release_overlap, boundaries), len(boundaries)
    )
    if not _is_worthwhile(min(capacities), window, targets, engine):
        return steps
    relieving = _relieving_boundaries(bottleneck, boundaries)
    return _add_disjoint(
        steps, relieving, _takeovers(relieving, min(capacities), engine)
    )


def _current_boundaries(
    groups: Sequence[StageGroup], engine: Engine
) -> list[Boundary]:
    """Return boundaries that stay, and at which only overlaps are released.

    Of two groups that overlap, the one with less capacity should release.
    """
    boundaries = []
    for below, above in pairwise(groups):
        is_tight = below.kv_capacity(engine) <= above.kv_capacity(engine)
        target = above.layers.first if is_tight else below.layers.end
        boundaries.append(Boundary(below, above, target))
    return boundaries


def _is_worthwhile(
    least: float,
    window: Sequence[StageGroup],
    targets: Sequence[int],
    engine: Engine,
) -> bool:
    """Return whether the gain in capacity justifies loading layers.

    Capacity beyond the requests that a chain's first endpoint admits is of no
    use.
    """
    usual = engine.typical_prompt_tokens + engine.typical_output_tokens
    if not targets or least >= engine.slots * usual:
        return False
    return least * MIN_CAPACITY_GAIN <= _capacity_at(targets, window, engine)


def split_range(
    spare: Accelerator, bottleneck: Accelerator
) -> LayerRange | None:
    """Return the upper part of the bottleneck's layers for a spare.

    The parts are in proportion to memory.  The bottleneck releases that part
    once the spare has loaded it.
    """
    layers = bottleneck.layers
    if layers is None or len(layers) < 2:
        return None
    share = spare.memory_mb / (spare.memory_mb + bottleneck.memory_mb)
    taken = min(len(layers) - 1, max(1, round(len(layers) * share)))
    return LayerRange(layers.end - taken, layers.end)


def _targets(groups: Sequence[StageGroup], engine: Engine) -> list[int]:
    """Return where the boundaries between groups should be.

    The result is empty if a group would be left without layers.
    """
    layers_held = LayerRange(groups[0].layers.first, groups[-1].layers.end)
    bottlenecks = [group.bottleneck for group in groups]
    placements = partition_layers(bottlenecks, layers_held, engine)
    if len(placements) < len(groups):
        return []
    return [layers.end for _, layers in placements[:-1]]


def _is_contiguous(groups: Sequence[StageGroup]) -> bool:
    """Return whether no group lies within another and no layer is missing."""
    return all(
        below.layers.end <= above.layers.end
        and above.layers.first <= below.layers.end
        for below, above in pairwise(groups)
    )


def _capacity_at(
    targets: Sequence[int],
    groups: Sequence[StageGroup],
    engine: Engine,
) -> float:
    """Return the least capacity once all boundaries are at their targets."""
    bounds = [groups[0].layers.first, *targets, groups[-1].layers.end]
    counts = [end - first for first, end in pairwise(bounds)]
    return min(
        group.kv_capacity(engine, count)
        for group, count in zip(groups, counts, strict=True)
    )


def _relieving_boundaries(
    bottleneck: int, boundaries: Sequence[Boundary]
) -> list[Boundary]:
    """Return the boundaries that lead layers away from a group, near first.

    These are the boundaries above it that have to move down, and those below
    it that have to move up, up to the first one that does not.
    """
    above = takewhile(attrgetter('moves_down'), boundaries[bottleneck:])
    below = takewhile(attrgetter('moves_up'), reversed(boundaries[:bottleneck]))
    by_distance = zip_longest(above, below)
    return [
        boundary for boundary in chain.from_iterable(by_distance) if boundary
    ]


def _release_overlap(boundary: Boundary) -> list[Placement]:
    """Let one of two overlapping groups release layers of the overlap.

    The upper group releases what lies below the target, and otherwise the
    lower group the whole overlap.
    """
    lower, upper = boundary.below.layers, boundary.above.layers
    if upper.first >= lower.end:
        return []
    first = min(boundary.target, lower.end, upper.end - 1)
    if first > upper.first:
        return boundary.above.changes_to_hold(LayerRange(first, upper.end))
    return boundary.below.changes_to_hold(LayerRange(lower.first, upper.first))


def _takeovers(
    boundaries: Sequence[Boundary],
    least: float,
    engine: Engine,
) -> list[list[Placement]]:
    return [_take_over(boundary, least, engine) for boundary in boundaries]


def _take_over(
    boundary: Boundary, least: float, engine: Engine
) -> list[Placement]:
    """Let a group load layers of its neighbour, as far as capacity allows."""
    lower, upper = boundary.below.layers, boundary.above.layers
    if lower.end != upper.first or boundary.target == lower.end:
        return []
    recipient, donor = boundary.recipient_and_donor
    most = min(abs(boundary.target - lower.end), len(donor.layers) - 1)
    counts = (
        count
        for count in range(1, most + 1)
        if recipient.kv_capacity(engine, len(recipient.layers) + count) > least
    )
    count = max(counts, default=0)
    if not count:
        return []
    if boundary.moves_up:
        return recipient.changes_to_hold(
            LayerRange(lower.first, lower.end + count)
        )
    return recipient.changes_to_hold(LayerRange(upper.first - count, upper.end))


def _add_disjoint(
    steps: Sequence[Placement],
    boundaries: Sequence[Boundary],
    candidates: Iterable[Sequence[Placement]],
    most: int = CONCURRENT_LOADS_MAX,
) -> list[Placement]:
    """Add at most ``most`` candidates that share no accelerator with a step.

    Candidates at a boundary with a pending order are left out.
    """
    chosen = list(steps)
    busy = {accelerator.endpoint for accelerator, _ in steps}
    added = 0
    for boundary, candidate in zip(boundaries, candidates, strict=True):
        names = {accelerator.endpoint for accelerator in boundary.accelerators}
        is_free = not boundary.has_pending_order and not names & busy
        if candidate and is_free and added < most:
            chosen.extend(candidate)
            busy |= names
            added += 1
    return chosen
