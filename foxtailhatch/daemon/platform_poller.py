"""Poll the platform's instance list and the load of the engines."""

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
    """Poll the live-instance list and load reports into the blackboard."""

    def __init__(
        self,
        board: Blackboard,
        endpoint_monitor: EndpointMonitor,
        engine: Engine,
        instances: InstanceList,
        now: Callable[[], float],
    ) -> None:
        """Keep the collaborators; ``now`` is the loop's time in seconds."""
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
        self._endpoint_monitor.pause_detector.record_read(
            LeaveSource.LIST, begun_at
        )
        if not isinstance(listed, Success):
            self.list_faults += 1
            return
        now = self._now()
        instances = listed.unwrap()
        self._board.listed_peers = frozenset(_peer_addresses(instances))
        changes = self._board.endpoints.apply_instance_list(instances, now)
        self._endpoint_monitor.apply_changes(changes)

    async def read_loads(self) -> None:
        """Request load reports from the engines that are due."""
        candidates = [
            PollCandidate(view.endpoint.name, view.own_load.streams > 0)
            for view in self._board.pool
            if view.usable
        ]
        due = self.schedule.take_due(candidates, self._now())
        await asyncio.gather(*map(self._read_load, due))

    async def probe(self) -> None:
        """Probe ejected engines that are due with a load report request.

        A plain service has no load report; the next call is its probe.
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
            loop_time_report = self._to_loop_time(report.unwrap())
            self._board.pool.update_report(loop_time_report, self._now())
            return True
        self.load_faults += 1
        self._endpoint_monitor.record_failure(name)
        return False

    def _to_loop_time(self, report: LoadReport) -> LoadReport:
        # Engines report wall time; the pool uses the loop's time.
        age_s = max(0, self._board.wall_time() - report.measured_at)
        return replace(report, measured_at=self._now() - age_s)


def _peer_addresses(instances: Iterable[LiveInstance]) -> Iterator[Address]:
    """Yield the peer addresses of the entries, taken from their labels."""
    for instance in instances:
        port = (instance.labels or {}).get(PEER_PORT_LABEL, '')
        if instance.role == ENTRY_ROLE and port.isdecimal():
            yield Address(instance.address.host, int(port))
