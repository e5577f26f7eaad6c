"""Construct and connect the components of a router."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from foxtailhatch.relay.context import RelayContext
from foxtailhatch.relay.retry_budget import RetryBudget
from foxtailhatch.relay.stream_progress import has_recent_progress
from foxtailhatch.relay.structured_log import RateLimitedLog, StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.decider import Decider
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.feed import FeedClient
from foxtailhatch.router.finding_desk import FindingDesk
from foxtailhatch.router.following import Following
from foxtailhatch.router.graceful_shutdown import GracefulShutdown
from foxtailhatch.router.heartbeats import Heartbeats
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.request_handler import RequestHandler
from foxtailhatch.router.router_state import RouterState
from foxtailhatch.router.stall_detector import StallDetector
from foxtailhatch.router.status_pages import StatusPages
from foxtailhatch.router.turn import Turn

# An entry that has read the store for this long is expected to go on.  One that
# replaces another reader during an outage hands back within two seconds, and
# each change of members may move the leader lease.
READER_SETTLING_S = 2.0


@dataclass(frozen=True, slots=True)
class RouterComponents:
    """The connected components of one router."""

    state: RouterState
    adapter: PlatformAdapter
    log: StructuredLog
    request_handler: RequestHandler
    pages: StatusPages
    following: Following
    heartbeats: Heartbeats
    turn: Turn
    decider: Decider
    stall_detector: StallDetector
    shutdown: GracefulShutdown

    async def heartbeat(self) -> None:
        """Run a heartbeat step.

        An entry that reads the store first updates the load of its peers.
        """
        if self.following.is_reader:
            self._update_peer_work()
        await self.heartbeats.step(is_reader=self.following.is_reader)

    async def keep_turn(self) -> None:
        """Maintain the leader lease if this entry reads the store.

        An entry that reads it only briefly is no candidate: the lease would
        move to it and lapse.
        """
        since = self.following.reader_since
        now = self.state.clock()
        is_settled = since is not None and now - since >= READER_SETTLING_S
        await self.turn.take_part(wants=is_settled)

    def _update_peer_work(self) -> None:
        """Update the load of other entries from their feed requests."""
        now = self.state.clock()
        name = self.state.cfg.instance
        others = self.heartbeats.work_of_others(name, now)
        self.state.peer_work.hear(others, now)


def build_components(
    state: RouterState,
    adapter: PlatformAdapter,
    reactor: Any,
    write_line: Callable[[str], None],
    random: Random,
) -> RouterComponents:
    """Return the connected components of a router; no loop runs yet."""
    log = RateLimitedLog(write_line, state.clock, state.cfg.instance)
    metrics = RouterMetrics(state.cfg.instance)
    desk = FindingDesk(state, adapter, log)
    bounds = state.cfg.bounds
    relay = RelayContext(
        reactor=reactor,
        clock=state.clock,
        codec=adapter.codec,
        endpoints=state.endpoints,
        loads=state.loads,
        budget=RetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            state.clock(),
        ),
        selector=LoadAwareSelector(state, random),
        log=log,
        metrics=metrics,
        entries=lambda: len(state.entries.ready(state.clock())),
        on_suspect=desk.suspect,
    )
    own_entry = partial(_own_entry, state)
    turn = Turn(state, adapter.store, log)
    return RouterComponents(
        state=state,
        adapter=adapter,
        log=log,
        request_handler=RequestHandler(
            state, relay, adapter.decode_request, random
        ),
        pages=StatusPages(state, relay, metrics),
        following=Following(
            state,
            adapter,
            log,
            own_entry,
            partial(FeedClient, reactor),
            partial(has_recent_progress, relay.running),
        ),
        heartbeats=Heartbeats(state, adapter, log, own_entry),
        turn=turn,
        decider=Decider(
            state,
            turn,
            adapter.engines,
            log,
            desk.publish,
        ),
        stall_detector=StallDetector(relay, adapter.engines),
        shutdown=GracefulShutdown(state, relay, log),
    )


def _own_entry(state: RouterState) -> EntryRecord:
    cfg = state.cfg
    return EntryRecord(
        name=cfg.instance,
        zone=cfg.zone,
        region=cfg.region,
        address=cfg.callers_address,
        peer_address=cfg.peer_address,
        strength=cfg.cpu_cores,
        is_ready=state.is_ready(),
    )
