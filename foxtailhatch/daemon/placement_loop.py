"""Hold the placement lease, update desired states, send engine orders."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from returns.result import Success

from foxtailhatch.config import Model
from foxtailhatch.core import EventKind, LoadReport
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.settings import Settings
from foxtailhatch.durable import LogFollower
from foxtailhatch.durable.append_attempt import AppendRecord
from foxtailhatch.durable.desired_state import (
    DesiredStateRecord,
    encode_desired_state,
    record_to_refresh,
)
from foxtailhatch.durable.fleet_view_builder import (
    ReportedEndpoint,
    build_fleet_view,
)
from foxtailhatch.durable.lease_holder import HeldLease, LeaseHolder
from foxtailhatch.durable.leases import LeaseTable
from foxtailhatch.durable.load_rate_limiter import LoadRateLimiter
from foxtailhatch.durable.orders import OrderController, SendOrder
from foxtailhatch.durable.placement import PlacementController
from foxtailhatch.outside import (
    Engine,
    LogPage,
    LogService,
    PlatformFault,
    WeightStore,
)

PLACEMENT_PERIOD_S = 2.0


class PlacementLoop:
    """Acquire the placement lease if it is free, and place models under it.

    Times are wall times, because the records of the log carry wall times.
    """

    def __init__(
        self,
        board: Blackboard,
        log: LogService,
        engine: Engine,
        weights: WeightStore,
        holder: LeaseHolder,
        cfg: Settings,
        now: Callable[[], float],
    ) -> None:
        """Keep the collaborators.

        An entry whose settings have no ``placement`` reads the desired
        states but is no candidate for the lease.
        """
        rate = cfg.placement.load_bytes_per_s if cfg.placement else 0
        self._board = board
        self._log = log
        self._is_candidate = cfg.placement is not None
        self._engine = engine
        self._weights = weights
        self._holder = holder
        self._retention_s = cfg.periods.log_retention_s
        self._now = now
        self._leases = LeaseTable()
        self._orders = OrderController(LoadRateLimiter(rate))
        self._placement = PlacementController(board.wall_time())
        self._lease_reader = LogFollower('leases', board.random)
        self._desired_state_reader = LogFollower('wishes', board.random)
        self._recorded_fence: int | None = None
        self._next_placement_at = float(0)

    async def step(self) -> None:
        """Read due pages, acquire or renew the lease, and place if leader."""
        await self._read_desired_states()
        if not self._is_candidate:
            return
        await self._read_leases()
        wall = self._board.wall_time()
        await self._append(self._holder.step(wall, self._leases))
        lease = self._holder.current_lease(self._board.wall_time())
        self._record_lease_change(lease)
        if lease is not None and self._board.fold.in_force is not None:
            await self._act(lease)

    async def release(self) -> None:
        """Release the lease, for example at a graceful shutdown."""
        await self._append(self._holder.release(self._board.wall_time()))

    async def _act(self, lease: HeldLease) -> None:
        await self._refresh_records(lease)
        await self._update_desired_state(lease)
        await self._send_orders(lease)

    def _record_lease_change(self, lease: HeldLease | None) -> None:
        fence = None if lease is None else lease.fence
        before = self._recorded_fence
        if fence == before:
            return
        self._recorded_fence = fence
        name = self._holder.lease
        if fence is None:
            self._board.record(EventKind.LEASE_LOST, name, str(before))
        else:
            self._board.record(EventKind.LEASE_ACQUIRED, name, str(fence))

    async def _read_leases(self) -> None:
        page = await self._read(self._lease_reader, self._leases.next_offset)
        if page is not None:
            wall = self._board.wall_time()
            self._holder.apply_grants(self._leases.apply_page(wall, page))
            self._lease_reader.handle_page(wall, page, self._leases.next_offset)

    async def _read_desired_states(self) -> None:
        desired_states = self._board.desired_states
        page = await self._read(
            self._desired_state_reader, desired_states.next_offset
        )
        if page is not None:
            desired_states.apply_page(page)
            wall = self._board.wall_time()
            self._desired_state_reader.handle_page(
                wall, page, desired_states.next_offset
            )

    async def _read(
        self,
        follower: LogFollower,
        next_offset: int,
    ) -> LogPage | None:
        due = follower.next_read(self._board.wall_time(), next_offset)
        if due is None:
            return None
        page = await self._log.read(due.stream, due.offset, due.limit)
        log_page: LogPage | None = page.value_or(None)
        if log_page is None:
            self._board.metrics.count_log_fault(page.failure().fault)
            follower.handle_read_failure(self._board.wall_time())
        return log_page

    async def _append(self, record: AppendRecord | None) -> None:
        if record is not None:
            appended = await self._log.append(record.stream, record.body)
            if not isinstance(appended, Success):
                self._board.metrics.count_log_fault(appended.failure().fault)
            wall = self._board.wall_time()
            self._lease_reader.poll_soon(wall)
            self._desired_state_reader.poll_soon(wall)

    async def _refresh_records(self, lease: HeldLease) -> None:
        record = record_to_refresh(
            self._board.wall_time(),
            self._board.desired_states,
            lease.fence,
            self._retention_s,
        )
        if record is not None:
            await self._append(encode_desired_state(record))

    async def _update_desired_state(self, lease: HeldLease) -> None:
        cfg = self._board.fold.in_force
        wall = self._board.wall_time()
        if cfg is None or wall < self._next_placement_at:
            return
        self._next_placement_at = wall + PLACEMENT_PERIOD_S
        view = build_fleet_view(
            cfg,
            self._reported_endpoints(),
            self._board.desired_states.by_endpoint,
        )
        move = self._placement.step(wall, view)
        if move is not None:
            record = DesiredStateRecord(
                lease.fence, move.endpoint, (move.holding,)
            )
            await self._append(encode_desired_state(record))

    async def _send_orders(self, lease: HeldLease) -> None:
        await self._read_layer_sizes()
        reports = {
            each.endpoint.name: each.report
            for each in self._reported_endpoints()
        }
        wall = self._board.wall_time()
        # The lease can expire while the layer sizes are being read.
        held = self._holder.current_lease(wall)
        desired_states = self._board.desired_states.by_endpoint
        due = self._orders.step(wall, held, desired_states, reports)
        await asyncio.gather(*map(self._send, due))

    async def _send(self, send: SendOrder) -> None:
        endpoint = self._board.endpoints.endpoint(send.endpoint)
        held = self._holder.current_lease(self._board.wall_time())
        if endpoint is None or held is None or held.fence != send.order.fence:
            return
        self._board.record(EventKind.ORDER_SENT, send.endpoint)
        sent = await self._engine.order(endpoint, send.order)
        if isinstance(sent, Success):
            return
        if sent.failure().fault is PlatformFault.REFUSED:
            self._orders.handle_refusal(send.order)

    async def _read_layer_sizes(self) -> None:
        cfg = self._board.fold.in_force
        models = () if cfg is None else cfg.models
        await asyncio.gather(*map(self._read_layer_size, models))

    async def _read_layer_size(self, model: Model) -> None:
        pair = (model.name, model.version)
        if pair in self._orders.layer_bytes:
            return
        size = await self._weights.size_bytes(*pair)
        if isinstance(size, Success):
            self._orders.layer_bytes[pair] = size.unwrap()

    def _reported_endpoints(self) -> list[ReportedEndpoint]:
        return [
            ReportedEndpoint(view.endpoint, self._to_wall_time(view.report))
            for view in self._board.pool
            if view.usable and view.report is not None
        ]

    def _to_wall_time(self, report: LoadReport) -> LoadReport:
        age_s = self._now() - report.measured_at
        return replace(report, measured_at=self._board.wall_time() - age_s)
