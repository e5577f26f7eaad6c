"""Notice that all streams of a chain pause at once, and ask its parts.

When several streams over the same endpoints all stand still, one of these
endpoints most likely is dead; the dead one is the one that does not answer.
This is sooner than any report tells, as reports lag.  Where many entries share
the traffic each has few streams over a chain.  One that pauses may have other
reasons, so it has to pause for longer.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from returns.result import Success

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement.protocols import EngineClient, EngineFault
from foxtailhatch.relay.attempt import Attempt
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.structured_log import StructuredLog

# So many streams pausing at once are no chance.
GROUP_MIN = 3
# Source: events of one stream come each 40 ms on the usual chains.
GROUP_PAUSE_S = 0.1
# Fewer streams have to pause for this long.  Source: of a hundred streams on
# sound chains, one pauses for longer than 0.1 s.
LONE_PAUSE_S = 0.12
# A request may wait this long for its first event.  Source: 99 of 100 wait for
# less than 0.15 s on sound chains; their goal is half a second.
FIRST_PAUSE_S = 0.2
# A sound engine answers within milliseconds.
PROBE_TIMEOUT_S = 0.08
# Who has not answered by then is asked once more, for longer: an engine that is
# only slow is a loss to its zone if it counts as dead.
CONFIRM_TIMEOUT_S = 0.2
# An endpoint is asked again after this time, as each call has its price, and
# streams over slow engines pause all the time.
PROBE_AGAIN_S = 1.0

OnSilent = Callable[[LiveEndpoint, str], None]


class GroupStallDetector:
    """Watch groups of streams that cross the same endpoints."""

    def __init__(
        self,
        engines: EngineClient,
        on_silent: OnSilent,
        log: StructuredLog,
    ) -> None:
        """Call ``on_silent`` for an endpoint that does not answer."""
        self._engines = engines
        self._on_silent = on_silent
        self._log = log
        self._asked_at: dict[str, float] = {}

    async def look(self, relays: Iterable[Relay], now: float) -> None:
        """Ask the endpoints of each group that pauses."""
        groups: dict[tuple[str, ...], list[Relay]] = defaultdict(list)
        for relay in relays:
            if relay.attempt is not None:
                groups[_key(relay.attempt)].append(relay)
        self._asked_at = {
            name: asked_at
            for name, asked_at in self._asked_at.items()
            if now - asked_at < PROBE_AGAIN_S
        }
        probes = []
        for members in groups.values():
            if _pauses(members, now):
                chain = _endpoints(members[0])
                probes.append(self._probe(chain, self._due(chain, now)))
        await asyncio.gather(*probes)

    def _due(
        self,
        chain: Iterable[LiveEndpoint],
        now: float,
    ) -> list[LiveEndpoint]:
        """Return the endpoints of a chain that have not just been asked."""
        due = [one for one in chain if one.name not in self._asked_at]
        self._asked_at.update((one.name, now) for one in due)
        return due

    async def _probe(
        self,
        chain: Sequence[LiveEndpoint],
        due: Sequence[LiveEndpoint],
    ) -> None:
        for endpoint in await self.unresponsive_among(due, len(chain)):
            self._on_silent(endpoint, 'silent while its streams pause')

    async def unresponsive_among(
        self,
        endpoints: Sequence[LiveEndpoint],
        of: int,
    ) -> list[LiveEndpoint]:
        """Return the endpoints, out of so many, that do not answer.

        Who refuses the connection is dead; who is only silent is asked twice.
        If most are silent, the fault is on this side.
        """
        faults = await self._faults_of(endpoints, PROBE_TIMEOUT_S)
        if 2 * len(faults) > of:
            self._log.write('silent_all', asked=len(endpoints), of=of)
            return []
        refused = [
            endpoint
            for endpoint, fault in faults
            if fault is EngineFault.NOT_CONNECTED
        ]
        silent = [one for one, _ in faults if one not in refused]
        again = await self._faults_of(silent, CONFIRM_TIMEOUT_S)
        if len(again) < len(silent):
            self._log.write(
                'slow',
                endpoints=[one.name for one in silent],
                silent=[one.name for one, _ in again],
            )
        return refused + [endpoint for endpoint, _ in again]

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
        ]


def _key(attempt: Attempt) -> tuple[str, ...]:
    return tuple(stage.endpoint.name for stage in attempt.chosen)


def _pauses(members: Sequence[Relay], now: float) -> bool:
    """Tell whether members pause for long, and none has progress."""
    pauses = {relay: now - relay.last_progress_at for relay in members}
    started = [relay for relay in members if relay.is_started]
    limit_s = GROUP_PAUSE_S if len(started) >= GROUP_MIN else LONE_PAUSE_S
    if any(pauses[relay] <= limit_s for relay in started):
        return False
    return bool(started) or any(
        pause_s > FIRST_PAUSE_S for pause_s in pauses.values()
    )


def _endpoints(relay: Relay) -> list[LiveEndpoint]:
    if relay.attempt is None:
        return []
    return [stage.endpoint for stage in relay.attempt.chosen]
