"""Groups of availability zones that hold the whole model together."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.routes import Engine

# Memory that a group needs beyond the weights, relative to them: with less
# there is no KV capacity for requests.
KV_HEADROOM_SHARE = 0.06


def zone_groups(
    accelerators: Sequence[Accelerator], engine: Engine
) -> list[list[Accelerator]]:
    """Split accelerators into groups that can each hold the whole model.

    A zone that can hold it is a group of its own, since activations between
    zones share one narrow link.  The remaining zones form one group if they
    can hold the model together, or if no single zone can.
    """
    zones: dict[str, list[Accelerator]] = defaultdict(list)
    for accelerator in accelerators:
        zones[accelerator.zone].append(accelerator)
    complete = []
    rest: list[Accelerator] = []
    for zone in sorted(zones):
        if can_hold_model(zones[zone], engine):
            complete.append(zones[zone])
        else:
            rest.extend(zones[zone])
    if not rest:
        return complete
    if can_hold_model(rest, engine) or not complete:
        return [*complete, rest]
    return complete


def can_hold_model(accelerators: Iterable[Accelerator], engine: Engine) -> bool:
    """Return whether all layers fit, with memory left for the KV cache."""
    needed = engine.layer_count * engine.layer_mb * (1 + KV_HEADROOM_SHARE)
    return total_memory_mb(accelerators) >= needed


def total_memory_mb(accelerators: Iterable[Accelerator]) -> float:
    """Return the sum of the accelerators' memory, in MB."""
    return sum(accelerator.memory_mb for accelerator in accelerators)
