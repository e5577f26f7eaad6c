"""Find the endpoint that streams wait for, and lead them around it.

Work that depends on a dead endpoint of a chain stands still for seconds
before it is cut off.  The receiver of a request knows whom it waits for, so
it is asked as soon as a stream pauses for longer than tokens take.  Streams
that can keep their receiver go on over another chain; the rest run again
from their last event.
"""

import asyncio
from collections import defaultdict
from weakref import WeakKeyDictionary

from returns.result import Success

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement.protocols import EngineClient, OrderOutcome, Reroute
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.relay.context import RelayContext, SelectedChain, chain_layout
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.stream_progress import has_recent_progress
from foxtailhatch.router.group_stall_detector import (
    PROBE_TIMEOUT_S,
    GroupStallDetector,
)

# Longer than this between two events is no batch's work.  Source: the longest
# pause that is on time, and half of it more.
STALL_AFTER_S = 0.3
# Before the first event a request may wait behind long prompts.
FIRST_STALL_AFTER_S = 0.6
# A receiver is asked again after this time, as its report lags by more.
ASK_AGAIN_S = 0.12
# Endpoints beside a chain that are asked whether the fault is on this side.
OTHERS_ASKED = 2
# A stream that cannot be moved by then runs again elsewhere: callers leave
# after a gap of two seconds.
GIVE_UP_AFTER_S = 1.1
# A leaving endpoint goes on with what it has for about two seconds.  So long
# a stream waits for a way inside its zone, since others share one link.
LEAVING_WAIT_S = 1.6
# A move that was refused for want of room is tried again after this time,
# since each order has its price.
MOVE_AGAIN_S = 0.3


class StallDetector:
    """Watch the streams in progress at this entry."""

    def __init__(self, parts: RelayContext, engines: EngineClient) -> None:
        """Watch the running requests of ``parts``."""
        self._parts = parts
        self._engines = engines
        self._asked_at: dict[str, float] = {}
        self._groups = GroupStallDetector(engines, self._lost, parts.log)
        self._moving: set[str] = set()
        self._refused_at: WeakKeyDictionary[Relay, float] = WeakKeyDictionary()

    async def step(self) -> None:
        """Look at all streams once."""
        chains = filter(_is_chain, tuple(self._parts.running))
        await self._groups.look(chains, self._parts.clock())
        now = self._parts.clock()
        stalled: dict[str, list[Relay]] = defaultdict(list)
        self._move_lost()
        for relay in filter(_is_chain, tuple(self._parts.running)):
            if not self._crosses_lost(relay) and _is_stalled(relay, now):
                stalled[relay.attempt.head_name].append(relay)
        asked = [
            self._ask(head, relays)
            for head, relays in stalled.items()
            if now - self._asked_at.get(head, 0) >= ASK_AGAIN_S
        ]
        await asyncio.gather(*asked)
        if asked:
            self._move_lost()

    def _move_lost(self) -> None:
        """Move all streams that cross an endpoint just found dead."""
        for relay in filter(_is_chain, tuple(self._parts.running)):
            if self._crosses_lost(relay):
                self._start_move(relay)

    def _crosses_lost(self, relay: Relay) -> bool:
        endpoints = self._parts.endpoints
        attempt = relay.attempt
        if attempt is None:
            return False
        return any(
            endpoints.is_dead(stage.endpoint.name)
            or not endpoints.accepts_work(stage.endpoint)
            for stage in attempt.chosen
        )

    def _start_move(self, relay: Relay) -> None:
        now = self._parts.clock()
        refused_at = self._refused_at.get(relay)
        is_early = refused_at is not None and now - refused_at < MOVE_AGAIN_S
        if relay.request_id in self._moving or is_early:
            return
        self._moving.add(relay.request_id)
        moving = asyncio.ensure_future(self._move(relay))
        moving.add_done_callback(
            lambda _: self._moving.discard(relay.request_id),
        )

    async def _ask(self, head: str, relays: list[Relay]) -> None:
        endpoint = self._parts.endpoints.get(head)
        if endpoint is None:
            return
        self._asked_at[head] = self._parts.clock()
        found = await self._engines.report(endpoint)
        self._parts.log.write(
            'stalled',
            receiver=head,
            ids=[relay.request_id for relay in relays[:4]],
            count=len(relays),
            report=_summary(found.value_or(None)),
        )
        if isinstance(found, Success):
            await self._ask_stalled(found.unwrap(), relays)
        elif endpoint in await self._silent_beside(relays[0]):
            self._lost(endpoint, 'silent receiver')
            for relay in relays:
                relay.abandon_attempt('silent receiver')

    async def _silent_beside(self, relay: Relay) -> list[LiveEndpoint]:
        """Return the silent endpoints of a chain, if others answer."""
        if relay.attempt is None:
            return []
        chain = [stage.endpoint for stage in relay.attempt.chosen]
        alike = self._parts.endpoints.alive(chain[0].service)
        beside = [one for one in alike if one not in chain]
        asked = chain + beside[:OTHERS_ASKED]
        return await self._groups.unresponsive_among(asked, len(asked))

    async def _ask_stalled(
        self,
        report: EngineReport,
        relays: list[Relay],
    ) -> None:
        """Ask the endpoints that a receiver waits for whether they live."""
        table = self._parts.endpoints
        named = [table.by_address(one.address) for one in report.stalled]
        waited_for = {
            one.name: one
            for one in named
            if one and not table.is_dead(one.name)
        }
        endpoints = list(waited_for.values())
        found = await asyncio.gather(
            *(
                self._engines.report(endpoint, PROBE_TIMEOUT_S)
                for endpoint in endpoints
            )
        )
        for endpoint, answer in zip(endpoints, found, strict=True):
            if isinstance(answer, Success):
                self._lead_around(endpoint, relays)
            else:
                self._lost(endpoint, 'stalled work')

    def _lead_around(self, endpoint: LiveEndpoint, relays: list[Relay]) -> None:
        """Move streams off an endpoint that answers but does no work."""
        crossing = [
            relay
            for relay in relays
            if relay.attempt and relay.attempt.uses(endpoint.name)
        ]
        self._parts.log.write(
            'alive_but_stalled',
            endpoint=endpoint.name,
            ids=[relay.request_id for relay in crossing[:4]],
            count=len(crossing),
        )
        for relay in crossing:
            relay.avoid(endpoint.name)
            self._start_move(relay)

    def _lost(self, endpoint: LiveEndpoint, why: str) -> None:
        now = self._parts.clock()
        if has_recent_progress(self._parts.running, endpoint.name, now):
            self._parts.log.write('doubted', endpoint=endpoint.name, why=why)
            return
        if self._parts.endpoints.mark_dead(
            endpoint.name, endpoint.incarnation, now
        ):
            self._parts.log.write('dead', endpoint=endpoint.name, why=why)
            self._parts.on_suspect(endpoint, why)

    async def _move(self, relay: Relay) -> None:
        now = self._parts.clock()
        attempt = relay.attempt
        if attempt is None or relay.is_over:
            return
        receiver = attempt.chosen[0].endpoint
        if self._parts.endpoints.is_dead(receiver.name):
            relay.abandon_attempt('dead receiver')
            return
        chosen = relay.select_reroute(now)
        if chosen is not None and self._is_early(relay, chosen, now):
            return
        if self._runs_sooner_elsewhere(relay, chosen):
            relay.abandon_attempt('dead in its zone')
            return
        if chosen is not None:
            await self._repath(relay, receiver, chosen)
        elif now - relay.last_progress_at > GIVE_UP_AFTER_S:
            relay.abandon_attempt('no way around')

    def _runs_sooner_elsewhere(
        self,
        relay: Relay,
        chosen: SelectedChain | None,
    ) -> bool:
        """Tell whether to run again in another zone.

        That reads all tokens again, but over links inside a zone; a chain
        that crosses zones sends the activations of all tokens over the one
        link that they share.
        """
        attempt = relay.attempt
        if attempt is None or not relay.can_restart_elsewhere():
            return False
        endpoints = self._parts.endpoints
        names = [stage.endpoint.name for stage in attempt.chosen]
        if not any(map(endpoints.is_dead, names)):
            return False
        return chosen is None or len(_zones(chosen)) > 1

    def _is_early(
        self, relay: Relay, chosen: SelectedChain, now: float
    ) -> bool:
        """Tell whether a way inside the zone may still come up in time."""
        if len(_zones(chosen)) == 1:
            return False
        endpoints = self._parts.endpoints
        used = () if relay.attempt is None else relay.attempt.chosen
        if any(endpoints.is_dead(stage.endpoint.name) for stage in used):
            return False
        waits = [endpoints.draining_for(stage.endpoint, now) for stage in used]
        longest = max((wait for wait in waits if wait is not None), default=0)
        return longest < LEAVING_WAIT_S

    async def _repath(
        self,
        relay: Relay,
        receiver: LiveEndpoint,
        chosen: SelectedChain,
    ) -> None:
        answer = await self._engines.reroute(
            receiver,
            Reroute(relay.request_id, chain_layout(chosen)),
        )
        self._parts.log.write(
            'moved',
            id=relay.request_id,
            receiver=receiver.name,
            to=[stage.endpoint.name for stage in chosen],
            outcome=answer.outcome.value,
            against=answer.address,
            why=answer.reason,
        )
        if answer.outcome in {OrderOutcome.STARTED, OrderOutcome.ALREADY_HELD}:
            if relay.attempt is not None:
                relay.attempt.move_to(chosen)
            return
        self._refused_at[relay] = self._parts.clock()
        if answer.outcome is OrderOutcome.CONFLICT and answer.address:
            against = self._parts.endpoints.by_address(answer.address)
            if against is not None:
                relay.avoid(against.name)


def _zones(chosen: SelectedChain) -> set[str]:
    return {stage.endpoint.zone for stage in chosen}


def _is_chain(relay: Relay) -> bool:
    attempt = relay.attempt
    if attempt is None or attempt.is_over or relay.is_over:
        return False
    return attempt.chosen[0].layers is not None


def _is_stalled(relay: Relay, now: float) -> bool:
    limit_s = STALL_AFTER_S if relay.is_started else FIRST_STALL_AFTER_S
    return now - relay.last_progress_at > limit_s


def _summary(report: EngineReport | None) -> object:
    if report is None:
        return None
    return {
        'waiting': report.waiting,
        'running': report.running,
        'stalled': [one.address for one in report.stalled],
    }
