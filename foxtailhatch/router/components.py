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
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.feed import FeedClient
from foxtailhatch.router.graceful_shutdown import GracefulShutdown
from foxtailhatch.router.heartbeats import Heartbeats
from foxtailhatch.router.leader_lease import LeaderLease
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.observation_publisher import ObservationPublisher
from foxtailhatch.router.placement_controller import PlacementController
from foxtailhatch.router.request_handler import RequestHandler
from foxtailhatch.router.router_state import RouterState
from foxtailhatch.router.stall_detector import StallDetector
from foxtailhatch.router.state_sync import StateSync
from foxtailhatch.router.status_pages import StatusPages

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
    state_sync: StateSync
    heartbeats: Heartbeats
    lease: LeaderLease
    placement_controller: PlacementController
    stall_detector: StallDetector
    shutdown: GracefulShutdown

    async def heartbeat(self) -> None:
        """Run a heartbeat step.

        An entry that reads the store first updates the load of its peers.
        """
        if self.state_sync.reads_store:
            self._update_peer_work()
        await self.heartbeats.step(reads_store=self.state_sync.reads_store)

    async def maintain_lease(self) -> None:
        """Maintain the leader lease if this entry reads the store.

        An entry that reads it only briefly is no candidate: the lease would
        move to it and lapse.
        """
        since = self.state_sync.reading_store_since
        now = self.state.clock()
        is_settled = since is not None and now - since >= READER_SETTLING_S
        await self.lease.maintain(is_candidate=is_settled)

    def _update_peer_work(self) -> None:
        """Update the load of other entries from their feed requests."""
        now = self.state.clock()
        name = self.state.cfg.instance
        others = self.heartbeats.work_of_others(name, now)
        self.state.peer_work.update(others, now)


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
    observation_publisher = ObservationPublisher(state, adapter, log)
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
        on_suspect=observation_publisher.confirm_suspect,
    )
    own_entry = partial(_own_entry, state)
    lease = LeaderLease(state, adapter.store, log)
    return RouterComponents(
        state=state,
        adapter=adapter,
        log=log,
        request_handler=RequestHandler(
            state, relay, adapter.decode_request, random
        ),
        pages=StatusPages(state, relay, metrics),
        state_sync=StateSync(
            state,
            adapter,
            log,
            own_entry,
            partial(FeedClient, reactor),
            partial(has_recent_progress, relay.running),
        ),
        heartbeats=Heartbeats(state, adapter, log, own_entry),
        lease=lease,
        placement_controller=PlacementController(
            state,
            lease,
            adapter.engines,
            log,
            observation_publisher.publish,
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
        cpu_cores=cfg.cpu_cores,
        is_ready=state.is_ready(),
    )
