"""What the platform says of endpoints, read into the blackboard."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

from returns.result import Success

from foxtailhatch.core import Address, EndpointKind, LoadReport
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.endpoint_monitor import EndpointMonitor
from foxtailhatch.daemon.pause_detector import LeaveSource
from foxtailhatch.outside import Engine, InstanceList, LiveInstance
from foxtailhatch.routing.polling import PollCandidate, PollSchedule

ENTRY_ROLE = 'entry'
PEER_PORT_LABEL = 'peer_port'


class PlatformPoller:
    """Poll the live-instance list and the engines' load reports."""

    def __init__(
        self,
        board: Blackboard,
        endpoint_monitor: EndpointMonitor,
        engine: Engine,
        instances: InstanceList,
        now: Callable[[], float],
    ) -> None:
        """Join the parts; nothing is polled yet."""
        self.schedule = PollSchedule()
        self.list_faults = 0
        self.load_faults = 0
        self._board = board
        self._endpoint_monitor = endpoint_monitor
        self._engine = engine
        self._instances = instances
        self._now = now

    async def read_list(self) -> None:
        """Read the live-instance list once."""
        begun_at = self._now()
        listed = await self._instances.instances()
        self._endpoint_monitor.pause_detector.note_read(
            LeaveSource.LIST, begun_at
        )
        if not isinstance(listed, Success):
            self.list_faults += 1
            return
        now = self._now()
        shown = listed.unwrap()
        self._board.listed_peers = frozenset(_peers(shown))
        changes = self._board.endpoints.apply_instance_list(shown, now)
        self._endpoint_monitor.apply_changes(changes)

    async def read_loads(self) -> None:
        """Ask the engines whose turn it is for their reports."""
        candidates = [
            PollCandidate(view.endpoint.name, view.own_load.streams > 0)
            for view in self._board.pool
            if view.usable
        ]
        due = self.schedule.take_due(candidates, self._now())
        await asyncio.gather(*map(self._read_load, due))

    async def probe(self) -> None:
        """Ask ejected engines for a sign of life when it is due.

        A plain service reports no load; the next call is its probe.
        """
        now = self._now()
        due = [
            name
            for name in self._board.health.probes_due(now)
            if self._is_engine(name)
            and self._board.health.begin_probe(name, now)
        ]
        await asyncio.gather(*map(self._probe, due))

    def _is_engine(self, name: str) -> bool:
        endpoint = self._board.endpoints.endpoint(name)
        return endpoint is not None and endpoint.kind is EndpointKind.ENGINE

    async def _probe(self, name: str) -> None:
        if await self._read_load(name):
            self._endpoint_monitor.record_success(name)

    async def _read_load(self, name: str) -> bool:
        endpoint = self._board.endpoints.endpoint(name)
        if endpoint is None:
            return False
        report = await self._engine.load_report(endpoint)
        if isinstance(report, Success):
            dated = self._dated(report.unwrap())
            self._board.pool.update_report(dated, self._now())
            return True
        self.load_faults += 1
        self._endpoint_monitor.record_failure(name)
        return False

    def _dated(self, report: LoadReport) -> LoadReport:
        # The engine dates its report by wall time, the pool by the loop's.
        age_s = max(0, self._board.wall_time() - report.measured_at)
        return replace(report, measured_at=self._now() - age_s)


def _peers(shown: Iterable[LiveInstance]) -> Iterator[Address]:
    """Yield where entries listen for peers, as their label tells."""
    for line in shown:
        port = (line.labels or {}).get(PEER_PORT_LABEL, '')
        if line.role == ENTRY_ROLE and port.isdecimal():
            yield Address(line.address.host, int(port))
