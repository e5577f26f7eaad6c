"""One entry at a time orders engines to hold layers.

The turn comes with a fencing token (``turn.py``).  An engine that has seen a higher token refuses an order, and each
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
    Accelerator,
    ModelReplicas,
    OrderReason,
    PlacementOrder,
    other_replicas_in_zone,
    plan_placement,
)
from foxtailhatch.placement.protocols import EngineClient, OrderOutcome
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.leader_lease import LeaderLease
from foxtailhatch.router.observations import EndpointObservation
from foxtailhatch.router.router_state import RouterState
from foxtailhatch.routes import Engine, Service

# The list of endpoints must be unchanged this long before the first plan.
SETTLED_S = 0.8
# An order in progress is looked at again after this time.
LOOK_AGAIN_S = 0.25
# An order that nobody has seen done after this time is planned anew.
ORDER_MAX_S = 8.0
# Entries hear this long before an order that layers are given up, so that no
# request is on its way to them.  Source: the wait of a feed, and one call.
RELEASE_NOTICE_S = 0.6


@dataclass(slots=True)
class PendingOrder:
    """An order that has been decided on and not been seen done.

    It is given at once, or at ``look_at`` if it ``is_announced``.
    """

    endpoint: LiveEndpoint
    order: PlacementOrder
    decided_at: float
    look_at: float
    is_announced: bool = False


class PlacementController:
    """Plan and order while it is this entry's turn."""

    def __init__(
        self,
        board: RouterState,
        lease: LeaderLease,
        engines: EngineClient,
        log: StructuredLog,
        publish: Callable[[EndpointObservation], None],
    ) -> None:
        """Start without the turn."""
        self._board = board
        self._lease = lease
        self._engines = engines
        self._log = log
        self._publish = publish
        self._times_taken = 0
        self._copies: dict[str, ModelReplicas] = defaultdict(ModelReplicas)
        self._pending: dict[str, PendingOrder] = {}
        self._counts: dict[tuple[str, int], int] = {}
        self._listed = -1
        self._listed_at = float('-inf')

    async def step(self) -> None:
        """Look at orders in progress, and plan."""
        now = self._board.clock()
        if not self._lease.may_decide(now):
            return
        if self._times_taken != self._lease.acquisitions:
            self._begin()
        await self._look(now)
        await asyncio.gather(
            *(
                self._plan(service, self._board.clock())
                for service in self._model_services()
            )
        )

    def _begin(self) -> None:
        """Begin a turn; others may have given orders meanwhile."""
        self._times_taken = self._lease.acquisitions
        self._copies.clear()
        self._pending.clear()

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
        if engine is None:
            return
        cards = self._cards(service.name, engine)
        if not self._is_settled(cards, now):
            return
        groups = self._copies[service.name].groups(cards, engine)
        orders = [
            order
            for group in groups
            for order in plan_placement(
                group, engine, other_replicas_in_zone(group, groups)
            )
            if order.endpoint not in self._pending
            and self._fits(order, cards, engine)
        ]
        await asyncio.gather(*(self._order(order) for order in orders))

    def _fits(
        self,
        order: PlacementOrder,
        cards: list[Accelerator],
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

    def _is_settled(self, cards: list[Accelerator], now: float) -> bool:
        """Tell whether the list is whole enough for a plan.

        Only a first plan has to wait for it: later ones change little.
        """
        if any(card.layers for card in cards):
            return True
        if len(cards) != self._listed:
            self._listed = len(cards)
            self._listed_at = now
        return now - self._listed_at >= SETTLED_S

    def _cards(self, service: str, engine: Engine) -> list[Accelerator]:
        endpoints = self._board.endpoints
        cards = []
        for one in endpoints.of_service(service):
            card = engine.accelerators.get(one.accelerator_kind)
            if card is None or not self._is_sound(one):
                continue
            pending = self._pending.get(one.name)
            cards.append(
                Accelerator(
                    endpoint=one.name,
                    zone=one.zone,
                    memory_mb=card.memory_mb,
                    step_factor=card.step_factor,
                    layers=pending.order.layers if pending else one.layers,
                    has_pending_order=pending is not None,
                )
            )
        return cards

    def _is_sound(self, endpoint: LiveEndpoint) -> bool:
        endpoints = self._board.endpoints
        if endpoints.is_dead(endpoint.name):
            return False
        return endpoints.accepts_work(endpoint)

    async def _order(self, order: PlacementOrder) -> None:
        endpoint = self._board.endpoints.get(order.endpoint)
        if endpoint is None:
            return
        now = self._board.clock()
        pending = PendingOrder(endpoint, order, now, now + LOOK_AGAIN_S)
        self._pending[endpoint.name] = pending
        if order.reason == OrderReason.REBALANCING and _gives_up(
            endpoint, order
        ):
            pending.is_announced = True
            pending.look_at = now + RELEASE_NOTICE_S
            self._publish(_kept(endpoint, order.layers))
        else:
            await self._give(endpoint, order)

    async def _give(
        self, endpoint: LiveEndpoint, order: PlacementOrder
    ) -> None:
        outcome = await self._place(endpoint, order)
        if outcome is OrderOutcome.CONFLICT and await self._learn(endpoint):
            outcome = await self._place(endpoint, order)
        if outcome is OrderOutcome.STARTED:
            self._publish(_kept(endpoint, order.layers))
        if outcome is OrderOutcome.FENCED:
            self._lease.fenced()
            self._pending.pop(endpoint.name, None)

    async def _learn(self, endpoint: LiveEndpoint) -> bool:
        """Ask how many orders an engine has accepted; tell if it was news."""
        key = (endpoint.name, endpoint.incarnation)
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
        order: PlacementOrder,
    ) -> OrderOutcome:
        expected = self._counts.get((endpoint.name, endpoint.incarnation), 0)
        outcome = await self._engines.place(
            endpoint,
            order.layers,
            self._lease.fencing_token,
            expected,
        )
        self._log.write(
            'order',
            endpoint=endpoint.name,
            layers=[order.layers.first, order.layers.end],
            held=_bounds(endpoint.layers),
            why=order.reason,
            outcome=outcome.value,
            generation=self._lease.fencing_token,
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
        gone = (
            current is None
            or current.incarnation != pending.endpoint.incarnation
        )
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
        self._counts[endpoint.name, endpoint.incarnation] = report.orders
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
            EndpointObservation(
                endpoint.name, endpoint.incarnation, False, report.layers
            ),
        )

    def _silent(self, endpoint: LiveEndpoint, fault: str) -> None:
        self._log.write('engine_silent', endpoint=endpoint.name, fault=fault)
        self._pending.pop(endpoint.name, None)
        self._publish(
            EndpointObservation(endpoint.name, endpoint.incarnation, True)
        )


def _kept(endpoint: LiveEndpoint, ordered: LayerRange) -> EndpointObservation:
    """Return what an endpoint can run while it carries out an order."""
    held = endpoint.layers
    kept = None
    if held is not None:
        first = max(held.first, ordered.first)
        end = min(held.end, ordered.end)
        kept = LayerRange(first, end) if end > first else None
    return EndpointObservation(
        endpoint.name, endpoint.incarnation, is_dead=False, layers=kept
    )


def _gives_up(endpoint: LiveEndpoint, order: PlacementOrder) -> bool:
    held = endpoint.layers
    return held is not None and not order.layers.covers(held)


def _bounds(layers: LayerRange | None) -> list[int] | None:
    return None if layers is None else [layers.first, layers.end]
