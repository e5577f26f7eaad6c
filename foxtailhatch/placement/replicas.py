"""Split the accelerators of a zone into replicas of the model.

A single replica over all accelerators of a large zone would stop serving with
the failure of any of them, and its chains would be long.  So a zone holds as
many replicas as leave each of them enough KV capacity.  Chains may still
combine stages of different replicas where an accelerator is lost.

An accelerator stays in its replica as long as it is listed, which keeps later
plans small.  A new leader derives the replicas from the layers that are held.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from operator import attrgetter

from foxtailhatch.core import LayerRange
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
        self._splits: dict[str, _Split] = {}

    def groups(
        self, accelerators: Sequence[Accelerator], engine: Engine
    ) -> list[Replica]:
        """Return the accelerators of each replica, zone by zone."""
        assigned: dict[str, int] = {}
        groups: list[Replica] = []
        splits: dict[str, _Split] = {}
        for members in zone_groups(accelerators, engine):
            zone = members[0].zone
            split = self._split(zone, members, engine)
            splits[zone] = split
            assigned.update(_indexes(split.replicas))
            groups.extend(filter(None, split.replicas))
        self._replica_of = assigned
        self._splits = splits
        return groups

    def _split(
        self, zone: str, accelerators: Sequence[Accelerator], engine: Engine
    ) -> '_Split':
        """Return the replicas of a zone, or of zones that form one group.

        They are computed again only if something has changed.
        """
        known = {
            accelerator.endpoint: self._replica_of[accelerator.endpoint]
            for accelerator in accelerators
            if accelerator.endpoint in self._replica_of
        }
        last = self._splits.get(zone)
        if last and last.has_basis(accelerators, known, engine):
            return last
        return _Split(
            accelerators, known, engine, _replicas(accelerators, known, engine)
        )


@dataclass(frozen=True, slots=True)
class _Split:
    """The replicas of some accelerators, and what they were computed from."""

    accelerators: Sequence[Accelerator]
    known: Mapping[str, int]
    engine: Engine
    replicas: list[Replica]

    def has_basis(
        self,
        accelerators: Sequence[Accelerator],
        known: Mapping[str, int],
        engine: Engine,
    ) -> bool:
        """Return whether these arguments give the same replicas."""
        return (self.accelerators, self.known, self.engine) == (
            accelerators,
            known,
            engine,
        )


def other_replicas_in_zone(
    replica: Sequence[Accelerator], replicas: Sequence[Sequence[Accelerator]]
) -> Replica:
    """Return the accelerators of the other replicas in the same zone.

    All zones of a replica that spans several are its own.
    """
    zone = replica[0].zone
    return [
        accelerator
        for other in replicas
        if other is not replica and other[0].zone == zone
        for accelerator in other
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


def _replicas(
    accelerators: Sequence[Accelerator],
    known: Mapping[str, int],
    engine: Engine,
) -> list[Replica]:
    """Return replicas in which the ``known`` accelerators keep their places."""
    if len({accelerator.zone for accelerator in accelerators}) > 1:
        return [list(accelerators)]
    if known:
        count = max(known.values()) + 1
    else:
        count = replica_count(accelerators, engine)
        known = _heads(accelerators, count)
    growing = [_GrowingReplica() for _ in range(count)]
    in_order = _in_join_order(accelerators, engine)
    for accelerator in in_order:
        index = known.get(accelerator.endpoint)
        if index is not None:
            growing[index].add(accelerator)
    for newcomer in in_order:
        if newcomer.endpoint not in known:
            _join(newcomer, growing)
    return [replica.members for replica in growing]


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


class _GrowingReplica:
    """A replica that accelerators join one after the other."""

    def __init__(self) -> None:
        self.members: Replica = []
        self.memory_mb: float = 0
        self._held: set[int] = set()
        self._ends: set[int] = set()

    @property
    def has_layers(self) -> bool:
        """Return whether a member holds layers."""
        return bool(self._ends)

    def add(self, accelerator: Accelerator) -> None:
        """Add a member."""
        self.members.append(accelerator)
        self.memory_mb += accelerator.memory_mb
        layers = accelerator.layers
        if layers is not None:
            self._held.update(range(layers.first, layers.end))
            self._ends.add(layers.end)

    def need(self, layers: LayerRange) -> tuple[int, bool, float]:
        """Return how much an accelerator with these layers is needed.

        The number of its layers that no member holds comes first, then
        whether they begin where those of a member end.
        """
        held = self._held.intersection(range(layers.first, layers.end))
        missing = len(layers) - len(held)
        return missing, layers.first in self._ends, -self.memory_mb


def _join(
    accelerator: Accelerator, replicas: Sequence[_GrowingReplica]
) -> None:
    """Add an accelerator to the replica that needs it most.

    An empty one joins the replica with the least memory, and any other the
    replica that lacks most of its layers.
    """
    layers = accelerator.layers
    if layers is None:
        started = [replica for replica in replicas if replica.has_layers]
        chosen = min(started or replicas, key=attrgetter('memory_mb'))
    else:
        needs = [replica.need(layers) for replica in replicas]
        chosen = replicas[needs.index(max(needs))]
    chosen.add(accelerator)
