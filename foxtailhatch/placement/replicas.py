"""Split the accelerators of a zone into replicas of the model.

A single replica over all accelerators of a large zone would stop serving with
the failure of any of them, and its chains would be long.  So a zone holds as
many replicas as leave each of them enough KV capacity.  Chains may still
combine stages of different replicas where an accelerator is lost.

An accelerator stays in its replica as long as it is listed, which keeps later
plans small.  A new leader derives the replicas from the layers that are held.
"""

from collections.abc import Sequence

from foxtailhatch.placement.accelerators import Accelerator
from foxtailhatch.placement.groups import total_memory_mb, zone_groups
from foxtailhatch.placement.working_set import (
    replicas_in_working_set,
    working_set,
)
from foxtailhatch.routes import Engine

Replica = list[Accelerator]


class ModelReplicas:
    """Assign each accelerator to a replica of the model."""

    def __init__(self) -> None:
        """Start without any assignment."""
        self._replica_of: dict[str, int] = {}

    def groups(
        self, accelerators: Sequence[Accelerator], engine: Engine
    ) -> list[Replica]:
        """Return the accelerators of each replica, zone by zone."""
        assigned: dict[str, int] = {}
        groups: list[Replica] = []
        for zone in zone_groups(accelerators, engine):
            replicas = self._split(zone, engine)
            assigned.update(_indexes(replicas))
            groups.extend(filter(None, replicas))
        self._replica_of = assigned
        return groups

    def _split(
        self, accelerators: Sequence[Accelerator], engine: Engine
    ) -> list[Replica]:
        if len({accelerator.zone for accelerator in accelerators}) > 1:
            return [list(accelerators)]
        names = {accelerator.endpoint for accelerator in accelerators}
        known = {
            name: index
            for name, index in self._replica_of.items()
            if name in names
        }
        if known:
            count = max(known.values()) + 1
        else:
            count = replica_count(accelerators, engine)
            known = _heads(accelerators, count)
        replicas: list[Replica] = [[] for _ in range(count)]
        in_order = _in_join_order(accelerators, engine)
        for accelerator in in_order:
            index = known.get(accelerator.endpoint)
            if index is not None:
                replicas[index].append(accelerator)
        for newcomer in in_order:
            if newcomer.endpoint not in known:
                _join(newcomer, replicas)
        return replicas


def other_replicas_in_zone(
    replica: Replica, replicas: Sequence[Replica]
) -> Replica:
    """Return the accelerators of the other replicas in the same zone."""
    zones = {accelerator.zone for accelerator in replica}
    others = [other for other in replicas if other is not replica]
    return [
        accelerator
        for other in others
        for accelerator in other
        if accelerator.zone in zones
    ]


def replica_count(accelerators: Sequence[Accelerator], engine: Engine) -> int:
    """Return how many replicas accelerators hold.

    If those without layers have half of the memory or more, return how many
    replicas the working set suffices for.
    """
    memory_mb = total_memory_mb(accelerators)
    empty_mb = total_memory_mb(
        accelerator
        for accelerator in accelerators
        if accelerator.layers is None
    )
    if 2 * empty_mb < memory_mb:
        held = sum(
            len(accelerator.layers or ()) for accelerator in accelerators
        )
        return max(1, round(held / engine.layer_count))
    return replicas_in_working_set(accelerators, engine)


def _indexes(replicas: Sequence[Replica]) -> dict[str, int]:
    """Return the index of each endpoint's replica."""
    return {
        accelerator.endpoint: index
        for index, replica in enumerate(replicas)
        for accelerator in replica
    }


def _heads(accelerators: Sequence[Accelerator], count: int) -> dict[str, int]:
    """Return the replica indexes of the endpoints with the first layer.

    A replica may have several of them, which hold the same layers.
    """
    heads = [
        accelerator
        for accelerator in accelerators
        if accelerator.layers and not accelerator.layers.first
    ]
    heads.sort(
        key=lambda accelerator: (accelerator.layers, accelerator.endpoint)
    )
    return {
        head.endpoint: index * count // len(heads)
        for index, head in enumerate(heads)
    }


def _in_join_order(
    accelerators: Sequence[Accelerator], engine: Engine
) -> list[Accelerator]:
    """Return holders by their first layer, then the empty ones; large first.

    Accelerators outside the working set come last, so that the members of
    the working set are spread evenly.
    """
    serving = {
        accelerator.endpoint
        for accelerator in working_set(accelerators, engine)
    }

    def join_key(  # noqa: WPS430
        accelerator: Accelerator,
    ) -> tuple[bool, bool, int, float, str]:
        first = accelerator.layers.first if accelerator.layers else 0
        return (
            accelerator.layers is None,
            accelerator.layers is None and accelerator.endpoint not in serving,
            first,
            -accelerator.memory_mb,
            accelerator.endpoint,
        )

    return sorted(accelerators, key=join_key)


def _join(accelerator: Accelerator, replicas: Sequence[Replica]) -> None:
    """Add an accelerator to the replica that needs it most.

    An empty one joins the replica with the least memory, and any other the
    replica that lacks most of its layers.
    """
    if accelerator.layers is None:
        started = [
            replica
            for replica in replicas
            if any(member.layers for member in replica)
        ]
        min(started or replicas, key=total_memory_mb).append(accelerator)
        return

    def need(replica: Replica) -> tuple[int, bool, float]:  # noqa: WPS430
        is_next = any(_follows(accelerator, member) for member in replica)
        return (
            _missing_count(accelerator, replica),
            is_next,
            -total_memory_mb(replica),
        )

    max(replicas, key=need).append(accelerator)


def _missing_count(accelerator: Accelerator, replica: Replica) -> int:
    """Return how many layers of an accelerator a replica lacks."""
    layers = accelerator.layers
    if layers is None:
        return 0
    missing = set(range(layers.first, layers.end))
    for other in replica:
        if other.layers is not None:
            held = range(other.layers.first, other.layers.end)
            missing.difference_update(held)
    return len(missing)


def _follows(accelerator: Accelerator, other: Accelerator) -> bool:
    """Return whether an accelerator's layers begin where another's end."""
    if accelerator.layers is None or other.layers is None:
        return False
    return accelerator.layers.first == other.layers.end
