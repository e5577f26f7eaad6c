"""Tell the other entries what was found at endpoints."""

import asyncio
from collections.abc import Coroutine

from returns.result import Success

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.keyed_log import Topic
from foxtailhatch.router.observations import EndpointObservation
from foxtailhatch.router.router_state import RouterState


class ObservationPublisher:
    """Check suspects once more, and publish what is certain."""

    def __init__(
        self,
        board: RouterState,
        adapter: PlatformAdapter,
        log: StructuredLog,
    ) -> None:
        """Start with nothing in progress."""
        self._board = board
        self._adapter = adapter
        self._log = log
        self._tasks: set[asyncio.Future[None]] = set()

    def confirm_suspect(self, endpoint: LiveEndpoint, why: str) -> None:
        """Publish a dead engine; ask one that is only suspected itself."""
        if endpoint.layers is None:
            return
        if self._board.endpoints.is_dead(endpoint.name):
            self.publish(
                EndpointObservation(
                    endpoint.name, endpoint.incarnation, is_dead=True
                )
            )
        else:
            self._start(self._confirm(endpoint, why))

    def publish(self, finding: EndpointObservation) -> None:
        """Put a finding on the blackboard and into the log."""
        finding.apply(self._board.endpoints, self._board.clock())
        self._start(self._write(finding))

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _confirm(self, endpoint: LiveEndpoint, why: str) -> None:
        found = await self._adapter.engines.report(endpoint)
        is_alive = isinstance(found, Success)
        self._log.write(
            'suspect_asked',
            endpoint=endpoint.name,
            why=why,
            alive=is_alive,
        )
        if not is_alive:
            self.publish(
                EndpointObservation(
                    endpoint.name, endpoint.incarnation, is_dead=True
                )
            )

    async def _write(self, finding: EndpointObservation) -> None:
        written = await self._adapter.store.put(
            Topic.OBSERVATIONS,
            finding.endpoint,
            finding.encode(),
        )
        if not isinstance(written, Success):
            self._log.write(
                'finding_not_written',
                endpoint=finding.endpoint,
                fault=written.failure().value,
            )
