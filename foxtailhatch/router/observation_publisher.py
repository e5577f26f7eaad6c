"""Publish observations of endpoints to the other entries."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace

from returns.result import Success

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.fleet.table import SOUND_SILENCE_S
from foxtailhatch.placement.protocols import EngineFault
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.keyed_log import Topic
from foxtailhatch.router.observations import EndpointObservation
from foxtailhatch.router.reach_prober import ReachProber, is_alive

# Pause between the probes of an endpoint that is silent.
PROBE_PAUSE_S = 0.1


class ObservationPublisher:
    """Probe suspected engines, and publish the confirmed observations."""

    def __init__(
        self,
        board: Blackboard,
        adapter: PlatformAdapter,
        log: StructuredLog,
        prober: ReachProber,
        has_connection: Callable[[str], bool],
        on_unanswered: Callable[[LiveEndpoint, float], None],
    ) -> None:
        """Create a publisher; ``prober`` finds witnesses for deaths.

        ``has_connection`` returns whether a connection to an endpoint is open.
        ``on_unanswered`` is told of endpoints that are not found, without a
        witness for their death.
        """
        self._board = board
        self._adapter = adapter
        self._log = log
        self._prober = prober
        self._has_connection = has_connection
        self._on_unanswered = on_unanswered
        self._tasks: set[asyncio.Future[None]] = set()
        self._probed: set[str] = set()

    @property
    def has_unwritten_records(self) -> bool:
        """Return whether a probe runs, or an observation is being written."""
        return bool(self._tasks)

    def confirm_suspect(self, endpoint: LiveEndpoint, why: str) -> None:
        """Publish that an endpoint is dead, if probes confirm it."""
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
        is_alive = await self._is_heard(endpoint, since)
        has_witness = is_alive or await self._prober.has_witness(
            [endpoint], since
        )
        self._probed.discard(endpoint.name)
        self._board.endpoints.clear_silence(endpoint.name)
        self._log.write(
            'suspect_probed',
            endpoint=endpoint.name,
            why=why,
            alive=is_alive,
            has_witness=has_witness,
            after_s=round(self._board.clock() - since, 2),
        )
        if not (is_alive or has_witness):
            self._on_unanswered(endpoint, self._board.clock())
        elif not is_alive:
            self.publish(
                EndpointObservation(
                    endpoint.name, endpoint.incarnation, is_dead=True
                )
            )

    async def _is_heard(self, endpoint: LiveEndpoint, since: float) -> bool:
        """Probe an endpoint until it is heard of, or silent for too long.

        One that refuses connections has ended, unless another is open.
        """
        while True:
            asked_at = self._board.clock()
            report = await self._adapter.engines.report(endpoint)
            if is_alive(endpoint, report):
                return True
            is_refused = report.failure() is EngineFault.NOT_CONNECTED
            if is_refused and self._has_connection(endpoint.name):
                return True
            is_silent = asked_at - since >= SOUND_SILENCE_S
            if is_refused or is_silent:
                return False
            await asyncio.sleep(PROBE_PAUSE_S)

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
