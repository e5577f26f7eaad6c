"""Detect that all streams of a chain pause at once, and probe its endpoints.

When several streams over the same endpoints all pause, one of these endpoints
is most likely dead, and a probe shows which one does not respond.  This detects
a failure before the engines' reports do, as these lag.  Where many entries share
the traffic, each has few streams over a chain; a single stream may pause for
other reasons, so the limit for few streams is longer.
"""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable, Sequence

from returns.result import Success

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement.protocols import EngineClient, EngineFault
from foxtailhatch.relay.attempt import Attempt
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.structured_log import StructuredLog

# This many streams are unlikely to pause at the same time by chance.
MIN_GROUP_STREAMS = 3
# Events of one stream arrive every 40 ms on the usual chains.
GROUP_PAUSE_S = 0.1
# Limit for fewer streams: on healthy chains, one in a hundred streams pauses for
# longer than 0.1 s.
SMALL_GROUP_PAUSE_S = 0.12
# Limit for the first event: on healthy chains, 99 % arrive within 0.15 s; the
# target is half a second.
FIRST_EVENT_PAUSE_S = 0.2
# A healthy engine responds within milliseconds.
PROBE_TIMEOUT_S = 0.08
# A second, longer probe confirms the first: declaring a slow engine dead would
# take its capacity from its zone.
CONFIRM_TIMEOUT_S = 0.2
# Minimum time between probes of an endpoint, as each call has a cost and streams
# over slow engines pause all the time.
PROBE_INTERVAL_S = 1.0

OnUnresponsive = Callable[[LiveEndpoint, str], None]
# Whether another endpoint has accepted a connection since a time, or does now.
HasWitness = Callable[[Sequence[LiveEndpoint], float], Awaitable[bool]]
# The time in seconds by which this entry probes a chain later than others,
# given the name of the chain's head.
ProbeDelay = Callable[[str], float]


class GroupStallDetector:
    """Probe the endpoints of streams that pause together."""

    def __init__(
        self,
        engines: EngineClient,
        on_unresponsive: OnUnresponsive,
        log: StructuredLog,
        probe_delay_s: ProbeDelay,
        has_witness: HasWitness,
    ) -> None:
        """Call ``on_unresponsive`` for each endpoint that does not respond."""
        self._engines = engines
        self._on_unresponsive = on_unresponsive
        self._log = log
        self._probe_delay_s = probe_delay_s
        self._has_witness = has_witness
        self._probed_at: dict[str, float] = {}

    async def check(self, relays: Iterable[Relay], now: float) -> None:
        """Probe the endpoints of each group of streams that pauses."""
        groups: dict[tuple[str, ...], list[Relay]] = defaultdict(list)
        for relay in relays:
            if relay.attempt is not None:
                groups[_chain_key(relay.attempt)].append(relay)
        self._probed_at = {
            name: probed_at
            for name, probed_at in self._probed_at.items()
            if now - probed_at < PROBE_INTERVAL_S
        }
        probes = []
        for members in groups.values():
            if not _is_paused(members, now):
                continue
            chain = _endpoints(members[0])
            delay_s = self._probe_delay_s(chain[0].name)
            if not delay_s or _is_paused(members, now - delay_s):
                probes.append(self._probe(chain, self._due(chain, now), now))
        await asyncio.gather(*probes)

    def _due(
        self,
        chain: Iterable[LiveEndpoint],
        now: float,
    ) -> list[LiveEndpoint]:
        """Return the endpoints of a chain that were not probed recently."""
        due = [
            endpoint
            for endpoint in chain
            if endpoint.name not in self._probed_at
        ]
        self._probed_at.update((endpoint.name, now) for endpoint in due)
        return due

    async def _probe(
        self,
        chain: Sequence[LiveEndpoint],
        due: Sequence[LiveEndpoint],
        now: float,
    ) -> None:
        for endpoint in await self.unresponsive_among(due, len(chain), now):
            self._on_unresponsive(
                endpoint, 'unresponsive while its streams pause'
            )

    async def unresponsive_among(
        self,
        endpoints: Sequence[LiveEndpoint],
        chain_length: int,
        now: float,
    ) -> list[LiveEndpoint]:
        """Return the endpoints that do not respond to probes.

        An endpoint that refuses the connection counts as unresponsive at
        once; one that does not respond is probed twice.  If more than half of
        ``chain_length`` endpoints do not respond, the fault is assumed to be
        on this entry, and none is returned; nor is any without a witness, as a
        part of the chain may have been probed before.
        """
        faults = await self._faults_of(endpoints, PROBE_TIMEOUT_S)
        if 2 * len(faults) > chain_length:
            self._log.write(
                'most_endpoints_unresponsive',
                asked=len(endpoints),
                of=chain_length,
            )
            return []
        refused = [
            endpoint
            for endpoint, fault in faults
            if fault is EngineFault.NOT_CONNECTED
        ]
        silent = [endpoint for endpoint, _ in faults if endpoint not in refused]
        still_silent = await self._faults_of(silent, CONFIRM_TIMEOUT_S)
        if len(still_silent) < len(silent):
            self._log.write(
                'slow',
                endpoints=[endpoint.name for endpoint in silent],
                silent=[endpoint.name for endpoint, _ in still_silent],
            )
        unresponsive = refused + [endpoint for endpoint, _ in still_silent]
        if unresponsive and not await self._has_witness(unresponsive, now):
            return []
        return unresponsive

    async def _faults_of(
        self,
        endpoints: Sequence[LiveEndpoint],
        timeout_s: float,
    ) -> list[tuple[LiveEndpoint, EngineFault]]:
        reports = await asyncio.gather(
            *(
                self._engines.report(endpoint, timeout_s)
                for endpoint in endpoints
            )
        )
        return [
            (endpoint, report.failure())
            for endpoint, report in zip(endpoints, reports, strict=True)
            if not isinstance(report, Success)
            and report.failure() is not EngineFault.PAUSED
        ]


def _chain_key(attempt: Attempt) -> tuple[str, ...]:
    return tuple(stage.endpoint.name for stage in attempt.chosen)


def _is_paused(members: Sequence[Relay], now: float) -> bool:
    """Return whether streams of a group pause and none makes progress."""
    pauses = {relay: now - relay.last_progress_at for relay in members}
    started = [relay for relay in members if relay.is_started]
    limit_s = (
        GROUP_PAUSE_S
        if len(started) >= MIN_GROUP_STREAMS
        else SMALL_GROUP_PAUSE_S
    )
    if any(pauses[relay] <= limit_s for relay in started):
        return False
    return bool(started) or any(
        pause_s > FIRST_EVENT_PAUSE_S for pause_s in pauses.values()
    )


def _endpoints(relay: Relay) -> list[LiveEndpoint]:
    if relay.attempt is None:
        return []
    return [stage.endpoint for stage in relay.attempt.chosen]
