"""Choose the endpoints of an attempt."""

from collections.abc import Sequence
from random import Random

from foxtailhatch.chains.costs import ChainCosts
from foxtailhatch.chains.zone_paths import (
    Holder,
    Stage,
    ZonePath,
    cheapest_chain,
)
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
        self, selection: SelectionRequest, now: float
    ) -> SelectedChain | None:
        """Return a chain or a single endpoint; ``None`` if there is none.

        Endpoints that failed lately are taken only where the others do not
        suffice: they may have recovered, and nothing else can serve.
        """
        endpoints = self._board.endpoints
        name = selection.service.name
        chosen = self._among(selection, endpoints.usable(name, now))
        if chosen is None:
            chosen = self._among(selection, endpoints.alive(name))
        return chosen

    def _among(
        self,
        selection: SelectionRequest,
        endpoints: Sequence[LiveEndpoint],
    ) -> SelectedChain | None:
        fit = [one for one in endpoints if one.name not in selection.exclude]
        engine = selection.service.engine
        if engine is not None and engine.layer_count:
            return self._chain(selection, engine, fit)
        return self._single(selection, fit)

    def _single(
        self,
        selection: SelectionRequest,
        usable: Sequence[LiveEndpoint],
    ) -> SelectedChain | None:
        fit = [
            one
            for one in usable
            if not selection.heads or one.name in selection.heads
        ]
        if not fit:
            return None
        zone = self._board.cfg.zone
        loads = self._board.loads

        def cost(one: LiveEndpoint) -> tuple[float, float]:  # noqa: WPS430
            away = 0 if one.zone == zone else ZONE_PREFERENCE
            return loads.of(one.name).requests + away, self._random.random()

        return (SelectedStage(min(fit, key=cost)),)

    def _chain(
        self,
        selection: SelectionRequest,
        engine: Engine,
        usable: Sequence[LiveEndpoint],
    ) -> SelectedChain | None:
        known = {
            one.name: one
            for one in usable
            if one.layers is not None and one.card in engine.cards
        }
        holders = [
            Holder(one.name, one.zone, one.layers)
            for one in known.values()
            if one.layers is not None
        ]
        tokens = selection.req.tokens
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
            _start(selection, self._board.cfg.zone),
            heads=selection.heads,
            stages_max=engine.stages_max,
        )
        if found is None:
            return None
        first = () if selection.first is None else (selection.first,)
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


def _start(selection: SelectionRequest, zone: str) -> ZonePath:
    """Return the path that a chain begins with."""
    first = selection.first
    if first is None or first.layers is None:
        return ZonePath(zone)
    stage = Stage(first.endpoint.name, first.layers)
    return ZonePath(first.endpoint.zone, stages=(stage,))
