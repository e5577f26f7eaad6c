"""Groups of accelerators whose layers begin at the same layer."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.layout import Placement
from foxtailhatch.routes import Engine


@dataclass(frozen=True, slots=True)
class StageGroup:
    """Accelerators with the same first layer.

    ``layers`` is the longest range that any of them holds.  Those with a
    shorter range (partial members) serve only its lower part.
    """

    accelerators: tuple[Accelerator, ...]
    layers: LayerRange

    @property
    def bottleneck(self) -> Accelerator:
        """Return the full member with the least memory.

        A request may be sent to any full member, so it has to fit on this one.
        """
        full = [
            accelerator
            for accelerator in self.accelerators
            if accelerator.layers == self.layers
        ]
        return min(full, key=attrgetter('memory_mb', 'endpoint'))

    def kv_capacity(self, engine: Engine, count: int | None = None) -> float:
        """Return the KV capacity in tokens of the bottleneck.

        ``count`` is the number of layers to hold, by default the present one.
        """
        held = len(self.layers) if count is None else count
        return engine.kv_tokens(self.bottleneck.memory_mb, held)

    def changes_to_hold(self, layers: LayerRange) -> list[Placement]:
        """Return the placements that make the group hold ``layers``.

        A partial member never gets layers above the ones that it holds.
        """
        placements = []
        for accelerator in self.accelerators:
            target = _target_range(accelerator, layers, self.layers.end)
            if target is not None and target != accelerator.layers:
                placements.append((accelerator, target))
        return placements


def stage_groups_of(accelerators: Sequence[Accelerator]) -> list[StageGroup]:
    """Return the stage groups in the order of their first layers.

    A group whose layers end below those of an earlier one is left out.
    """
    by_first: dict[int, list[Accelerator]] = defaultdict(list)
    for accelerator in accelerators:
        if accelerator.layers is not None:
            by_first[accelerator.layers.first].append(accelerator)
    groups: list[StageGroup] = []
    for first in sorted(by_first):
        group = _group(first, by_first[first])
        covered_end = groups[-1].layers.end if groups else 0
        if group.layers.end >= covered_end:
            groups.append(group)
    return groups


def _group(first: int, accelerators: Sequence[Accelerator]) -> StageGroup:
    end = max(
        accelerator.layers.end
        for accelerator in accelerators
        if accelerator.layers is not None
    )
    return StageGroup(tuple(accelerators), LayerRange(first, end))


def _target_range(
    accelerator: Accelerator, layers: LayerRange, end: int
) -> LayerRange | None:
    """Return what a member should hold once its group holds ``layers``.

    ``end`` is where the group's layers end now.  Return ``None`` for a
    partial member whose layers all lie below ``layers``.
    """
    held = accelerator.layers
    if held is None or held.end <= layers.first:
        return None
    if held.end == end:
        return layers
    return LayerRange(layers.first, min(held.end, layers.end))
