"""Select the endpoints of an attempt by load and zone."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import replace
from functools import partial
from operator import attrgetter
from random import Random

from foxtailhatch.chains.chain_search import (
    ChainPath,
    LayerHolder,
    Stage,
    cheapest_chain,
)
from foxtailhatch.chains.costs import ChainCosts
from foxtailhatch.chains.fill_limit import (
    ZonePlan,
    cheapest_with_room,
    covers_layers,
)
from foxtailhatch.fleet import LiveEndpoint, RateGate, WorkEstimate
from foxtailhatch.fleet.rate_limits import REPORT_DELAY_S, ZONE_REPORT_DELAY_S
from foxtailhatch.relay.context import (
    SelectedChain,
    SelectedStage,
    SelectionRequest,
)
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.zone_balancer import Search, ZoneBalancer
from foxtailhatch.routes import Engine

# An endpoint in another zone is preferred if it has at least this many requests
# fewer.
ZONE_PENALTY_REQUESTS = 1.0


class LoadAwareSelector:
    """Select chains for models and single endpoints for plain services."""

    def __init__(
        self,
        board: Blackboard,
        random: Random,
        balancer: ZoneBalancer | None = None,
    ) -> None:
        """Use the endpoints and loads on the blackboard; ``random`` breaks ties.

        Without a ``balancer``, no request is balanced over zones.
        """
        self._board = board
        self._random = random
        self._balancer = balancer

    def select(
        self, selection: SelectionRequest, now: float
    ) -> SelectedChain | None:
        """Return a chain or a single endpoint; ``None`` if there is none.

        Endpoints that failed recently are used only if the others do not
        suffice: they may have recovered, and nothing else can serve.
        """
        endpoints = self._board.endpoints
        name = selection.service.name
        is_retry = bool(selection.exclude)
        paused = {one.name for one in endpoints.paused(name, now)}
        if paused:
            selection = replace(selection, exclude=selection.exclude | paused)
        alive = endpoints.alive(name)
        heads = self._admitting_heads(selection, alive, now)
        if heads is not None:
            if not heads:
                return None
            selection = replace(selection, heads=heads)
        usable = endpoints.usable(name, now)
        settled = self._select_settled(selection, usable) if is_retry else None
        return (
            settled
            or self._select_from(selection, usable)
            or self._select_from(
                selection, self._needed_besides(selection, usable, now)
            )
        )

    def _needed_besides(
        self,
        selection: SelectionRequest,
        usable: Sequence[LiveEndpoint],
        now: float,
    ) -> Sequence[LiveEndpoint]:
        """Return the endpoints to choose from if ``usable`` do not suffice.

        With a fill limit there are none if those form a chain: the request
        waits for it.  An endpoint that has just refused one is as full.
        """
        if selection.fill_limit is None:
            return self._board.endpoints.alive(selection.service.name)
        engine = selection.service.engine
        if engine and covers_layers(
            usable, engine, selection.exclude, selection.heads
        ):
            return ()
        endpoints = self._board.endpoints
        return [
            endpoint
            for endpoint in endpoints.alive(selection.service.name)
            if not endpoints.is_refusing(endpoint, now)
        ]

    def _select_settled(
        self, selection: SelectionRequest, usable: Sequence[LiveEndpoint]
    ) -> SelectedChain | None:
        """Return a chain for a retry without endpoints back from a pause.

        They may ask for the next one, and a request has few attempts.
        """
        returning = self._board.endpoints.returning(selection.service.name)
        names = {endpoint.name for endpoint in returning}
        if not names - selection.exclude:
            return None
        exclude = selection.exclude | names
        return self._select_from(replace(selection, exclude=exclude), usable)

    def _admitting_heads(
        self,
        selection: SelectionRequest,
        endpoints: Sequence[LiveEndpoint],
        now: float,
    ) -> frozenset[str] | None:
        """Return the heads whose named limits admit a request.

        Return ``None`` if no endpoint names a limit.  A request that keeps its
        head is not sent to it again.
        """
        board = self._board
        zone = board.cfg.zone
        limited = board.rate_limits.names(now)
        limited |= board.peer_work.limited_names(now)
        if not limited or selection.first is not None:
            return None
        chance = self._random.random()
        gates = self._rate_gates(now)
        names = frozenset(
            endpoint.name
            for endpoint in endpoints
            if endpoint.name not in limited
            or gates[endpoint.zone == zone].admits(endpoint, chance)
        )
        return names & selection.heads if selection.heads else names

    def _rate_gates(self, now: float) -> dict[bool, RateGate]:
        """Return the gates to endpoints by whether they are in this zone."""
        board = self._board
        ready = board.entries.ready(now)
        in_zone = sum(entry.zone == board.cfg.zone for entry in ready)
        limits, peers = board.rate_limits, board.peer_work
        return {
            True: RateGate(
                limits, peers, max(1, in_zone), ZONE_REPORT_DELAY_S, now
            ),
            False: RateGate(
                limits, peers, max(1, len(ready)), REPORT_DELAY_S, now
            ),
        }

    def _select_from(
        self,
        selection: SelectionRequest,
        endpoints: Sequence[LiveEndpoint],
    ) -> SelectedChain | None:
        candidates = [
            endpoint
            for endpoint in endpoints
            if endpoint.name not in selection.exclude
        ]
        engine = selection.service.engine
        if engine is not None and engine.layer_count:
            return self._select_chain(selection, engine, candidates)
        return self._select_single(selection, candidates)

    def _select_single(
        self,
        selection: SelectionRequest,
        usable: Sequence[LiveEndpoint],
    ) -> SelectedChain | None:
        candidates = [
            endpoint
            for endpoint in usable
            if not selection.heads or endpoint.name in selection.heads
        ]
        if not candidates:
            return None
        zone = self._board.cfg.zone
        loads = self._board.loads

        def cost(endpoint: LiveEndpoint) -> tuple[float, float]:  # noqa: WPS430
            zone_penalty = 0 if endpoint.zone == zone else ZONE_PENALTY_REQUESTS
            return loads.work_at(
                endpoint.name
            ).requests + zone_penalty, self._random.random()

        return (SelectedStage(min(candidates, key=cost)),)

    def _select_chain(
        self,
        selection: SelectionRequest,
        engine: Engine,
        usable: Sequence[LiveEndpoint],
    ) -> SelectedChain | None:
        """Return the cheapest chain of the zone, or of all if that is full.

        Other zones are searched only if the chain in this zone is missing or
        crowded.  Their work is known late, and the time of a search grows
        with the number of endpoints.  Where requests are balanced over zones,
        the balancer chooses the zones to search.
        """
        by_name = {
            endpoint.name: endpoint
            for endpoint in usable
            if endpoint.layers is not None
            and endpoint.accelerator_kind in engine.accelerators
        }
        tokens = selection.req.tokens
        costs = ChainCosts(
            engine,
            by_name,
            self._estimate_work(),
            tokens.expected if tokens else int(engine.typical_prompt_tokens),
        )
        start = _initial_path(selection, self._board.cfg.zone)
        path = self._find_path(selection, costs, start)
        if path is None:
            return None
        first = () if selection.first is None else (selection.first,)
        return first + tuple(
            SelectedStage(by_name[stage.endpoint], stage.layers)
            for stage in path.stages[len(first) :]
        )

    def _find_path(
        self, selection: SelectionRequest, costs: ChainCosts, start: ChainPath
    ) -> ChainPath | None:
        balancer = self._balancer
        now = self._board.clock()
        is_balanced = balancer is not None and balancer.is_enabled(
            selection.service, now
        )
        if selection.fill_limit is not None:
            plan = (
                balancer.plan(selection, now)
                if balancer and is_balanced
                else ZonePlan()
            )
            return cheapest_with_room(
                costs,
                start,
                selection.heads,
                selection.fill_limit,
                plan,
                self._random,
            )
        search = partial(_cheapest, selection, costs, start)
        if balancer and is_balanced:
            return balancer.choose(selection, costs, search, now)
        endpoints = costs.endpoints.values()
        path = search(
            [endpoint for endpoint in endpoints if endpoint.zone == start.zone]
        )
        if path is None or costs.is_crowded_path(path):
            is_single = selection.is_single_zone
            path = (
                _cheapest_in_one_zone(search, endpoints)
                if is_single
                else search(endpoints)
            )
        return path

    def _estimate_work(self) -> WorkEstimate:
        """Estimate the load from all entries that use this zone's endpoints."""
        board = self._board
        now = board.clock()
        ready = board.entries.ready(now)
        in_zone = sum(entry.zone == board.cfg.zone for entry in ready)
        return WorkEstimate(board.loads, board.peer_work, max(1, in_zone), now)


def _initial_path(selection: SelectionRequest, zone: str) -> ChainPath:
    """Return the path that a chain must start with."""
    first = selection.first
    if first is None or first.layers is None:
        return ChainPath(zone)
    stage = Stage(first.endpoint.name, first.layers)
    return ChainPath(first.endpoint.zone, stages=(stage,))


def _cheapest(
    selection: SelectionRequest,
    costs: ChainCosts,
    start: ChainPath,
    endpoints: Iterable[LiveEndpoint],
) -> ChainPath | None:
    """Return the cheapest chain over some of the endpoints."""
    holders = [
        LayerHolder(endpoint.name, endpoint.zone, endpoint.layers)
        for endpoint in endpoints
        if endpoint.layers is not None
    ]
    return cheapest_chain(
        holders,
        costs.engine.layer_count,
        costs,
        start,
        heads=selection.heads,
        max_stages=costs.engine.max_stages,
    )


def _cheapest_in_one_zone(
    search: Search, endpoints: Iterable[LiveEndpoint]
) -> ChainPath | None:
    """Return the cheapest chain whose stages all lie in the same zone."""
    by_zone: dict[str, list[LiveEndpoint]] = defaultdict(list)
    for endpoint in endpoints:
        by_zone[endpoint.zone].append(endpoint)
    whole = filter(None, map(search, by_zone.values()))
    return min(whole, key=attrgetter('cost'), default=None)
