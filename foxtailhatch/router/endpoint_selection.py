"""Select the endpoints of an attempt by load and zone."""

from collections.abc import Sequence
from random import Random

from foxtailhatch.chains.chain_search import (
    ChainPath,
    LayerHolder,
    Stage,
    cheapest_chain,
)
from foxtailhatch.chains.costs import ChainCosts
from foxtailhatch.fleet import LiveEndpoint, WorkEstimate
from foxtailhatch.relay.context import (
    SelectedChain,
    SelectedStage,
    SelectionRequest,
)
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.routes import Engine

# An endpoint in another zone is preferred if it has at least this many requests
# fewer.
ZONE_PENALTY_REQUESTS = 1.0


class LoadAwareSelector:
    """Select chains for models and single endpoints for plain services."""

    def __init__(self, board: Blackboard, random: Random) -> None:
        """Use the endpoints and loads on the blackboard; ``random`` breaks ties."""
        self._board = board
        self._random = random

    def select(
        self, selection: SelectionRequest, now: float
    ) -> SelectedChain | None:
        """Return a chain or a single endpoint; ``None`` if there is none.

        Endpoints that failed recently are used only if the others do not
        suffice: they may have recovered, and nothing else can serve.
        """
        endpoints = self._board.endpoints
        name = selection.service.name
        chosen = self._select_from(selection, endpoints.usable(name, now))
        if chosen is None:
            chosen = self._select_from(selection, endpoints.alive(name))
        return chosen

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
        by_name = {
            endpoint.name: endpoint
            for endpoint in usable
            if endpoint.layers is not None
            and endpoint.accelerator_kind in engine.accelerators
        }
        holders = [
            LayerHolder(endpoint.name, endpoint.zone, endpoint.layers)
            for endpoint in by_name.values()
            if endpoint.layers is not None
        ]
        tokens = selection.req.tokens
        costs = ChainCosts(
            engine,
            by_name,
            self._estimate_work(),
            tokens.expected if tokens else int(engine.usual_prompt),
        )
        cheapest = cheapest_chain(
            holders,
            engine.layer_count,
            costs,
            _initial_path(selection, self._board.cfg.zone),
            heads=selection.heads,
            stages_max=engine.stages_max,
        )
        if cheapest is None:
            return None
        first = () if selection.first is None else (selection.first,)
        rest = cheapest.stages[len(first) :]
        return first + tuple(
            SelectedStage(by_name[stage.endpoint], stage.layers)
            for stage in rest
        )

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
