"""Publish observations of endpoints to the other entries."""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace

from returns.result import Success

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement.protocols import EngineFault
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.keyed_log import Topic
from foxtailhatch.router.observations import EndpointObservation
from foxtailhatch.router.reach_prober import ReachProber


class ObservationPublisher:
    """Probe suspected engines, and publish the confirmed observations."""

    def __init__(
        self,
        board: Blackboard,
        adapter: PlatformAdapter,
        log: StructuredLog,
        prober: ReachProber,
    ) -> None:
        """Create a publisher; ``prober`` finds witnesses for deaths."""
        self._board = board
        self._adapter = adapter
        self._log = log
        self._prober = prober
        self._tasks: set[asyncio.Future[None]] = set()
        self._probed: set[str] = set()

    def confirm_suspect(self, endpoint: LiveEndpoint, why: str) -> None:
        """Publish that an endpoint is dead, after a probe if it is not certain."""
        if endpoint.name in self._probed:
            return
        if self._board.endpoints.is_dead(endpoint.name):
            self.publish(
                EndpointObservation(
                    endpoint.name, endpoint.incarnation, is_dead=True
                )
            )
        else:
            self._probed.add(endpoint.name)
            self._start(self._probe(endpoint, why))

    async def withdraw_wrong_reports(self) -> None:
        """Publish which of the dead endpoints answer after all."""
        for observation in await self._prober.revived():
            self._log.write('report_withdrawn', endpoint=observation.endpoint)
            self.publish(observation)

    def publish(self, observation: EndpointObservation) -> None:
        """Apply an observation locally, and write it to the log."""
        observation.apply(self._board.endpoints, self._board.clock())
        signed = replace(observation, by=self._board.cfg.instance)
        self._start(self._write(signed))

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, endpoint: LiveEndpoint, why: str) -> None:
        since = self._board.clock()
        report = await self._adapter.engines.report(endpoint)
        is_alive = isinstance(report, Success)
        if endpoint.layers is None:
            # A plain service has no report, but takes connections if it lives.
            is_alive = report.swap().value_or(None) is not (
                EngineFault.NOT_CONNECTED
            )
        has_witness = is_alive or await self._prober.has_witness(
            [endpoint], since
        )
        self._probed.discard(endpoint.name)
        self._log.write(
            'suspect_probed',
            endpoint=endpoint.name,
            why=why,
            alive=is_alive,
            has_witness=has_witness,
        )
        if not is_alive and has_witness:
            self.publish(
                EndpointObservation(
                    endpoint.name, endpoint.incarnation, is_dead=True
                )
            )

    async def _write(self, observation: EndpointObservation) -> None:
        written = await self._adapter.store.put(
            Topic.OBSERVATIONS,
            observation.endpoint,
            observation.encode(),
        )
        if not isinstance(written, Success):
            self._log.write(
                'observation_not_written',
                endpoint=observation.endpoint,
                fault=written.failure().value,
            )
