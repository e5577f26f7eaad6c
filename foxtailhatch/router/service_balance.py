"""Capacity, demand and split of one service, as one entry sees them."""

from collections.abc import Iterable, Mapping

from foxtailhatch.chains.crossing_limit import CrossingLimit, LinkUse
from foxtailhatch.chains.zone_split import (
    DampedLoads,
    RequestSize,
    ZoneEngines,
    ZoneLoad,
    ZoneSplit,
    engines_by_zone,
    is_uneven,
)
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.fleet.demand import DemandEstimate, RankDemand
from foxtailhatch.routes import Engine, Service

# The split is computed at most this often while the endpoints stay the same:
# feeds bring new sums every half second.
SPLIT_PERIOD_S = 0.25
# Balancing stays enabled for this long after demand and capacity were last
# uneven, so that small changes do not switch it on and off.
ENABLED_S = 5.0
NO_ENGINES = ZoneEngines()


class ServiceBalance:
    """Capacity, demand and split of one service, as this entry sees them."""

    def __init__(self, service: Service, engine: Engine, fill: float) -> None:
        """Start without any data; ``fill`` is that of the crossing limit."""
        typical = engine.typical_prompt_tokens + engine.typical_output_tokens
        self.service = service
        self.engine = engine
        self.loads: dict[str, ZoneLoad] = {}
        self.shares: dict[str, float] = {}
        self.weights: dict[str, float] = {}
        self.limit: CrossingLimit | None = None
        self.logged: Mapping[str, float] = {}
        self.logged_at = float('-inf')
        self._typical_tokens = typical
        self._fill = fill
        self._size = RequestSize(typical)
        self._damped = DampedLoads()
        self._engines: dict[str, ZoneEngines] = {}
        self._revision: int | None = None
        self._refreshed_at = float('-inf')
        self._uneven_at = float('-inf')

    def is_due(self, revision: int, now: float) -> bool:
        """Return whether the split has to be computed again."""
        if revision != self._revision:
            return True
        return now - self._refreshed_at >= SPLIT_PERIOD_S

    def is_enabled(self, now: float) -> bool:
        """Return whether requests are balanced over the zones."""
        return now - self._uneven_at <= ENABLED_S

    def refresh_engines(
        self, endpoints: Iterable[LiveEndpoint], revision: int
    ) -> None:
        """Compute what the engines can hold, if the endpoints changed."""
        if revision != self._revision:
            self._engines = engines_by_zone(self.engine, endpoints)
            self._revision = revision

    def refresh(self, estimate: DemandEstimate, services: int) -> None:
        """Compute the split, and this entry's part of the shared link."""
        now = estimate.now
        demand = self._demand(estimate)
        total = _sum(demand.values())
        self._size.record(
            total.starts_per_s,
            total.tokens_per_s,
            total.running,
            min(max(0, now - self._refreshed_at), SPLIT_PERIOD_S),
        )
        current = {
            zone: ZoneLoad(
                of_zone.requests_per_s,
                self._size.capacity(
                    self._engines.get(zone, NO_ENGINES)  # noqa: WPS529
                ),
            )
            for zone, of_zone in demand.items()
        }
        self.loads = self._damped.update(current, now)
        if is_uneven(self.loads):
            self._uneven_at = now
        self._refreshed_at = now
        self._split(estimate, current)
        self._limit_crossings(estimate, services)

    def record_crossing(self, tokens: int, hops: int, now: float) -> None:
        """Take credit for a chain with hops between zones."""
        if self.limit is not None:
            sent = (tokens or self._typical_tokens) * hops
            self.limit.take(sent * self.engine.activation_bytes, now)

    def _demand(self, estimate: DemandEstimate) -> dict[str, RankDemand]:
        zones = {
            estimate.zone,
            *self._engines,
            *estimate.entry_counts,
            *estimate.others.zones(),
        }
        return {
            zone: estimate.at(zone, self.service.name).total
            for zone in sorted(zones)
        }

    def _split(
        self, estimate: DemandEstimate, current: Mapping[str, ZoneLoad]
    ) -> None:
        """Compute shares of this zone, and weights of the zones beside.

        Without valid sums, each zone serves its own demand.
        """
        zone = estimate.zone
        split = ZoneSplit(self.loads)
        whole = {name for name, load in current.items() if load.capacity > 0}
        if estimate.others.is_fresh(estimate.now) or zone not in whole:
            shares = split.shares(zone)
        else:
            shares = {zone: 1.0}
        left = split.left()
        self.shares = {
            name: share for name, share in shares.items() if name in whole
        }
        self.weights = {name: left[name] for name in sorted(whole)}

    def _limit_crossings(self, estimate: DemandEstimate, services: int) -> None:
        rate = self.engine.zone_link_bytes_per_s
        usual = self.engine.activation_bytes * self._typical_tokens
        if rate is None or usual <= 0:
            self.limit = None
            return
        link = LinkUse(rate, usual, services)
        if self.limit is None:
            self.limit = CrossingLimit(link, self._fill)
        self.limit.link = link
        counts = estimate.entry_counts
        demand = sum(load.demand for load in self.loads.values())
        own = self.loads[estimate.zone].demand
        in_zone = max(1, counts.get(estimate.zone, 0))
        share = in_zone / max(in_zone, sum(counts.values()))
        if demand > 0:
            share = own / demand
        self.limit.update(link.entry_rate(share, in_zone), estimate.now)


def _sum(demands: Iterable[RankDemand]) -> RankDemand:
    total = RankDemand()
    for demand in demands:
        total = total.plus(demand)
    return total
