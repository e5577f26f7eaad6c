"""Notice that all streams of a chain pause at once, and ask its parts.

One stream may pause for many reasons.  When several streams over the same
endpoints all stand still, one of these endpoints most likely is dead; the
dead one is the one that does not answer.  This is sooner than any report
tells, as reports lag.
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
            if relay.attempt is not None and relay.is_started:
                groups[_key(relay.attempt)].append(relay)
        self._asked_at = {
            key: asked_at
            for key, asked_at in self._asked_at.items()
            if now - asked_at < PROBE_AGAIN_S
        }
        paused = [
            key
            for key, members in groups.items()
            if key not in self._asked_at and _pauses(members, now)
        ]
        probes = []
        for key in paused:
            self._asked_at[key] = now
            probes.append(self._probe(_endpoints(groups[key][0])))
        await asyncio.gather(*probes)

    async def _probe(self, endpoints: Sequence[LiveEndpoint]) -> None:
        reports = await asyncio.gather(
            *(
                self._engines.report(endpoint, PROBE_TIMEOUT_S)
                for endpoint in endpoints
            )
        )
        silent = [
            endpoint
            for endpoint, report in zip(endpoints, reports, strict=True)
            if not isinstance(report, Success)
        ]
        # If most are silent, the fault is on this side.
        if 2 * len(silent) < len(endpoints):
            for endpoint in silent:
                self._on_silent(endpoint, 'silent while its streams pause')


def _key(attempt: Attempt) -> tuple[str, ...]:
    return tuple(stage.endpoint.name for stage in attempt.chosen)


def _pauses(members: Sequence[Relay], now: float) -> bool:
    if len(members) < GROUP_MIN:
        return False
    return now - max(relay.progress_at for relay in members) > GROUP_PAUSE_S


def _endpoints(relay: Relay) -> list[LiveEndpoint]:
    if relay.attempt is None:
        return []
    return [stage.endpoint for stage in relay.attempt.chosen]
