"""Close a gap by moving the boundaries of the few stage groups around it.

Where the accelerators beside a gap lack the memory for its layers, the groups
next to them take a part of their layers.  That needs far fewer loads than a new
layout of all accelerators, and the others serve on.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import product

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.layout import Placement, min_kv_capacity
from foxtailhatch.placement.partitioning import partition_layers
from foxtailhatch.placement.stage_groups import StageGroup, stage_groups_of
from foxtailhatch.routes import Engine

# Stage groups that take part on either side of a gap.  With more of them a new
# layout of all accelerators costs little more.
REPAIR_RADIUS_MAX = 4


def fill_gap_by_window(
    gap: LayerRange,
    holding: Sequence[Accelerator],
    spares: Sequence[Accelerator],
    engine: Engine,
    min_capacity: float,
) -> list[Placement]:
    """Return placements that cover a gap; empty if its layers do not fit.

    As few stage groups as suffice take part, with as few ``spares`` as
    suffice, and each accelerator is left with a KV capacity of
    ``min_capacity`` tokens or more.
    """
    below, above = _sides(gap, stage_groups_of(holding))
    sizes = product(
        range(1, min(REPAIR_RADIUS_MAX, max(len(below), len(above))) + 1),
        range(len(spares) + 1),
    )
    for radius, count in sizes:
        window = _Window(
            gap,
            tuple(reversed(below[:radius])),
            tuple(spares[:count]),
            tuple(above[:radius]),
        )
        placements = window.share_out(engine)
        if min_kv_capacity(placements, engine) >= min_capacity:
            return [
                placement
                for placement in placements
                if placement[0].layers != placement[1]
            ]
    return []


def _sides(
    gap: LayerRange, groups: Sequence[StageGroup]
) -> tuple[list[StageGroup], list[StageGroup]]:
    """Return the groups below and above a gap that can be ordered, near first."""
    below = [group for group in groups if group.layers.end <= gap.first]
    above = [group for group in groups if group.layers.first >= gap.end]
    return _free_run(gap, list(reversed(below))), _free_run(gap, above)


def _free_run(
    gap: LayerRange, groups: Sequence[StageGroup]
) -> list[StageGroup]:
    """Return the first groups that adjoin each other and can be ordered."""
    run: list[StageGroup] = []
    last = gap
    for group in groups:
        is_free = not any(
            member.has_pending_order for member in group.accelerators
        )
        if not is_free or not _adjoin(last, group.layers):
            return run
        run.append(group)
        last = group.layers
    return run


def _adjoin(one: LayerRange, other: LayerRange) -> bool:
    """Return whether no layer lies between two ranges."""
    return one.first <= other.end and other.first <= one.end


@dataclass(frozen=True, slots=True)
class _Window:
    """A gap, the stage groups around it in order, and spares to fill it."""

    gap: LayerRange
    below: tuple[StageGroup, ...]
    spares: tuple[Accelerator, ...]
    above: tuple[StageGroup, ...]

    @property
    def layers(self) -> LayerRange:
        """Return the gap and the layers of the groups."""
        return LayerRange(
            self.below[0].layers.first if self.below else self.gap.first,
            self.above[-1].layers.end if self.above else self.gap.end,
        )

    def share_out(self, engine: Engine) -> list[Placement]:
        """Lay out the layers of the window; empty if they do not fit."""
        members = [
            *(group.bottleneck for group in self.below),
            *self.spares,
            *(group.bottleneck for group in self.above),
        ]
        parts = partition_layers(members, self.layers, engine)
        if len(parts) < len(members):
            return []
        ranges = {accelerator.endpoint: layers for accelerator, layers in parts}
        placements = [(spare, ranges[spare.endpoint]) for spare in self.spares]
        for group in (*self.below, *self.above):
            layers = ranges[group.bottleneck.endpoint]
            placements.extend(
                (member, layers)
                for member in group.accelerators
                if member.layers == group.layers
            )
        return placements
