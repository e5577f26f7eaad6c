"""What the platform says of endpoints, read into the blackboard."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

from returns.result import Success

from foxtailhatch.core import EndpointKind, EventKind, LoadReport
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.membership import EndpointChange, EndpointState
from foxtailhatch.platform import Engine, InstanceList
from foxtailhatch.routing.polling import PollCandidate, PollSchedule


class PlatformWatch:
    """Poll the live-instance list and the engines' load reports."""

    def __init__(
        self,
        board: Blackboard,
        engine: Engine,
        instances: InstanceList,
        now: Callable[[], float],
    ) -> None:
        """Join the parts; nothing is polled yet."""
        self.schedule = PollSchedule()
        self.list_faults = 0
        self.load_faults = 0
        self._board = board
        self._engine = engine
        self._instances = instances
        self._now = now

    async def read_list(self) -> None:
        """Read the live-instance list once."""
        listed = await self._instances.instances()
        if not isinstance(listed, Success):
            self.list_faults += 1
            return
        now = self._now()
        changes = self._board.endpoints.note_list(listed.unwrap(), now)
        self.take_changes(changes)

    async def read_loads(self) -> None:
        """Ask the engines whose turn it is for their reports."""
        candidates = [
            PollCandidate(view.endpoint.name, view.own.streams > 0)
            for view in self._board.pool
            if view.usable
        ]
        due = self.schedule.due(candidates, self._now())
        await asyncio.gather(*map(self._read_load, due))

    def take_changes(self, changes: Iterable[EndpointChange]) -> None:
        """Bring the pool in line with changes in the endpoint table."""
        for change in changes:
            self._board.record(
                EventKind.ENDPOINT_CHANGED,
                change.endpoint,
                ' to '.join((change.before, change.after)),
            )
        self._refresh_pool()

    def _refresh_pool(self) -> None:
        now = self._now()
        table = self._board.endpoints
        usable = frozenset(table.usable_names(now))
        for name in usable:
            endpoint = table.endpoint(name)
            if endpoint is not None and endpoint.kind is EndpointKind.ENGINE:
                self._board.pool.add(endpoint)
        for view in tuple(self._board.pool):
            self._drop_unusable(view.endpoint.name, usable, now)
        self._board.health.keep_only(usable)

    def _drop_unusable(
        self,
        name: str,
        usable: frozenset[str],
        now: float,
    ) -> None:
        if name in usable:
            return
        self._board.pool.set_usable(name, usable=False)
        state = self._board.endpoints.state(name, now)
        if state is EndpointState.UNKNOWN:
            self._board.pool.remove(name)
            self._board.progress.forget_endpoint(name)
            self.schedule.forget(name)

    async def _read_load(self, name: str) -> None:
        endpoint = self._board.endpoints.endpoint(name)
        if endpoint is None:
            return
        report = await self._engine.load_report(endpoint)
        now = self._now()
        if isinstance(report, Success):
            self._board.pool.take_report(self._dated(report.unwrap()), now)
            return
        self.load_faults += 1
        self._board.health.note_failure(name, now)

    def _dated(self, report: LoadReport) -> LoadReport:
        # The engine dates its report by wall time, the pool by the loop's.
        age_s = max(0, self._board.wall_time() - report.measured_at)
        return replace(report, measured_at=self._now() - age_s)
