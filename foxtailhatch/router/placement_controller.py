"""Order engines to hold layers; one entry at a time does so.

The holder of the leader lease has a fencing token (:mod:`.leader_lease`).  An
engine that has seen a higher token refuses an order.  Each order also names
how many orders the engine has accepted before, so that an order is refused if
others were accepted since it was planned, for example while its sender was
paused.  Who acquires the lease asks all engines first what they hold and how
many orders they have accepted, so that what the holder before has begun is part
of its plans.  While the store is unreachable the holder goes on: its orders are
protected in the same way, and lost layers are replaced without the store.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence

from returns.result import Success

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import LiveEndpoint, WorkEstimate
from foxtailhatch.fleet.table import SOUND_SILENCE_S
from foxtailhatch.placement import (
    Accelerator,
    GroupPlans,
    ModelReplicas,
    OrderReason,
    PlacementOrder,
)
from foxtailhatch.placement.coverage import (
    ServedLayers,
    admit,
    beside,
    common_layers,
)
from foxtailhatch.placement.layout import layers_max
from foxtailhatch.placement.plan import KV_TOKENS_MIN
from foxtailhatch.placement.protocols import (
    EngineClient,
    EngineFault,
    OrderOutcome,
)
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.copy_watch import CopyWatch
from foxtailhatch.router.group_stall_detector import HasWitness
from foxtailhatch.router.leader_lease import HANDOVER_S, LeaderLease
from foxtailhatch.router.observations import EndpointObservation
from foxtailhatch.router.pending_orders import (
    PendingOrder,
    releases_layers,
    served_layers,
)
from foxtailhatch.routes import Engine, Service

# The number of endpoints must be unchanged for this long before the first plan.
LIST_SETTLED_S = 0.8
# Interval at which an order in progress is checked.
ORDER_CHECK_PERIOD_S = 0.25
# An order that has not completed after this time is planned again.
ORDER_TIMEOUT_S = 8.0
# Share of an engine's KV cache in use above which its group takes accelerators
# from the reserve.  Loading takes about a second, in which a burst of requests
# can use up a third of the cache.
CROWDED_FILL = 0.6
# Entries are notified this long before an engine is ordered to release layers,
# so that no request is on its way to them.  The time covers the wait of a feed
# request and one call.
RELEASE_NOTICE_S = 0.6
# The holder before may give orders until its handover is over, and what they
# release is known everywhere after the time of a notice.  Until then a new
# holder lets no engine give up layers.
TAKEOVER_S = HANDOVER_S + RELEASE_NOTICE_S
# Plans wait this long for orders of the holder before whose layers are unknown:
# about as long as a load takes.
OTHER_ORDER_WAIT_S = 2.0
# Engines that are asked for a report at the same time.
SURVEY_CALLS_MAX = 64
# Orders that are begun in one turn of the loop, so that requests do not wait for
# all orders of a large plan.
ORDERS_IN_TURN_MAX = 64


class PlacementController:
    """Plan and send orders while this entry holds the leader lease."""

    def __init__(
        self,
        board: Blackboard,
        lease: LeaderLease,
        engines: EngineClient,
        log: StructuredLog,
        publish: Callable[[EndpointObservation], None],
        has_witness: HasWitness,
    ) -> None:
        """Start without orders; ``publish`` shares what engines now hold."""
        self._board = board
        self._lease = lease
        self._engines = engines
        self._log = log
        self._publish = publish
        self._has_witness = has_witness
        self._acquisitions = 0
        self._acquired_at = float('-inf')
        self._is_handover = False
        self._replicas: dict[str, ModelReplicas] = defaultdict(ModelReplicas)
        self._plans: dict[str, GroupPlans] = defaultdict(GroupPlans)
        self._known: dict[str, dict[str, Accelerator]] = {}
        self._pending: dict[str, PendingOrder] = {}
        self._copy_watch = CopyWatch(log)
        self._earlier: dict[str, PendingOrder] = {}
        self._deferred: dict[str, LayerRange] = {}
        self._order_counts: dict[tuple[str, int], int] = {}
        self._endpoint_count = -1
        self._settling_since = float('-inf')

    async def step(self) -> None:
        """Check orders in progress, and plan new ones."""
        now = self._board.clock()
        if not self._lease.may_order(now):
            return
        if self._acquisitions != self._lease.acquisitions:
            self._take_over(now)
        elif self._is_handover and now - self._acquired_at >= TAKEOVER_S:
            # The holder before may have given orders since the first survey.
            self._is_handover = False
            self._order_counts = {
                known: count
                for known, count in self._order_counts.items()
                if known[0] in self._pending
            }
        await self._check_due(now)
        await self._survey()
        await asyncio.gather(
            *(
                self._plan(service, self._board.clock())
                for service in self._model_services()
            )
        )

    def _take_over(self, now: float) -> None:
        """Drop what was known before other entries may have given orders."""
        self._acquisitions = self._lease.acquisitions
        self._acquired_at = now
        self._is_handover = True
        self._replicas.clear()
        self._deferred.clear()
        self._order_counts.clear()
        # Orders of an earlier tenure that engines still carry out are kept
        # when their reports show so.
        self._earlier = self._pending
        self._pending = {}

    async def _survey(self) -> None:
        """Ask the engines that this holder knows nothing of for a report."""
        endpoints = self._board.endpoints
        unknown = [
            endpoint
            for service in self._model_services()
            for endpoint in endpoints.of_service(service.name)
            if endpoint.name not in self._pending
            and (endpoint.name, endpoint.incarnation) not in self._order_counts
            and self._is_usable(endpoint)
        ]
        slots = asyncio.Semaphore(SURVEY_CALLS_MAX)
        await asyncio.gather(
            *(self._survey_one(endpoint, slots) for endpoint in unknown)
        )

    async def _survey_one(
        self, endpoint: LiveEndpoint, slots: asyncio.Semaphore
    ) -> None:
        async with slots:
            report = await self._engines.report(endpoint)
        self._learn(endpoint, report.value_or(None))

    def _learn(
        self, endpoint: LiveEndpoint, report: EngineReport | None
    ) -> None:
        """Note what an engine holds and whether it carries out an order.

        One that gives no report, or another than the list, is left alone until
        it is asked again.
        """
        earlier = self._earlier.pop(endpoint.name, None)
        if report is None or _is_of_other_incarnation(endpoint, report):
            self._await_other_order(endpoint, endpoint.layers)
            return
        key = (endpoint.name, endpoint.incarnation)
        self._order_counts[key] = report.orders
        if not report.is_busy and report.layers == endpoint.layers:
            return
        if report.is_busy and earlier and earlier.number == report.orders:
            self._pending[endpoint.name] = earlier
            return
        self._await_other_order(
            endpoint, report.layers, is_of_other=report.is_busy
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
        if engine is None:
            return
        accelerators = self._accelerators(service.name, engine)
        if not self._is_settled(accelerators, now):
            return
        self._watch_copies(service.name, engine, now)
        orders = self._orders(service.name, accelerators, engine, now)
        await asyncio.gather(
            *(
                self._submit_batch(batch, turn)
                for turn, batch in enumerate(_batches(orders))
            )
        )

    def _watch_copies(self, service: str, engine: Engine, now: float) -> None:
        if self._copy_watch.is_due(service, now):
            served = served_layers(
                self._board.endpoints,
                service,
                engine.layer_count,
                self._pending,
            )
            self._copy_watch.observe(service, served, now)

    def _orders(
        self,
        service: str,
        accelerators: Sequence[Accelerator],
        engine: Engine,
        now: float,
    ) -> list[PlacementOrder]:
        """Return the orders that engines without a pending one should get."""
        groups = self._replicas[service].groups(accelerators, engine)
        plans = self._plans[service].orders(
            groups,
            engine,
            lambda group: self._is_crowded(group, engine, now),
        )
        memory_mb = {known.endpoint: known.memory_mb for known in accelerators}
        return [
            order
            for group, planned in zip(groups, plans, strict=True)
            if planned and not self._awaits_other_orders(group, now)
            for order in planned
            if order.endpoint not in self._pending
            and self._fits(order, memory_mb[order.endpoint], engine)
        ]

    async def _submit_batch(
        self, orders: Sequence[PlacementOrder], turn: int
    ) -> None:
        """Submit orders after some turns of the loop."""
        for _ in range(turn):
            await asyncio.sleep(0)  # noqa: WPS476
        await asyncio.gather(*(self._submit(order) for order in orders))

    def _awaits_other_orders(
        self, group: Sequence[Accelerator], now: float
    ) -> bool:
        """Return whether engines load layers that this entry does not know."""
        return any(
            pending.is_of_other
            and now - pending.planned_at < OTHER_ORDER_WAIT_S
            for accelerator in group
            if (pending := self._pending.get(accelerator.endpoint))
        )

    def _is_crowded(
        self, group: Sequence[Accelerator], engine: Engine, now: float
    ) -> bool:
        """Return whether the KV cache of an accelerator is nearly used up."""
        work = WorkEstimate(
            self._board.loads, self._board.peer_work, entry_count=1, now=now
        )
        return any(
            work.work_at(accelerator.endpoint).tokens
            > CROWDED_FILL
            * engine.kv_tokens(accelerator.memory_mb, len(accelerator.layers))
            for accelerator in group
            if accelerator.layers is not None
        )

    def _fits(
        self,
        order: PlacementOrder,
        memory_mb: float,
        engine: Engine,
    ) -> bool:
        """Return whether the layers fit the accelerator's memory.

        An engine that is ordered to hold more would crash.
        """
        fits = len(order.layers) * engine.layer_mb <= memory_mb
        if not fits:
            self._log.write(
                'order_too_large',
                endpoint=order.endpoint,
                layers=_bounds(order.layers),
                why=order.reason,
            )
        return fits

    def _is_settled(self, accelerators: list[Accelerator], now: float) -> bool:
        """Return whether the list of endpoints is complete enough to plan.

        Only the first plan has to wait, as later ones change little.
        """
        if any(accelerator.layers for accelerator in accelerators):
            return True
        if len(accelerators) != self._endpoint_count:
            self._endpoint_count = len(accelerators)
            self._settling_since = now
        return now - self._settling_since >= LIST_SETTLED_S

    def _accelerators(self, service: str, engine: Engine) -> list[Accelerator]:
        endpoints = self._board.endpoints
        last = self._known.get(service, {})
        accelerators = []
        for endpoint in endpoints.of_service(service):
            kind = engine.accelerators.get(endpoint.accelerator_kind)
            if kind is None or not self._is_usable(endpoint):
                continue
            pending = self._pending.get(endpoint.name)
            accelerator = Accelerator(
                endpoint=endpoint.name,
                zone=endpoint.zone,
                memory_mb=kind.memory_mb,
                step_factor=kind.step_factor,
                layers=pending.layers if pending else endpoint.layers,
                has_pending_order=pending is not None,
            )
            # The same object is compared at once with the plan before.
            known = last.get(endpoint.name, accelerator)
            is_same = known == accelerator
            accelerators.append(known if is_same else accelerator)
        self._known[service] = {
            accelerator.endpoint: accelerator for accelerator in accelerators
        }
        return accelerators

    def _is_usable(self, endpoint: LiveEndpoint) -> bool:
        endpoints = self._board.endpoints
        if endpoints.is_dead(endpoint.name):
            return False
        return endpoints.accepts_work(endpoint)

    async def _submit(self, planned: PlacementOrder) -> None:
        """Send an order, or announce it first if it releases layers.

        One that would take away the last copy of a layer is changed or left
        to a later plan.
        """
        endpoint = self._board.endpoints.get(planned.endpoint)
        if endpoint is None:
            return
        order = self._admit(endpoint, planned)
        if order is None:
            return
        now = self._board.clock()
        pending = PendingOrder(endpoint, order, now, now + ORDER_CHECK_PERIOD_S)
        self._pending[endpoint.name] = pending
        if self._is_notice_needed(endpoint, order):
            pending.is_announced = True
            pending.check_at = now + RELEASE_NOTICE_S
            self._publish(_layers_during_order(endpoint, order.layers))
        else:
            await self._send(endpoint, order)

    def _is_notice_needed(
        self, endpoint: LiveEndpoint, order: PlacementOrder
    ) -> bool:
        """Return whether other entries may use layers that are given up."""
        if not releases_layers(endpoint, order):
            return False
        if order.reason == OrderReason.REBALANCING:
            return True
        return self._served_layers(endpoint).is_whole(endpoint.zone)

    def _served_layers(self, endpoint: LiveEndpoint) -> ServedLayers:
        """Return what the engines of an endpoint's service can run now."""
        engine = self._engine_of(endpoint)
        return served_layers(
            self._board.endpoints,
            endpoint.service,
            engine.layer_count if engine else 0,
            self._pending,
        )

    def _engine_of(self, endpoint: LiveEndpoint) -> Engine | None:
        table = self._board.table
        if table is None or endpoint.service not in table.services:
            return None
        return table.services[endpoint.service].engine

    def _admit(
        self, endpoint: LiveEndpoint, planned: PlacementOrder
    ) -> PlacementOrder | None:
        """Return the order that may be sent now, if any."""
        engine = self._engine_of(endpoint)
        if engine is None or not releases_layers(endpoint, planned):
            return planned
        kind = engine.accelerators.get(endpoint.accelerator_kind)
        memory_mb = 0 if kind is None else kind.memory_mb
        most = layers_max(memory_mb, engine, KV_TOKENS_MIN)
        # An announced release is not counted out before it is sent.
        served = self._served_layers(endpoint).holding(
            endpoint.name, endpoint.layers
        )
        if self._may_release():
            order = admit(planned, served, most)
        else:
            order = beside(planned, endpoint.layers, most)
        if order is None or order.layers != planned.layers:
            self._log_deferred(endpoint, planned, served)
        else:
            self._deferred.pop(endpoint.name, None)
        return order

    def _may_release(self) -> bool:
        """Return whether orders may take layers from engines now.

        Who has just acquired the lease may not know all orders yet, and who
        has lost it does not know those of the next holder.
        """
        return self._lease.is_held and not self._is_handover

    def _log_deferred(
        self,
        endpoint: LiveEndpoint,
        planned: PlacementOrder,
        served: ServedLayers,
    ) -> None:
        """Write once that an order would take away a last copy."""
        if self._deferred.get(endpoint.name) == planned.layers:
            return
        self._deferred[endpoint.name] = planned.layers
        last_copies = served.last_copies(endpoint.name, planned.layers)
        self._log.write(
            'order_deferred',
            endpoint=endpoint.name,
            layers=_bounds(planned.layers),
            held=_bounds(endpoint.layers),
            why=planned.reason,
            last_copies=sorted(last_copies),
        )

    async def _send_announced(
        self, endpoint: LiveEndpoint, order: PlacementOrder
    ) -> None:
        """Send an order whose release is known to the other entries.

        If copies were lost since, the engine serves its layers again.
        """
        if self._admit(endpoint, order) == order:
            await self._send(endpoint, order)
            return
        self._pending.pop(endpoint.name, None)
        self._publish(
            EndpointObservation(
                endpoint.name, endpoint.incarnation, False, endpoint.layers
            )
        )

    async def _send(
        self, endpoint: LiveEndpoint, order: PlacementOrder
    ) -> None:
        if self._is_handover and not await self._is_current(endpoint):
            return
        outcome = await self._place(endpoint, order)
        if outcome is OrderOutcome.CONFLICT and await self._is_still_valid(
            endpoint
        ):
            outcome = await self._place(endpoint, order)
        if outcome is OrderOutcome.STARTED:
            self._publish(_layers_during_order(endpoint, order.layers))
        if outcome is OrderOutcome.FENCED:
            self._lease.mark_fenced()
            self._pending.pop(endpoint.name, None)

    async def _is_current(self, endpoint: LiveEndpoint) -> bool:
        """Return whether an engine still is as its last report said.

        The holder before may have ordered it to hold other layers since.  Its
        new report is then part of the next plan.
        """
        key = (endpoint.name, endpoint.incarnation)
        expected = self._order_counts.get(key, 0)
        outcome = await self._engines.report(endpoint)
        report: EngineReport | None = outcome.value_or(None)
        if report is not None and not report.is_busy:
            known = (expected, endpoint.layers)
            if (report.orders, report.layers) == known:
                return True
        self._pending.pop(endpoint.name, None)
        self._learn(endpoint, report)
        return False

    async def _is_still_valid(self, endpoint: LiveEndpoint) -> bool:
        """Return whether a plan still holds for an engine that refused it.

        The engine has accepted orders that this entry did not know of, such
        as those of the previous leader.  The plan holds if the engine holds
        what the plan was made for.  Otherwise the engine is left alone until
        its order is completed, and the next plan starts from what it holds.
        """
        key = (endpoint.name, endpoint.incarnation)
        outcome = await self._engines.report(endpoint)
        if not isinstance(outcome, Success):
            return False
        report: EngineReport = outcome.unwrap()
        is_known = report.orders == self._order_counts.get(key, 0)
        if is_known or _is_of_other_incarnation(endpoint, report):
            return False
        self._order_counts[key] = report.orders
        if report.is_busy:
            self._log.write('order_of_another', endpoint=endpoint.name)
            self._await_other_order(endpoint, report.layers, is_of_other=True)
            return False
        if report.layers == endpoint.layers:
            return True
        self._pending.pop(endpoint.name, None)
        self._publish(
            EndpointObservation(
                endpoint.name, endpoint.incarnation, False, report.layers
            )
        )
        return False

    def _await_other_order(
        self,
        endpoint: LiveEndpoint,
        held: LayerRange | None,
        *,
        is_of_other: bool = False,
    ) -> None:
        """Exclude an engine from plans until its next report."""
        now = self._board.clock()
        self._pending[endpoint.name] = PendingOrder(
            endpoint,
            None,
            now,
            now + ORDER_CHECK_PERIOD_S,
            held=held,
            is_of_other=is_of_other,
        )

    async def _place(
        self,
        endpoint: LiveEndpoint,
        order: PlacementOrder,
    ) -> OrderOutcome:
        key = (endpoint.name, endpoint.incarnation)
        expected = self._order_counts.get(key, 0)
        outcome = await self._engines.place(
            endpoint,
            order.layers,
            self._lease.fencing_token,
            expected,
        )
        if outcome is OrderOutcome.STARTED:
            self._order_counts[key] = expected + 1
            self._note_number(endpoint.name, expected + 1)
        self._log.write(
            'order',
            endpoint=endpoint.name,
            layers=[order.layers.first, order.layers.end],
            held=_bounds(endpoint.layers),
            why=order.reason,
            outcome=outcome.value,
            token=self._lease.fencing_token,
            expected=expected,
            list_revision=self._board.endpoints.revision,
        )
        return outcome

    def _note_number(self, name: str, number: int) -> None:
        pending = self._pending.get(name)
        if pending is not None:
            pending.number = number

    async def _check_due(self, now: float) -> None:
        due = [
            pending
            for pending in self._pending.values()
            if pending.check_at <= now
        ]
        await asyncio.gather(*(self._check(pending, now) for pending in due))

    async def _check(self, pending: PendingOrder, now: float) -> None:
        """Send an announced order, or ask the engine for its progress."""
        name = pending.endpoint.name
        current = self._board.endpoints.get(name)
        is_gone = (
            current is None
            or current.incarnation != pending.endpoint.incarnation
        )
        if is_gone:
            self._pending.pop(name, None)
            return
        if now - pending.planned_at > ORDER_TIMEOUT_S:
            self._go_on_without(pending)
            return
        if pending.is_announced and pending.order is not None:
            pending.is_announced = False
            pending.check_at = now + ORDER_CHECK_PERIOD_S
            await self._send_announced(pending.endpoint, pending.order)
            return
        asked_at = self._board.clock()
        report = await self._engines.report(pending.endpoint)
        pending.check_at = self._board.clock() + ORDER_CHECK_PERIOD_S
        if isinstance(report, Success):
            pending.silent_since = None
            self._handle_report(pending, report.unwrap())
            return
        fault = report.failure()
        if fault is EngineFault.PAUSED:
            return
        if pending.silent_since is None:
            pending.silent_since = asked_at
        silence_s = asked_at - pending.silent_since
        is_refused = fault is EngineFault.NOT_CONNECTED
        if is_refused or silence_s >= SOUND_SILENCE_S:
            await self._handle_silence(pending.endpoint, fault.value, asked_at)

    def _go_on_without(self, pending: PendingOrder) -> None:
        """Plan with what an engine holds that does not complete its order."""
        endpoint = pending.endpoint
        self._log.write(
            'order_overdue',
            endpoint=endpoint.name,
            layers=_bounds(pending.layers),
            kept=_bounds(pending.kept),
        )
        if pending.order is None:
            # Its next report shows what has become of it.
            key = (endpoint.name, endpoint.incarnation)
            self._order_counts.pop(key, None)
            self._pending.pop(endpoint.name, None)
        else:
            self._await_other_order(endpoint, pending.kept)

    def _handle_report(
        self, pending: PendingOrder, report: EngineReport
    ) -> None:
        endpoint = pending.endpoint
        key = (endpoint.name, endpoint.incarnation)
        if _is_of_other_incarnation(endpoint, report):
            self._pending.pop(endpoint.name, None)
            return
        if report.orders < self._order_counts.get(key, 0):
            # It was written before the engine accepted the order.
            return
        self._order_counts[key] = report.orders
        if report.is_busy:
            return
        self._pending.pop(endpoint.name, None)
        self._log.write(
            'order_done',
            endpoint=endpoint.name,
            wanted=_bounds(pending.layers),
            held=_bounds(report.layers),
            orders=report.orders,
            took_s=round(self._board.clock() - pending.planned_at, 2),
        )
        self._publish(
            EndpointObservation(
                endpoint.name, endpoint.incarnation, False, report.layers
            ),
        )

    async def _handle_silence(
        self, endpoint: LiveEndpoint, fault: str, since: float
    ) -> None:
        has_witness = await self._has_witness([endpoint], since)
        self._log.write(
            'engine_silent',
            endpoint=endpoint.name,
            fault=fault,
            has_witness=has_witness,
        )
        self._pending.pop(endpoint.name, None)
        if has_witness:
            self._publish(
                EndpointObservation(endpoint.name, endpoint.incarnation, True)
            )


def _layers_during_order(
    endpoint: LiveEndpoint, ordered: LayerRange
) -> EndpointObservation:
    """Return the layers that an endpoint can run while it executes an order.

    These are the layers that it both holds now and is ordered to hold.
    """
    return EndpointObservation(
        endpoint.name,
        endpoint.incarnation,
        is_dead=False,
        layers=common_layers(endpoint.layers, ordered),
    )


def _is_of_other_incarnation(
    endpoint: LiveEndpoint, report: EngineReport
) -> bool:
    """Return whether an engine has started again since its record."""
    if not report.incarnation or not endpoint.incarnation:
        return False
    return report.incarnation != endpoint.incarnation


def _batches(
    orders: Sequence[PlacementOrder],
) -> Iterator[Sequence[PlacementOrder]]:
    """Yield the orders that each turn of the loop may begin."""
    for begin in range(0, len(orders), ORDERS_IN_TURN_MAX):
        yield orders[begin : begin + ORDERS_IN_TURN_MAX]


def _bounds(layers: LayerRange | None) -> list[int] | None:
    return None if layers is None else [layers.first, layers.end]
