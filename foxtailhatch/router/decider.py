"""One entry at a time orders engines to hold layers.

The store's group gives the turn and a generation that serves as fencing
token.  An engine that has seen a higher token refuses an order, and each
order names how many the engine has accepted before, so that a decider that
was paused, or an order that is carried out late, changes nothing that
happened since.  While the store is away the holder goes on: its orders are
guarded all the same, and lost layers need not wait for the store.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Success

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement import (
    Card,
    LayerOrder,
    ModelCopies,
    Reason,
    plan_orders,
)
from foxtailhatch.placement.protocols import Engines, OrderOutcome
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.relay.decision_log import DecisionLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.findings import Finding
from foxtailhatch.router.keyed_log import KeyedLog, Membership
from foxtailhatch.routes import Engine, Service

# The turn lapses this long after the holder's last call.
TURN_S = 3.0
# The list of endpoints must be unchanged this long before the first plan.
SETTLED_S = 0.8
# An order in progress is looked at again after this time.
LOOK_AGAIN_S = 0.25
# An order that nobody has seen done after this time is planned anew.
ORDER_MAX_S = 8.0
# Entries hear this long before an order that layers are given up, so that no
# request is on its way to them.  Source: the wait of a feed, and one call.
NOTICE_S = 0.6


@dataclass(slots=True)
class PendingOrder:
    """An order that has been decided on and not been seen done.

    It is given at once, or at ``look_at`` if it ``is_announced``.
    """

    endpoint: LiveEndpoint
    order: LayerOrder
    decided_at: float
    look_at: float
    is_announced: bool = False


class Decider:
    """Plan and order while it is this entry's turn."""

    def __init__(
        self,
        board: Blackboard,
        store: KeyedLog,
        engines: Engines,
        log: DecisionLog,
        publish: Callable[[Finding], None],
    ) -> None:
        """Start without the turn."""
        self.generation = 0
        self.has_turn = False
        self._has_joined = False
        self._board = board
        self._store = store
        self._engines = engines
        self._log = log
        self._publish = publish
        self._fenced_at = -1
        self._copies: dict[str, ModelCopies] = defaultdict(ModelCopies)
        self._pending: dict[str, PendingOrder] = {}
        self._counts: dict[tuple[str, int], int] = {}
        self._revision = -1
        self._changed_at = float('-inf')

    async def take_part(self, *, wants: bool) -> None:
        """Join those who take the turn, or leave them.

        Who holds the turn keeps it: it can still give orders while it is cut
        off from the store.
        """
        if wants or self.has_turn:
            self._has_joined = True
            await self.join()
        elif self._has_joined:
            self._has_joined = False
            await self.leave()

    async def join(self) -> None:
        """Take the turn if it is free, or keep it."""
        board = self._board
        if board.stop_asked_at is not None:
            return
        joined = await self._store.join(
            board.cfg.instance,
            self.generation,
            TURN_S,
        )
        if isinstance(joined, Success):
            self._joined(joined.unwrap())

    async def leave(self) -> None:
        """Give the turn back, so that another entry can take it at once."""
        self.has_turn = False
        left = await self._store.leave(self._board.cfg.instance)
        self._log.write('turn_left', outcome=str(left))

    async def step(self) -> None:
        """Look at orders in progress, and plan."""
        if not self.has_turn or self._fenced_at >= self.generation:
            return
        now = self._board.clock()
        await self._look(now)
        await asyncio.gather(
            *(
                self._plan(service, self._board.clock())
                for service in self._model_services()
            )
        )

    def _joined(self, membership: Membership) -> None:
        self.generation = max(self.generation, membership.generation)
        if membership.is_holder != self.has_turn:
            self.has_turn = membership.is_holder
            self._copies.clear()
            self._pending.clear()
            self._log.write(
                'turn_taken' if self.has_turn else 'turn_lost',
                generation=membership.generation,
            )

    def _model_services(self) -> list[Service]:
        table = self._board.table
        if table is None:
            return []
        return [
            service
            for service in table.services.values()
            if service.engine is not None and service.engine.layer_count
        ]

    async def _plan(self, service: Service, now: float) -> None:
        engine = service.engine
        if engine is None or not self._is_settled(now):
            return
        cards = self._cards(service.name, engine)
        orders = [
            order
            for group in self._copies[service.name].groups(cards, engine)
            for order in plan_orders(group, engine)
            if order.endpoint not in self._pending
            and self._fits(order, cards, engine)
        ]
        await asyncio.gather(*(self._order(order) for order in orders))

    def _fits(
        self,
        order: LayerOrder,
        cards: list[Card],
        engine: Engine,
    ) -> bool:
        """Tell whether a card holds what is ordered; an engine would crash."""
        memory_mb = next(
            card.memory_mb for card in cards if card.endpoint == order.endpoint
        )
        fits = len(order.layers) * engine.layer_mb <= memory_mb
        if not fits:
            self._log.write(
                'order_too_large',
                endpoint=order.endpoint,
                layers=_bounds(order.layers),
                why=order.reason,
            )
        return fits

    def _is_settled(self, now: float) -> bool:
        """Tell whether the list is whole enough for a first plan."""
        endpoints = self._board.endpoints
        count = len(tuple(endpoints.names()))
        if count != self._revision:
            self._revision = count
            if self._changed_at == float('-inf'):
                self._changed_at = now
            if not self._counts:
                self._changed_at = now
        return now - self._changed_at >= SETTLED_S

    def _cards(self, service: str, engine: Engine) -> list[Card]:
        endpoints = self._board.endpoints
        cards = []
        for one in endpoints.of_service(service):
            card = engine.cards.get(one.card)
            if card is None or not self._is_sound(one):
                continue
            pending = self._pending.get(one.name)
            cards.append(
                Card(
                    endpoint=one.name,
                    zone=one.zone,
                    memory_mb=card.memory_mb,
                    step_factor=card.step_factor,
                    layers=pending.order.layers if pending else one.layers,
                    is_settling=pending is not None,
                )
            )
        return cards

    def _is_sound(self, endpoint: LiveEndpoint) -> bool:
        endpoints = self._board.endpoints
        if endpoints.is_dead(endpoint.name):
            return False
        return endpoints.takes_work(endpoint)

    async def _order(self, order: LayerOrder) -> None:
        endpoint = self._board.endpoints.get(order.endpoint)
        if endpoint is None:
            return
        now = self._board.clock()
        pending = PendingOrder(endpoint, order, now, now + LOOK_AGAIN_S)
        self._pending[endpoint.name] = pending
        if order.reason == Reason.EVENED_OUT and _gives_up(endpoint, order):
            pending.is_announced = True
            pending.look_at = now + NOTICE_S
            self._publish(_kept(endpoint, order.layers))
        else:
            await self._give(endpoint, order)

    async def _give(self, endpoint: LiveEndpoint, order: LayerOrder) -> None:
        outcome = await self._place(endpoint, order)
        if outcome is OrderOutcome.CONFLICT and await self._learn(endpoint):
            outcome = await self._place(endpoint, order)
        if outcome is OrderOutcome.BEGUN:
            self._publish(_kept(endpoint, order.layers))
        if outcome is OrderOutcome.FENCED:
            self._fenced_at = self.generation
            self._pending.pop(endpoint.name, None)

    async def _learn(self, endpoint: LiveEndpoint) -> bool:
        """Ask how many orders an engine has accepted; tell if it was news."""
        key = (endpoint.name, endpoint.born)
        found = await self._engines.report(endpoint)
        if not isinstance(found, Success):
            return False
        orders: int = found.unwrap().orders
        is_news = orders != self._counts.get(key, 0)
        self._counts[key] = orders
        return is_news

    async def _place(
        self,
        endpoint: LiveEndpoint,
        order: LayerOrder,
    ) -> OrderOutcome:
        expected = self._counts.get((endpoint.name, endpoint.born), 0)
        outcome = await self._engines.place(
            endpoint,
            order.layers,
            self.generation,
            expected,
        )
        self._log.write(
            'order',
            endpoint=endpoint.name,
            layers=[order.layers.first, order.layers.end],
            held=_bounds(endpoint.layers),
            why=order.reason,
            outcome=outcome.value,
            generation=self.generation,
            expected=expected,
            list_revision=self._board.endpoints.revision,
        )
        return outcome

    async def _look(self, now: float) -> None:
        due = [one for one in self._pending.values() if one.look_at <= now]
        await asyncio.gather(*(self._look_at(one, now) for one in due))

    async def _look_at(self, pending: PendingOrder, now: float) -> None:
        name = pending.endpoint.name
        current = self._board.endpoints.get(name)
        gone = current is None or current.born != pending.endpoint.born
        if gone or now - pending.decided_at > ORDER_MAX_S:
            self._pending.pop(name, None)
            return
        if pending.is_announced:
            pending.is_announced = False
            pending.look_at = now + LOOK_AGAIN_S
            await self._give(pending.endpoint, pending.order)
            return
        found = await self._engines.report(pending.endpoint)
        pending.look_at = self._board.clock() + LOOK_AGAIN_S
        if isinstance(found, Success):
            self._reported(pending, found.unwrap())
        else:
            self._silent(pending.endpoint, found.failure().value)

    def _reported(self, pending: PendingOrder, report: EngineReport) -> None:
        endpoint = pending.endpoint
        self._counts[endpoint.name, endpoint.born] = report.orders
        if report.is_busy:
            return
        self._pending.pop(endpoint.name, None)
        self._log.write(
            'order_done',
            endpoint=endpoint.name,
            wanted=_bounds(pending.order.layers),
            held=_bounds(report.layers),
            orders=report.orders,
            took_s=round(self._board.clock() - pending.decided_at, 2),
        )
        self._publish(
            Finding(endpoint.name, endpoint.born, False, report.layers),
        )

    def _silent(self, endpoint: LiveEndpoint, fault: str) -> None:
        self._log.write('engine_silent', endpoint=endpoint.name, fault=fault)
        self._pending.pop(endpoint.name, None)
        self._publish(Finding(endpoint.name, endpoint.born, True))


def _kept(endpoint: LiveEndpoint, ordered: LayerRange) -> Finding:
    """Return what an endpoint can run while it carries out an order."""
    held = endpoint.layers
    kept = None
    if held is not None:
        first = max(held.first, ordered.first)
        end = min(held.end, ordered.end)
        kept = LayerRange(first, end) if end > first else None
    return Finding(endpoint.name, endpoint.born, is_dead=False, layers=kept)


def _gives_up(endpoint: LiveEndpoint, order: LayerOrder) -> bool:
    held = endpoint.layers
    return held is not None and not order.layers.covers(held)


def _bounds(layers: LayerRange | None) -> list[int] | None:
    return None if layers is None else [layers.first, layers.end]
