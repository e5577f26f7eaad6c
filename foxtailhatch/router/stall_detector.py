"""Detect the endpoint that stalls streams, and reroute the streams.

Work that depends on a dead endpoint of a chain stalls for seconds before it is
cancelled.  The head of the chain knows which endpoint it waits for, so it is
queried as soon as a stream pauses for longer than the time between tokens.
Streams that can keep their chain head continue over another chain; the others
are retried from their last event.
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
    HasWitness,
    ProbeDelay,
)
from foxtailhatch.router.reach_prober import is_alive

# One and a half times the longest pause between two events that is still on
# time, so it is longer than any batch takes.
STALL_AFTER_S = 0.3
# Before its first event a request may wait for long prompts of other requests.
FIRST_EVENT_STALL_AFTER_S = 0.6
# Minimum time between queries to a chain head, whose report lags by more.
QUERY_INTERVAL_S = 0.12
# Endpoints outside the chain that are probed as well, to detect a fault of this
# entry.
MAX_CONTROL_PROBES = 2
# A stream that cannot be rerouted within this time is retried: callers disconnect
# after a gap of two seconds.
ABANDON_AFTER_S = 1.1
# A stream over a draining endpoint, which keeps serving it for about two seconds,
# waits this long for a chain inside its zone, as chains that cross zones share one
# link.
DRAINING_WAIT_S = 1.6
# Reroutes that this entry sends to one chain head at a time, each on a connection of
# its own: a head resets those beyond what it takes from all entries together.
MAX_HEAD_REROUTES = 4
# Delay after a reroute was refused for lack of capacity, as each order has a cost.
REROUTE_RETRY_S = 0.3
# Delay after no other endpoint could take the place of a lost one.
REPLACE_RETRY_S = 0.1


class StallDetector:
    """Detect and resolve stalls of the streams in progress at this entry."""

    def __init__(
        self,
        context: RelayContext,
        engines: EngineClient,
        probe_delay_s: ProbeDelay,
        has_witness: HasWitness,
    ) -> None:
        """Watch the running requests of ``context``."""
        self._context = context
        self._engines = engines
        self._queried_at: dict[str, float] = {}
        self._groups = GroupStallDetector(
            engines,
            self._suspect,
            context.log,
            probe_delay_s,
            has_witness,
        )
        # The chain head of each request that is being rerouted.
        self._rerouting: dict[str, str] = {}
        self._retry_at: WeakKeyDictionary[Relay, float] = WeakKeyDictionary()

    @property
    def has_streams(self) -> bool:
        """Return whether a request runs that may stall."""
        return bool(self._context.running)

    async def step(self) -> None:
        """Check all streams once."""
        if not self.has_streams:
            return
        chains = filter(_is_chain, tuple(self._context.running))
        await self._groups.check(chains, self._context.clock())
        now = self._context.clock()
        stalled: dict[str, list[Relay]] = defaultdict(list)
        self._reroute_around_lost()
        for relay in filter(_is_chain, tuple(self._context.running)):
            if not self._crosses_unusable(relay) and _is_stalled(relay, now):
                stalled[relay.attempt.head_name].append(relay)
        queries = [
            self._query_head(head, relays)
            for head, relays in stalled.items()
            if now - self._queried_at.get(head, 0) >= QUERY_INTERVAL_S
        ]
        await asyncio.gather(*queries)
        if queries:
            self._reroute_around_lost()

    def _reroute_around_lost(self) -> None:
        """Reroute all streams over a lost endpoint or a draining stage."""
        for relay in filter(_is_chain, tuple(self._context.running)):
            if self._crosses_unusable(relay):
                self._start_reroute(relay)

    def _crosses_unusable(self, relay: Relay) -> bool:
        """Return whether another chain from the same head would be better.

        A head that drains does not count: it serves its streams on, and no
        other chain from it avoids it.
        """
        endpoints = self._context.endpoints
        attempt = relay.attempt
        if attempt is None or attempt.usable_revision == endpoints.revision:
            return False
        is_unusable = any(
            endpoints.is_lost(stage.endpoint.name)
            or (position and not endpoints.accepts_work(stage.endpoint))
            for position, stage in enumerate(attempt.chosen)
        )
        if not is_unusable:
            attempt.usable_revision = endpoints.revision
        return is_unusable

    def _start_reroute(self, relay: Relay) -> None:
        now = self._context.clock()
        is_early = now < self._retry_at.get(relay, now)
        attempt = relay.attempt
        if attempt is None or relay.request_id in self._rerouting or is_early:
            return
        head = attempt.head_name
        if list(self._rerouting.values()).count(head) >= MAX_HEAD_REROUTES:
            return
        self._rerouting[relay.request_id] = head
        task = asyncio.ensure_future(self._reroute(relay))
        task.add_done_callback(
            lambda _: self._rerouting.pop(relay.request_id, None),
        )

    async def _query_head(self, head: str, relays: list[Relay]) -> None:
        endpoint = self._context.endpoints.get(head)
        if endpoint is None:
            return
        self._queried_at[head] = self._context.clock()
        outcome = await self._engines.report(endpoint)
        self._context.log.write(
            'stalled',
            head=head,
            ids=[relay.request_id for relay in relays[:4]],
            count=len(relays),
            report=_summary(outcome.value_or(None)),
        )
        if isinstance(outcome, Success):
            await self._probe_stalled(outcome.unwrap(), relays)
        elif endpoint in await self._unresponsive_near(relays[0]):
            self._suspect(endpoint, 'unresponsive chain head')

    async def _unresponsive_near(self, relay: Relay) -> list[LiveEndpoint]:
        """Return the unresponsive endpoints of a chain and of its controls."""
        if relay.attempt is None:
            return []
        chain = [stage.endpoint for stage in relay.attempt.chosen]
        same_service = self._context.endpoints.alive(chain[0].service)
        others = [
            endpoint for endpoint in same_service if endpoint not in chain
        ]
        queries = chain + others[:MAX_CONTROL_PROBES]
        return await self._groups.unresponsive_among(
            queries, len(queries), self._context.clock()
        )

    async def _probe_stalled(
        self,
        report: EngineReport,
        relays: list[Relay],
    ) -> None:
        """Probe the endpoints for which a chain head reports a stall."""
        table = self._context.endpoints
        named = [
            table.by_address(endpoint.address) for endpoint in report.stalled
        ]
        by_name = {
            endpoint.name: endpoint
            for endpoint in named
            if endpoint and not table.is_lost(endpoint.name)
        }
        endpoints = list(by_name.values())
        outcomes = await asyncio.gather(
            *(
                self._engines.report(endpoint, PROBE_TIMEOUT_S)
                for endpoint in endpoints
            )
        )
        for endpoint, outcome in zip(endpoints, outcomes, strict=True):
            if is_alive(endpoint, outcome):
                self._route_around(endpoint, relays)
            else:
                self._suspect(endpoint, 'stalled work')

    def _route_around(
        self, endpoint: LiveEndpoint, relays: list[Relay]
    ) -> None:
        """Reroute streams around an endpoint that responds but is stalled."""
        crossing = [
            relay
            for relay in relays
            if relay.attempt and relay.attempt.uses(endpoint.name)
        ]
        self._context.log.write(
            'alive_but_stalled',
            endpoint=endpoint.name,
            ids=[relay.request_id for relay in crossing[:4]],
            count=len(crossing),
        )
        for relay in crossing:
            relay.exclude(endpoint.name)
            self._start_reroute(relay)

    def _suspect(self, endpoint: LiveEndpoint, why: str) -> None:
        """Mark an endpoint silent, until probes show whether it is dead.

        Its streams are moved where others can take them; the rest wait.
        """
        now = self._context.clock()
        if has_recent_progress(self._context.running, endpoint.name, now):
            self._context.log.write(
                'death_report_rejected', endpoint=endpoint.name, why=why
            )
            return
        if self._context.endpoints.mark_silent(
            endpoint.name, endpoint.incarnation
        ):
            self._context.log.write('silent', endpoint=endpoint.name, why=why)
            self._context.on_suspect(endpoint, why)

    async def _reroute(self, relay: Relay) -> None:
        now = self._context.clock()
        attempt = relay.attempt
        if attempt is None or relay.is_over:
            return
        head = attempt.chosen[0].endpoint
        if self._context.endpoints.is_lost(head.name):
            if not relay.abandon_attempt('lost chain head'):
                self._retry_at[relay] = now + REPLACE_RETRY_S
            return
        # A search takes a millisecond and more, and is in vain until an engine
        # has loaded layers or released memory.
        self._retry_at[relay] = now + REPLACE_RETRY_S
        chosen = relay.select_reroute(now)
        if chosen is not None and self._should_wait_for_zone(
            relay, chosen, now
        ):
            return
        if self._should_restart_elsewhere(
            relay, chosen
        ) and relay.abandon_attempt('lost in its zone'):
            return
        if chosen is not None:
            await self._send_reroute(relay, head, chosen)
        elif now - relay.last_progress_at > ABANDON_AFTER_S:
            relay.abandon_attempt('no alternative chain')

    def _should_restart_elsewhere(
        self,
        relay: Relay,
        chosen: SelectedChain | None,
    ) -> bool:
        """Return whether to retry the stream in another zone.

        A retry processes all tokens again, but over links inside a zone; a
        chain that crosses zones sends the activations of all tokens over the
        link that all such chains share.
        """
        attempt = relay.attempt
        if attempt is None or not relay.can_restart_elsewhere():
            return False
        endpoints = self._context.endpoints
        names = [stage.endpoint.name for stage in attempt.chosen]
        if not any(map(endpoints.is_lost, names)):
            return False
        return chosen is None or len(_zones(chosen)) > 1

    def _should_wait_for_zone(
        self, relay: Relay, chosen: SelectedChain, now: float
    ) -> bool:
        """Return whether to wait, as a chain in one zone may still appear."""
        if len(_zones(chosen)) == 1:
            return False
        endpoints = self._context.endpoints
        used = () if relay.attempt is None else relay.attempt.chosen
        if any(endpoints.is_lost(stage.endpoint.name) for stage in used):
            return False
        waits = [endpoints.draining_for(stage.endpoint, now) for stage in used]
        longest = max((wait for wait in waits if wait is not None), default=0)
        return longest < DRAINING_WAIT_S

    async def _send_reroute(
        self,
        relay: Relay,
        head: LiveEndpoint,
        chosen: SelectedChain,
    ) -> None:
        attempt = relay.attempt
        reply = await self._engines.reroute(
            head,
            Reroute(relay.request_id, chain_layout(chosen)),
        )
        self._context.log.write(
            'moved',
            id=relay.request_id,
            head=head.name,
            to=[stage.endpoint.name for stage in chosen],
            outcome=reply.outcome.value,
            against=reply.address,
            why=reply.reason,
        )
        if reply.outcome in {OrderOutcome.STARTED, OrderOutcome.ALREADY_HELD}:
            # Another attempt may have taken its place meanwhile; a cancelled
            # one ignores this.
            if attempt is not None:
                attempt.switch_chain(chosen)
            return
        self._retry_at[relay] = self._context.clock() + REROUTE_RETRY_S
        if reply.outcome is OrderOutcome.CONFLICT and reply.address:
            conflicting = self._context.endpoints.by_address(reply.address)
            if conflicting is not None:
                relay.exclude(conflicting.name)


def _zones(chosen: SelectedChain) -> set[str]:
    return {stage.endpoint.zone for stage in chosen}


def _is_chain(relay: Relay) -> bool:
    attempt = relay.attempt
    if attempt is None or attempt.is_over or relay.is_over:
        return False
    return attempt.chosen[0].layers is not None


def _is_stalled(relay: Relay, now: float) -> bool:
    limit_s = STALL_AFTER_S if relay.is_started else FIRST_EVENT_STALL_AFTER_S
    return now - relay.last_progress_at > limit_s


def _summary(report: EngineReport | None) -> object:
    if report is None:
        return None
    return {
        'waiting': report.waiting,
        'running': report.running,
        'stalled': [endpoint.address for endpoint in report.stalled],
    }
