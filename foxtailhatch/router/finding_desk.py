"""Tell the other entries what was found at endpoints."""

import asyncio
from collections.abc import Coroutine

from returns.result import Success

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.findings import Finding
from foxtailhatch.router.keyed_log import Topic
from foxtailhatch.router.router_state import RouterState


class FindingDesk:
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

    def suspect(self, endpoint: LiveEndpoint, why: str) -> None:
        """Publish a dead engine; ask one that is only suspected itself."""
        if endpoint.layers is None:
            return
        if self._board.endpoints.is_dead(endpoint.name):
            self.publish(Finding(endpoint.name, endpoint.born, is_dead=True))
        else:
            self._start(self._confirm(endpoint, why))

    def publish(self, finding: Finding) -> None:
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
            self.publish(Finding(endpoint.name, endpoint.born, is_dead=True))

    async def _write(self, finding: Finding) -> None:
        written = await self._adapter.store.put(
            Topic.FINDINGS,
            finding.endpoint,
            finding.encode(),
        )
        if not isinstance(written, Success):
            self._log.write(
                'finding_not_written',
                endpoint=finding.endpoint,
                fault=written.failure().value,
            )
