"""Choose the endpoints of an attempt."""

from collections.abc import Sequence
from random import Random

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.relay.parts import Choice, Chosen, ChosenStage
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.routes import Engine
from foxtailhatch.routing.chain_costs import ChainCosts
from foxtailhatch.routing.zone_paths import Holder, cheapest_chain

# An endpoint in another zone is taken when it has this many requests fewer.
ZONE_PREFERENCE = 1.0


class EndpointChooser:
    """Choose chains for models and single endpoints for plain services."""

    def __init__(self, board: Blackboard, random: Random) -> None:
        """Read the endpoints and loads on the blackboard."""
        self._board = board
        self._random = random

    def choose(self, choice: Choice, now: float) -> Chosen | None:
        """Return a chain or a single endpoint; ``None`` if there is none."""
        usable = self._usable(choice, now)
        engine = choice.service.engine
        if engine is not None and engine.layer_count:
            return self._chain(choice, engine, usable)
        return self._single(choice, usable)

    def _usable(self, choice: Choice, now: float) -> list[LiveEndpoint]:
        endpoints = self._board.endpoints
        found = endpoints.usable(choice.service.name, now)
        fit = [one for one in found if one.name not in choice.avoid]
        if fit or choice.service.engine is not None:
            return fit
        # A plain service whose endpoints all failed lately: better one that
        # may have recovered than none.
        return [
            one
            for one in endpoints.of_service(choice.service.name)
            if endpoints.takes_work(one) and one.name not in choice.avoid
        ]

    def _single(
        self,
        choice: Choice,
        usable: Sequence[LiveEndpoint],
    ) -> Chosen | None:
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
            return loads.of(one.name).requests + away, self._random.random()

        return (ChosenStage(min(fit, key=cost)),)

    def _chain(
        self,
        choice: Choice,
        engine: Engine,
        usable: Sequence[LiveEndpoint],
    ) -> Chosen | None:
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
        tokens = choice.req.tokens
        costs = ChainCosts(
            engine,
            known,
            self._board.loads,
            tokens.expected if tokens else int(engine.usual_prompt),
            self._sharers(),
        )
        paths = [
            cheapest_chain(
                holders,
                engine.layer_count,
                costs,
                self._board.cfg.zone,
                head=head,
            )
            for head in choice.heads or ('',)
        ]
        found = min(
            (path for path in paths if path is not None),
            key=lambda path: path.cost,
            default=None,
        )
        if found is None:
            return None
        return tuple(
            ChosenStage(known[stage.endpoint], stage.layers)
            for stage in found.stages
        )

    def _sharers(self) -> float:
        """Estimate how many entries use the endpoints of this zone."""
        zone = self._board.cfg.zone
        now = self._board.clock()
        ready = self._board.entries.ready(now)
        return max(1, sum(entry.zone == zone for entry in ready))
