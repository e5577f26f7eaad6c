"""Construct and connect the components of a router."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from foxtailhatch.relay.stream_progress import (
    has_open_connection,
    has_recent_progress,
)
from foxtailhatch.relay.structured_log import RateLimitedLog, StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.crash_watch import CrashWatch
from foxtailhatch.router.feed import FeedClient
from foxtailhatch.router.graceful_shutdown import GracefulShutdown
from foxtailhatch.router.heartbeats import Heartbeats
from foxtailhatch.router.lapse_review import (
    LapseReview,
    build_lapse_review,
)
from foxtailhatch.router.leader_lease import LeaderLease, build_lease
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.observation_cleanup import ObservationCleanup
from foxtailhatch.router.observation_publisher import ObservationPublisher
from foxtailhatch.router.placement_controller import PlacementController
from foxtailhatch.router.reach_prober import ReachProber, ReachRecorder
from foxtailhatch.router.relay_context import (
    RelayObservers,
    build_relay_context,
)
from foxtailhatch.router.request_handler import RequestHandler
from foxtailhatch.router.state_sync import StateSync
from foxtailhatch.router.status_pages import StatusPages
from foxtailhatch.router.stream_watches import (
    StreamWatches,
    build_stream_watches,
)

# An entry that has read the store for this long is expected to go on.  One that
# replaces another reader during an outage hands back within two seconds, and
# each change of members may move the leader lease.
READER_SETTLING_S = 2.0


@dataclass(frozen=True, slots=True)
class RouterComponents:
    """The connected components of one router."""

    board: Blackboard
    adapter: PlatformAdapter
    log: StructuredLog
    request_handler: RequestHandler
    crash_watch: CrashWatch
    pages: StatusPages
    state_sync: StateSync
    heartbeats: Heartbeats
    lease: LeaderLease
    placement_controller: PlacementController
    stream_watches: StreamWatches
    prober: ReachProber
    observation_publisher: ObservationPublisher
    observation_cleanup: ObservationCleanup
    shutdown: GracefulShutdown
    lapse_review: LapseReview

    async def heartbeat(self) -> None:
        """Run a heartbeat step.

        An entry that reads the store first updates the load of its peers.
        """
        if self.state_sync.reads_store:
            self._update_peer_work()
        await self.heartbeats.step(reads_store=self.state_sync.reads_store)

    async def watch_reach(self) -> None:
        """Ask endpoints that may be out of reach, and dead ones again."""
        await self.prober.step()
        await self.observation_publisher.withdraw_wrong_reports()

    async def maintain_lease(self) -> None:
        """Maintain the leader lease if this entry reads the store.

        An entry that reads it only briefly is no candidate: the lease would
        move to it and lapse.
        """
        since = self.state_sync.reading_store_since
        now = self.board.clock()
        is_settled = since is not None and now - since >= READER_SETTLING_S
        await self.lease.maintain(is_candidate=is_settled)

    def _update_peer_work(self) -> None:
        """Update the load of other entries from their feed requests."""
        now = self.board.clock()
        name = self.board.cfg.instance
        others = self.heartbeats.work_of_others(name, now)
        self.board.update_peer_work(others, now)


def build_components(
    board: Blackboard,
    adapter: PlatformAdapter,
    reactor: Any,
    write_line: Callable[[str], None],
    random: Random,
) -> RouterComponents:
    """Return the connected components of a router; no loop runs yet."""
    log = RateLimitedLog(write_line, board.clock, board.cfg.instance)
    metrics = RouterMetrics(board.cfg.instance)
    adapter = replace(adapter, engines=ReachRecorder(adapter.engines, board))
    prober = ReachProber(board, adapter.engines, log, random)
    observation_publisher = ObservationPublisher(
        board,
        adapter,
        log,
        prober,
        lambda name: has_open_connection(relay.running, name),
        lambda endpoint, now: crash_watch.record_unanswered(endpoint, now),
    )
    crash_watch = CrashWatch(
        board, adapter.store, log, random, lambda: relay.running
    )
    relay = build_relay_context(
        board,
        adapter.codec,
        reactor,
        random,
        RelayObservers(
            log, metrics, crash_watch, observation_publisher.confirm_suspect
        ),
    )
    adapter.engines.notify(relay.record_notice)
    lease = build_lease(board, adapter.store, log, reactor)
    state_sync = StateSync(
        board,
        adapter,
        log,
        board.own_entry,
        lambda address: FeedClient(reactor, address),
        lambda name, now: has_recent_progress(relay.running, name, now),
        crash_watch,
    )
    return RouterComponents(
        board=board,
        adapter=adapter,
        log=log,
        request_handler=RequestHandler(
            board, relay, adapter.decode_request, random, crash_watch
        ),
        crash_watch=crash_watch,
        pages=StatusPages(board, relay, metrics),
        state_sync=state_sync,
        heartbeats=Heartbeats(board, adapter, log, board.own_entry),
        lease=lease,
        placement_controller=PlacementController(
            board,
            lease,
            adapter.engines,
            log,
            observation_publisher.publish,
            prober.has_witness,
        ),
        stream_watches=build_stream_watches(
            board, relay, adapter.engines, prober
        ),
        prober=prober,
        observation_publisher=observation_publisher,
        observation_cleanup=ObservationCleanup(
            board,
            adapter.store,
            state_sync.mirror,
            lease,
            log,
        ),
        shutdown=GracefulShutdown(
            board,
            relay,
            log,
            lambda: (
                crash_watch.has_unwritten_records
                or observation_publisher.has_unwritten_records
            ),
        ),
        lapse_review=build_lapse_review(board, log, reactor),
    )
