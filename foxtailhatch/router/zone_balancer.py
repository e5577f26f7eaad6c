"""Balance the requests of this entry over zones, and limit its crossings."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Protocol

from foxtailhatch.chains.balanced_choice import choose_chain
from foxtailhatch.chains.chain_search import ChainPath
from foxtailhatch.chains.costs import ChainCosts
from foxtailhatch.chains.zone_split import hops_between_zones, largest_change
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.relay.context import SelectedChain, SelectionRequest
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.service_balance import ServiceBalance
from foxtailhatch.routes import Service

# A change of the split by more than this is logged, once a second at most.
LOGGED_CHANGE = 0.1
LOG_PERIOD_S = 1.0

Search = Callable[[Iterable[LiveEndpoint]], ChainPath | None]


class BalancerMetrics(Protocol):
    """Metrics of the balance between zones."""

    def record_zone_shares(
        self, service: str, shares: Mapping[str, float]
    ) -> None:
        """Record the share of this entry's requests that each zone gets."""

    def record_crossing_refused(self) -> None:
        """Count a request that the limit kept from crossing zones."""


@dataclass(frozen=True, slots=True)
class ZoneSearches:
    """Searches for the chain of a request, in one zone or over all."""

    selection: SelectionRequest
    costs: ChainCosts
    search: Search

    def in_zone(self, zone: str) -> ChainPath | None:
        """Return the cheapest chain of a zone."""
        endpoints = self.costs.endpoints.values()
        return self.search([one for one in endpoints if one.zone == zone])

    def over_all(self) -> ChainPath | None:
        """Return the cheapest chain over all zones."""
        return self.search(self.costs.endpoints.values())

    def fill(self, path: ChainPath) -> float:
        """Return the estimated fill of the fullest stage of a chain.

        It is the larger of the KV fill and, at the head, the slots in use.
        """
        fills: list[float] = [0]
        costs = self.costs
        for stage in path.stages:
            endpoint = costs.endpoints.get(stage.endpoint)
            if endpoint is None:
                continue
            fills.append(costs.fill(endpoint))
            if stage.layers.first == 0 and endpoint.slots:
                received = costs.work.work_at(endpoint.name).received
                fills.append(received / endpoint.slots)
        return max(fills)

    def hops(self, path: ChainPath) -> int:
        """Return how many hops of a chain lie between two zones."""
        return hops_between_zones(
            self._zone_of(stage.endpoint) for stage in path.stages
        )

    def _zone_of(self, name: str) -> str:
        first = self.selection.first
        if first is not None and first.endpoint.name == name:
            return first.endpoint.zone
        return self.costs.endpoints[name].zone


class ZoneBalancer:
    """Choose the zone of each request, and limit crossings between zones."""

    def __init__(
        self,
        board: Blackboard,
        random: Random,
        log: StructuredLog,
        metrics: BalancerMetrics,
    ) -> None:
        """Use demand and endpoints on the blackboard."""
        self._board = board
        self._random = random
        self._log = log
        self._metrics = metrics
        self._balances: dict[str, ServiceBalance] = {}
        self._limited_logged_at = float('-inf')

    def is_enabled(self, service: Service, now: float) -> bool:
        """Return whether requests of a service are balanced over zones."""
        if not self._board.features.may_balance(service.name):
            self._balances.pop(service.name, None)
            return False
        balance = self._refreshed(service, now)
        return balance is not None and balance.is_enabled(now)

    def choose(
        self,
        selection: SelectionRequest,
        costs: ChainCosts,
        search: Search,
        now: float,
    ) -> ChainPath | None:
        """Return the chain of a request, where balancing is enabled.

        A request that keeps its head stays in the head's zone, or crosses.
        """
        balance = self._balances[selection.service.name]
        first = selection.first
        if first is None:
            zones = self._draw_zones(balance)
        else:
            zones = [first.endpoint.zone]
        may_cross = balance.limit is None or balance.limit.has_credit(now)
        searches = ZoneSearches(selection, costs, search)
        path = choose_chain(zones, searches, may_cross=may_cross)
        if path is None and not may_cross:
            self._on_limited(selection, now)
        return path

    def record_chain(
        self, chosen: SelectedChain, tokens: int, now: float
    ) -> None:
        """Take credit for a chain that a request is sent to or moved to."""
        zones = [stage.endpoint.zone for stage in chosen]
        hops = hops_between_zones(zones)
        balance = self._balances.get(chosen[0].endpoint.service)
        if hops and balance is not None:
            balance.record_crossing(tokens, hops, now)

    def _refreshed(self, service: Service, now: float) -> ServiceBalance | None:
        """Return the balance of a service, computed again if it is due."""
        board = self._board
        engine = service.engine
        if engine is None or not engine.layer_count:
            return None
        balance = self._balances.get(service.name)
        if balance is None or balance.engine != engine:
            balance = ServiceBalance(service, engine, self._random.random())
            balance.logged = {board.cfg.zone: 1.0}
            self._balances[service.name] = balance
        revision = board.endpoints.revision
        if balance.is_due(revision, now):
            alive = board.endpoints.alive(service.name)
            balance.refresh_engines(alive, revision)
            balance.refresh(board.demand_estimate(now), len(self._balances))
            self._report(balance, now)
        return balance

    def _draw_zones(self, balance: ServiceBalance) -> list[str]:
        """Return the zones to try, drawn at random.

        The first is drawn by the split.  The others follow in the order of a
        draw by what they have left.
        """
        weights = dict(balance.weights)
        zones = []
        if balance.shares:
            zones.append(self._draw(balance.shares))
            weights.pop(zones[0], None)
        while weights:
            zones.append(self._draw(weights))
            weights.pop(zones[-1])
        return zones

    def _draw(self, weights: Mapping[str, float]) -> str:
        names = list(weights)
        if sum(weights.values()) <= 0:
            return self._random.choice(names)
        drawn = self._random.choices(names, weights=list(weights.values()))
        return drawn[0]

    def _report(self, balance: ServiceBalance, now: float) -> None:
        """Update the metrics, and log a split that has changed."""
        name = balance.service.name
        is_enabled = balance.is_enabled(now)
        zone = self._board.cfg.zone
        shares = balance.shares if is_enabled else {zone: 1.0}
        self._metrics.record_zone_shares(
            name, {**dict.fromkeys(balance.loads, 0), **shares}
        )
        is_changed = largest_change(balance.logged, shares) > LOGGED_CHANGE
        if not is_changed or now - balance.logged_at < LOG_PERIOD_S:
            return
        balance.logged = shares
        balance.logged_at = now
        loads = balance.loads.items()
        self._log.write(
            'zone_split',
            service=name,
            demand=_rounded({one: load.demand for one, load in loads}),
            capacity=_rounded({one: load.capacity for one, load in loads}),
            split=_rounded(shares),
        )

    def _on_limited(self, selection: SelectionRequest, now: float) -> None:
        self._metrics.record_crossing_refused()
        if now - self._limited_logged_at >= LOG_PERIOD_S:
            self._limited_logged_at = now
            self._log.write(
                'crossing_limited',
                id=selection.req.request_id,
                service=selection.service.name,
            )


def _rounded(by_zone: Mapping[str, float]) -> dict[str, float]:
    return {zone: round(value, 2) for zone, value in by_zone.items()}
