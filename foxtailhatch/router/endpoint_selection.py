"""Choose the endpoints of an attempt."""

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
from foxtailhatch.router.router_state import RouterState
from foxtailhatch.routes import Engine

# An endpoint in another zone is taken when it has this many requests fewer.
ZONE_PREFERENCE = 1.0


class LoadAwareSelector:
    """Choose chains for models and single endpoints for plain services."""

    def __init__(self, board: RouterState, random: Random) -> None:
        """Read the endpoints and loads on the blackboard."""
        self._board = board
        self._random = random

    def select(
        self, choice: SelectionRequest, now: float
    ) -> SelectedChain | None:
        """Return a chain or a single endpoint; ``None`` if there is none.

        Endpoints that failed lately are taken only where the others do not
        suffice: they may have recovered, and nothing else can serve.
        """
        endpoints = self._board.endpoints
        name = choice.service.name
        chosen = self._among(choice, endpoints.usable(name, now))
        if chosen is None:
            chosen = self._among(choice, endpoints.alive(name))
        return chosen

    def _among(
        self,
        choice: SelectionRequest,
        endpoints: Sequence[LiveEndpoint],
    ) -> SelectedChain | None:
        fit = [one for one in endpoints if one.name not in choice.avoid]
        engine = choice.service.engine
        if engine is not None and engine.layer_count:
            return self._chain(choice, engine, fit)
        return self._single(choice, fit)

    def _single(
        self,
        choice: SelectionRequest,
        usable: Sequence[LiveEndpoint],
    ) -> SelectedChain | None:
        fit = [
            one
            for one in usable
            if not choice.heads or one.name in choice.heads
        ]
        if not fit:
            return None
        zone = self._board.cfg.zone
        loads = self._board.loads

        def cost(one: LiveEndpoint) -> tuple[float, float]:  # noqa: WPS430
            away = 0 if one.zone == zone else ZONE_PREFERENCE
            return loads.work_at(
                one.name
            ).requests + away, self._random.random()

        return (SelectedStage(min(fit, key=cost)),)

    def _chain(
        self,
        choice: SelectionRequest,
        engine: Engine,
        usable: Sequence[LiveEndpoint],
    ) -> SelectedChain | None:
        known = {
            one.name: one
            for one in usable
            if one.layers is not None
            and one.accelerator_kind in engine.accelerators
        }
        holders = [
            LayerHolder(one.name, one.zone, one.layers)
            for one in known.values()
            if one.layers is not None
        ]
        tokens = choice.req.tokens
        costs = ChainCosts(
            engine,
            known,
            self._work(),
            tokens.expected if tokens else int(engine.usual_prompt),
        )
        found = cheapest_chain(
            holders,
            engine.layer_count,
            costs,
            _start(choice, self._board.cfg.zone),
            heads=choice.heads,
            stages_max=engine.stages_max,
        )
        if found is None:
            return None
        first = () if choice.first is None else (choice.first,)
        rest = found.stages[len(first) :]
        return first + tuple(
            SelectedStage(known[stage.endpoint], stage.layers) for stage in rest
        )

    def _work(self) -> WorkEstimate:
        """Estimate the work of the entries that use this zone's endpoints."""
        board = self._board
        now = board.clock()
        ready = board.entries.ready(now)
        in_zone = sum(entry.zone == board.cfg.zone for entry in ready)
        return WorkEstimate(board.loads, board.peer_work, max(1, in_zone), now)


def _start(choice: SelectionRequest, zone: str) -> ChainPath:
    """Return the path that a chain begins with."""
    first = choice.first
    if first is None or first.layers is None:
        return ChainPath(zone)
    stage = Stage(first.endpoint.name, first.layers)
    return ChainPath(first.endpoint.zone, stages=(stage,))
