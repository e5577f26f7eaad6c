"""Split the demand of each zone over the zones by their capacity.

All entries compute the same split from the same sums, and each one draws the
zone of a request by it.  So the excess of a zone is spread in proportion to
what the others have to spare, instead of all of it going to whichever zone
was the least busy when the sums were made.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import accumulate, pairwise
from math import exp

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.routes import Engine

# Zones take the excess of others up to this load.  Above it, requests that begin
# at the same time overrun single engines.
TARGET_LOAD = 0.8
# Ratios of demand to capacity that differ by less than this factor need no split:
# sums over 2 s of a few dozen requests a second vary by a tenth.
UNEVEN_FACTOR = 1.2
DEMAND_AVERAGE_S = 1.0
# A zone regains load over this time.  Sums are up to 2 s old, so entries that
# turned to it at once would not see one another's work.
CAPACITY_GAIN_S = 2.0
# Mean duration of a request until some are measured.
INITIAL_DURATION_S = 2.0
# Size and duration of requests are averages over this time.  Shorter ones follow
# the swing of the demand, as running requests lag behind started ones.
SIZE_AVERAGE_S = 20.0
# Weight of the initial values, in requests.
INITIAL_WEIGHT = 5.0


@dataclass(frozen=True, slots=True)
class ZoneEngines:
    """What the engines of a zone can hold at once.

    ``kv_tokens`` is the KV capacity of the layer that has the least, and
    ``head_slots`` the number of requests that chain heads admit.  Both are 0
    for a zone without a complete chain.
    """

    kv_tokens: float = 0
    head_slots: int = 0


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Demand and capacity of a zone, in requests a second."""

    demand: float = 0
    capacity: float = 0


LoadByZone = Mapping[str, ZoneLoad]


def engines_by_zone(
    engine: Engine, endpoints: Iterable[LiveEndpoint]
) -> dict[str, ZoneEngines]:
    """Return what the engines of each zone can hold."""
    by_zone: dict[str, list[LiveEndpoint]] = {}
    for endpoint in endpoints:
        if (
            endpoint.layers is not None
            and endpoint.accelerator_kind in engine.accelerators
        ):
            by_zone.setdefault(endpoint.zone, []).append(endpoint)
    return {
        zone: _engines_of_zone(engine, in_zone)
        for zone, in_zone in by_zone.items()
    }


def _engines_of_zone(
    engine: Engine, endpoints: Iterable[LiveEndpoint]
) -> ZoneEngines:
    # An engine adds to the sums from its first layer on, up to its last one, so
    # that the time does not grow with the layers that it holds.
    changes: dict[int, float] = defaultdict(float)
    counts: dict[int, int] = defaultdict(int)
    head_slots = 0
    for endpoint in endpoints:
        held = endpoint.layers
        if held is None or held.end > engine.layer_count:
            continue
        memory_mb = engine.accelerators[endpoint.accelerator_kind].memory_mb
        kv_tokens = engine.kv_tokens(memory_mb, len(held))
        changes[held.first] += kv_tokens
        changes[held.end] -= kv_tokens
        counts[held.first] += 1
        counts[held.end] -= 1
        if held.first == 0:
            head_slots += endpoint.slots or engine.slots
    layers = range(engine.layer_count)
    if not min(accumulate(counts[layer] for layer in layers), default=0):
        return ZoneEngines()
    least = min(accumulate(changes[layer] for layer in layers))
    return ZoneEngines(max(0, least), head_slots)


def is_uneven(loads: LoadByZone) -> bool:
    """Return whether zones are loaded so differently that a split helps.

    A zone that has demand or engines but no capacity always needs one.

    >>> is_uneven({'z1': ZoneLoad(11, 10), 'z2': ZoneLoad(10, 10)})
    False
    >>> is_uneven({'z1': ZoneLoad(13, 10), 'z2': ZoneLoad(10, 10)})
    True
    """
    if any(load.capacity <= 0 for load in loads.values()):
        return True
    ratios = [load.demand / load.capacity for load in loads.values()]
    return max(ratios, default=0) > UNEVEN_FACTOR * min(ratios, default=0)


@dataclass(frozen=True, slots=True)
class ZoneSplit:
    """Where the demand of each zone goes.

    Zones are filled up to a common level (water-filling): up to ``TARGET_LOAD``
    or, if the demand exceeds that, up to the mean load of all zones.
    """

    loads: LoadByZone

    @property
    def level(self) -> float:
        """Return the share of its capacity up to which a zone is filled."""
        capacity = sum(load.capacity for load in self.loads.values())
        demand = sum(load.demand for load in self.loads.values())
        return max(TARGET_LOAD, demand / capacity) if capacity > 0 else 0

    def shares(self, zone: str) -> dict[str, float]:
        """Return the share of a zone's demand that each zone serves.

        >>> split = ZoneSplit({'z1': ZoneLoad(16, 10), 'z2': ZoneLoad(4, 20)})
        >>> split.shares('z1')
        {'z1': 0.5, 'z2': 0.5}
        >>> split.shares('z2')
        {'z2': 1}
        """
        own = self.loads.get(zone, ZoneLoad())
        spare = self._spare()
        total = sum(spare.values())
        kept_share = _kept_share(own, self.level)
        if total <= 0:
            return {zone: 1.0}
        shares = {
            other: (1 - kept_share) * of_other / total
            for other, of_other in spare.items()
        }
        shares[zone] = kept_share
        return {name: share for name, share in shares.items() if share > 0}

    def left(self) -> dict[str, float]:
        """Return what each zone has left once the demand is split.

        If there is nothing left, the zones count by their capacity.
        """
        level = self.level
        if level >= 1:
            return {zone: load.capacity for zone, load in self.loads.items()}
        spare = self._spare()
        total = sum(spare.values())
        excess = sum(
            max(0, load.demand - level * load.capacity)
            for load in self.loads.values()
        )
        taken = min(1, excess / total) if total > 0 else 0
        return {
            zone: (1 - level) * load.capacity + (1 - taken) * spare[zone]
            for zone, load in self.loads.items()
        }

    def _spare(self) -> dict[str, float]:
        """Return the capacity that each zone has left at the common level."""
        level = self.level
        return {
            zone: max(0, level * load.capacity - load.demand)
            for zone, load in self.loads.items()
        }


def _kept_share(own: ZoneLoad, level: float) -> float:
    """Return the share of its demand that a zone serves itself."""
    if own.capacity <= 0:
        return 0
    if own.demand <= level * own.capacity:
        return 1
    return level * own.capacity / own.demand


class DampedLoads:
    """Demand as an average, and capacity that grows gradually.

    A loss of capacity takes effect at once.

    >>> loads = DampedLoads()
    >>> _ = loads.update({'z1': ZoneLoad(0, 10)}, now=0)
    >>> loads.update({'z1': ZoneLoad(0, 4)}, now=1)['z1'].capacity
    4
    >>> loads.update({'z1': ZoneLoad(0, 10)}, now=1.5)['z1'].capacity
    6.5
    """

    def __init__(self) -> None:
        """Start without any zone."""
        self._loads: dict[str, ZoneLoad] = {}
        self._updated_at: float | None = None

    def update(self, current: LoadByZone, now: float) -> dict[str, ZoneLoad]:
        """Return the damped loads at the time ``now``."""
        if self._updated_at is None:
            self._loads = dict(current)
        else:
            passed_s = max(0, now - self._updated_at)
            self._loads = {
                zone: _damped(self._loads.get(zone), load, passed_s)
                for zone, load in current.items()
            }
        self._updated_at = now
        return self._loads


def _damped(
    before: ZoneLoad | None, current: ZoneLoad, passed_s: float
) -> ZoneLoad:
    if before is None:
        before = ZoneLoad(current.demand)
    weight = 1 - exp(-passed_s / DEMAND_AVERAGE_S)
    gained = current.capacity * passed_s / CAPACITY_GAIN_S
    return ZoneLoad(
        before.demand + weight * (current.demand - before.demand),
        min(current.capacity, before.capacity + gained),
    )


class RequestSize:
    """Mean tokens and duration of requests.

    The duration is the number of running requests over the rate of starts,
    which holds over times that are long against a request.

    >>> size = RequestSize(900)
    >>> size.tokens, size.duration_s
    (900.0, 2.0)
    """

    def __init__(self, typical_tokens: float) -> None:
        """Start from the typical tokens of a request."""
        self._starts = INITIAL_WEIGHT
        self._tokens = INITIAL_WEIGHT * typical_tokens
        self._request_s = INITIAL_WEIGHT * INITIAL_DURATION_S

    @property
    def tokens(self) -> float:
        """Return the mean tokens of a request."""
        return self._tokens / self._starts

    @property
    def duration_s(self) -> float:
        """Return the mean duration of a request."""
        return self._request_s / self._starts

    def record(
        self,
        starts_per_s: float,
        tokens_per_s: float,
        running: float,
        passed_s: float,
    ) -> None:
        """Add what was measured over the last ``passed_s`` seconds."""
        if starts_per_s <= 0 or running <= 0 or tokens_per_s <= 0:
            return
        kept = exp(-passed_s / SIZE_AVERAGE_S)
        self._starts = kept * self._starts + starts_per_s * passed_s
        self._tokens = kept * self._tokens + tokens_per_s * passed_s
        self._request_s = kept * self._request_s + running * passed_s

    def capacity(self, engines: ZoneEngines) -> float:
        """Return the capacity of a zone in requests a second."""
        at_once = min(engines.kv_tokens / self.tokens, engines.head_slots)
        return at_once / self.duration_s


def largest_change(
    before: Mapping[str, float], after: Mapping[str, float]
) -> float:
    """Return by how much the share of any zone differs."""
    zones = set(before) | set(after)
    return max(
        (abs(before.get(zone, 0) - after.get(zone, 0)) for zone in zones),
        default=0,
    )


def hops_between_zones(zones: Iterable[str]) -> int:
    """Return how many hops of a chain lie between two zones.

    >>> hops_between_zones(['z1', 'z2', 'z2', 'z1'])
    2
    """
    return sum(zone != following for zone, following in pairwise(zones))
