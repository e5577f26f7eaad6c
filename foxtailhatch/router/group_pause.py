"""Notice that all streams of a chain pause at once, and ask its parts.

When several streams over the same endpoints all stand still, one of these
endpoints most likely is dead; the dead one is the one that does not answer.
This is sooner than any report tells, as reports lag.  Where many entries share
the traffic each has few streams over a chain.  One that pauses may have other
reasons, so it has to pause for longer, and who is silent is asked twice.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from returns.result import Success

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement.protocols import Engines
from foxtailhatch.relay.attempt import Attempt
from foxtailhatch.relay.relay import Relay

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
# The endpoints of a chain are asked again after this time, as each call has
# its price.
PROBE_AGAIN_S = 1.0

OnSilent = Callable[[LiveEndpoint, str], None]


class GroupPause:
    """Watch groups of streams that cross the same endpoints."""

    def __init__(
        self,
        engines: Engines,
        on_silent: OnSilent,
    ) -> None:
        """Call ``on_silent`` for an endpoint that does not answer."""
        self._engines = engines
        self._on_silent = on_silent
        self._asked_at: dict[tuple[str, ...], float] = {}

    async def look(self, relays: Iterable[Relay], now: float) -> None:
        """Ask the endpoints of each group that pauses."""
        groups: dict[tuple[str, ...], list[Relay]] = defaultdict(list)
        for relay in relays:
            if relay.attempt is not None:
                groups[_key(relay.attempt)].append(relay)
        self._asked_at = {
            key: asked_at
            for key, asked_at in self._asked_at.items()
            if now - asked_at < PROBE_AGAIN_S
        }
        probes = []
        for key, members in groups.items():
            paused = _paused(members, now)
            if paused and key not in self._asked_at:
                self._asked_at[key] = now
                is_sure = len(paused) >= GROUP_MIN
                parts = _endpoints(members[0])
                probes.append(self._probe(parts, is_sure=is_sure))
        await asyncio.gather(*probes)

    async def _probe(
        self,
        endpoints: Sequence[LiveEndpoint],
        *,
        is_sure: bool,
    ) -> None:
        for endpoint in await self.silent_among(endpoints, is_sure=is_sure):
            self._on_silent(endpoint, 'silent while its streams pause')

    async def silent_among(
        self,
        endpoints: Sequence[LiveEndpoint],
        *,
        is_sure: bool = False,
    ) -> list[LiveEndpoint]:
        """Return the endpoints of a chain that do not answer.

        They are asked twice unless it ``is_sure`` that one of them is dead.
        If most are silent, the fault is on this side.
        """
        silent = await self._silent_of(endpoints)
        if 2 * len(silent) > len(endpoints):
            return []
        return silent if is_sure else await self._silent_of(silent)

    async def _silent_of(
        self,
        endpoints: Sequence[LiveEndpoint],
    ) -> list[LiveEndpoint]:
        reports = await asyncio.gather(
            *(
                self._engines.report(endpoint, PROBE_TIMEOUT_S)
                for endpoint in endpoints
            )
        )
        return [
            endpoint
            for endpoint, report in zip(endpoints, reports, strict=True)
            if not isinstance(report, Success)
        ]


def _key(attempt: Attempt) -> tuple[str, ...]:
    return tuple(stage.endpoint.name for stage in attempt.chosen)


def _paused(members: Sequence[Relay], now: float) -> list[Relay]:
    """Return the members that pause; none if any of them has progress."""
    pauses = {relay: now - relay.progress_at for relay in members}
    started = [relay for relay in members if relay.is_started]
    limit_s = GROUP_PAUSE_S if len(started) >= GROUP_MIN else LONE_PAUSE_S
    if any(pauses[relay] <= limit_s for relay in started):
        return []
    return [
        relay
        for relay in members
        if relay.is_started or pauses[relay] > FIRST_PAUSE_S
    ]


def _endpoints(relay: Relay) -> list[LiveEndpoint]:
    if relay.attempt is None:
        return []
    return [stage.endpoint for stage in relay.attempt.chosen]
