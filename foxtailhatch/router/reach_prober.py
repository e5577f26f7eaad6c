"""Ask endpoints to learn whether this entry reaches them.

A report that an endpoint is dead needs a witness: another endpoint of the same
service that accepts a connection at the same time.  Entries with reach also ask
dead endpoints that are still listed, as a report may have been wrong.
"""

import asyncio
from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from itertools import chain, islice, zip_longest
from random import Random

from returns.result import Failure, Result, Success

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement.protocols import (
    REPORT_TIMEOUT_S,
    EngineClient,
    EngineFault,
    OnNotice,
    OrderOutcome,
    Reroute,
    RerouteReply,
)
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.observations import EndpointObservation
from foxtailhatch.router.probers import is_revival_prober, probe_delay_s

# Endpoints that are asked at a time.
SAMPLE_SIZE = 4
# An endpoint accepts a connection within milliseconds.  The second sample, of
# other endpoints, allows for a lost packet.
SAMPLE_TIMEOUT_S = 0.2
RETRY_TIMEOUT_S = 0.35
# A dead endpoint is asked again after this time, and then at this interval.  The
# platform removes one that has really died from the list within seconds.
REVIVAL_INTERVAL_S = 1.0
_UNCONNECTED = frozenset((EngineFault.NOT_CONNECTED, EngineFault.UNCONNECTED))
# Outcomes that do not show that this entry reaches an endpoint.
_NO_WITNESS = _UNCONNECTED | {EngineFault.PAUSED}


def is_alive(
    endpoint: LiveEndpoint, report: Result[EngineReport, EngineFault]
) -> bool:
    """Return whether an endpoint lives, by the outcome of a request to it.

    A plain service has no report, but takes connections if it lives.  One that
    asked for a pause has answered.
    """
    if report.swap().value_or(None) is EngineFault.PAUSED:
        return True
    if endpoint.layers is None:
        return report.swap().value_or(None) not in _UNCONNECTED
    return isinstance(report, Success)


class ReachRecorder:
    """An engine client that records which endpoints accept connections."""

    def __init__(self, engines: EngineClient, board: Blackboard) -> None:
        """Record the calls of ``engines`` on the blackboard."""
        self._engines = engines
        self._board = board

    def notify(self, on_notice: OnNotice) -> None:
        """Call ``on_notice`` with what engines say of themselves."""
        self._engines.notify(on_notice)

    async def report(
        self, endpoint: LiveEndpoint, timeout_s: float = REPORT_TIMEOUT_S
    ) -> Result[EngineReport, EngineFault]:
        """Request the state of an engine."""
        began_at = self._board.clock()
        if self._board.endpoints.pauses.is_paused(endpoint, began_at):
            return Failure(EngineFault.PAUSED)
        outcome = await self._engines.report(endpoint, timeout_s)
        is_reached = outcome.swap().value_or(None) not in _UNCONNECTED
        self._record(endpoint, began_at, is_reached=is_reached)
        return outcome

    async def place(
        self,
        endpoint: LiveEndpoint,
        layers: LayerRange,
        fence: int,
        expected_orders: int,
    ) -> OrderOutcome:
        """Order an engine to hold exactly these layers."""
        began_at = self._board.clock()
        if self._board.endpoints.pauses.is_paused(endpoint, began_at):
            return OrderOutcome.REFUSED
        outcome = await self._engines.place(
            endpoint, layers, fence, expected_orders
        )
        is_reached = outcome is not OrderOutcome.NO_ANSWER
        self._record(endpoint, began_at, is_reached=is_reached)
        return outcome

    async def reroute(
        self, head: LiveEndpoint, reroute: Reroute
    ) -> RerouteReply:
        """Order the head of a chain to continue a request elsewhere."""
        pauses = self._board.endpoints.pauses
        if pauses.is_paused(head, self._board.clock()):
            fault = EngineFault.PAUSED
            return RerouteReply(OrderOutcome.REFUSED, reason=fault.value)
        return await self._engines.reroute(head, reroute)

    def _record(
        self, endpoint: LiveEndpoint, began_at: float, *, is_reached: bool
    ) -> None:
        reach = self._board.reach
        if is_reached:
            reach.record_accepted(endpoint.service, endpoint.name, began_at)
        else:
            reach.record_failed(endpoint.service, began_at)


class ReachProber:
    """Ask samples of endpoints, and find witnesses for reports."""

    def __init__(
        self,
        board: Blackboard,
        engines: EngineClient,
        log: StructuredLog,
        random: Random,
    ) -> None:
        """Ask with ``engines``; ``random`` selects the endpoints."""
        self._board = board
        self._engines = engines
        self._log = log
        self._random = random
        self._asked_at: dict[str, float] = {}

    async def step(self) -> None:
        """Ask a sample of each service that may be unreachable."""
        now = self._board.clock()
        due = self._board.reach.due_for_sample(now)
        await asyncio.gather(*map(self._judge, due))

    def probe_delay_s(self, head: str) -> float:
        """Return by how much later than others to probe a chain."""
        return probe_delay_s(self._board, head, self._board.clock())

    async def has_witness(
        self, silent: Sequence[LiveEndpoint], since: float
    ) -> bool:
        """Return whether another endpoint accepts connections from here.

        Those of the same service count, or of all if there is no other one.
        """
        names = {endpoint.name for endpoint in silent}
        service = silent[0].service
        reach = self._board.reach
        if reach.accepted_since(service, since, names):
            return True
        others = self._candidates(service, names) or self._candidates(
            None, names
        )
        first = await self._ask(self._spread(others), SAMPLE_TIMEOUT_S)
        return bool(
            first or await self._ask(self._spread(others), RETRY_TIMEOUT_S)
        )

    async def revived(self) -> list[EndpointObservation]:
        """Return observations of dead endpoints that answer after all."""
        due = self._due_for_revival(self._board.clock())
        if not due:
            return []
        reports = await asyncio.gather(*map(self._engines.report, due))
        return [
            EndpointObservation(
                endpoint.name,
                endpoint.incarnation,
                is_dead=False,
                layers=_held_layers(endpoint, report),
            )
            for endpoint, report in zip(due, reports, strict=True)
            if is_alive(endpoint, report)
        ]

    def _due_for_revival(self, now: float) -> list[LiveEndpoint]:
        board = self._board
        dead = board.endpoints.dead_for(REVIVAL_INTERVAL_S, now)
        self._asked_at = {
            endpoint.name: self._asked_at.get(endpoint.name, float('-inf'))
            for endpoint in dead
        }
        due = [
            endpoint
            for endpoint in dead
            if now - self._asked_at[endpoint.name] >= REVIVAL_INTERVAL_S
            and not board.reach.is_cut_off(endpoint.service)
            and is_revival_prober(board, endpoint.name, now)
        ]
        self._asked_at.update((endpoint.name, now) for endpoint in due)
        return due

    async def _judge(self, service: str) -> None:
        reach = self._board.reach
        reach.begin_sample(service, self._board.clock())
        candidates = self._candidates(service)
        sample = self._spread(candidates)
        accepted = await self._ask(sample, SAMPLE_TIMEOUT_S)
        if not accepted and not reach.is_cut_off(service):
            sample = self._spread(candidates)
            accepted = await self._ask(sample, RETRY_TIMEOUT_S)
        asked = len(sample)
        if not reach.record_sample(service, accepted=accepted, asked=asked):
            return
        if not reach.is_cut_off(service):
            # These were failures of this entry.
            for endpoint in candidates:
                self._board.endpoints.clear_failures(endpoint.name)
        self._log.write(
            'engines_unreachable'
            if reach.is_cut_off(service)
            else 'engines_reachable',
            service=service,
            asked=asked,
            accepted=accepted,
        )

    async def _ask(
        self, endpoints: Iterable[LiveEndpoint], timeout_s: float
    ) -> int:
        """Return how many of the endpoints accept a connection."""
        reports = await asyncio.gather(
            *(self._engines.report(one, timeout_s) for one in endpoints)
        )
        return sum(
            report.swap().value_or(None) not in _NO_WITNESS
            for report in reports
        )

    def _candidates(
        self, service: str | None, without: Collection[str] = ()
    ) -> list[LiveEndpoint]:
        table = self._board.endpoints
        listed = filter(None, map(table.get, table.names()))
        return [
            endpoint
            for endpoint in listed
            if service in {None, endpoint.service}
            and endpoint.name not in without
        ]

    def _spread(self, endpoints: Sequence[LiveEndpoint]) -> list[LiveEndpoint]:
        """Return some of the endpoints, from as many zones as possible."""
        by_zone = defaultdict(list)
        for shuffled in self._random.sample(endpoints, len(endpoints)):
            by_zone[shuffled.zone].append(shuffled)
        in_turn = chain.from_iterable(zip_longest(*by_zone.values()))
        return list(islice(filter(None, in_turn), SAMPLE_SIZE))


def _held_layers(
    endpoint: LiveEndpoint, report: Result[EngineReport, EngineFault]
) -> LayerRange | None:
    """Return the layers that an endpoint reports; none of a plain service."""
    if endpoint.layers is None or not isinstance(report, Success):
        return None
    known: EngineReport = report.unwrap()
    return known.layers
