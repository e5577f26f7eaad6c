"""Join the parts of a router."""

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

# Who has read the store for this long goes on to do so.  Source: an entry that
# takes over from a reader for an outage hands back within two seconds; each
# change of members may move the turn.
READER_SETTLED_S = 2.0


@dataclass(frozen=True, slots=True)
class RouterComponents:
    """The controllers of one router."""

    board: RouterState
    adapter: PlatformAdapter
    log: StructuredLog
    door: RequestHandler
    pages: StatusPages
    state_sync: StateSync
    heartbeats: Heartbeats
    lease: LeaderLease
    placement_controller: PlacementController
    stalls: StallDetector
    stop: GracefulShutdown

    async def heartbeat(self) -> None:
        """Tell the other entries of this one, if it reads the store."""
        if self.state_sync.reads_store:
            self._note_others()
        await self.heartbeats.step(reads_store=self.state_sync.reads_store)

    async def maintain_lease(self) -> None:
        """Take part in deciding, if this entry reads the store.

        Who reads it only for a moment stays out: the turn would come to it
        and lapse.
        """
        since = self.state_sync.reading_store_since
        now = self.board.clock()
        is_settled = since is not None and now - since >= READER_SETTLED_S
        await self.lease.maintain(is_candidate=is_settled)

    def _note_others(self) -> None:
        """Take the work that the fed entries told this reader."""
        now = self.board.clock()
        name = self.board.cfg.instance
        others = self.heartbeats.work_of_others(name, now)
        self.board.peer_work.update(others, now)


def build_components(
    board: RouterState,
    adapter: PlatformAdapter,
    reactor: Any,
    emit: Callable[[str], None],
    random: Random,
) -> RouterComponents:
    """Return the parts of a router, joined; nothing runs yet."""
    log = RateLimitedLog(emit, board.clock, board.cfg.instance)
    metrics = RouterMetrics(board.cfg.instance)
    observation_publisher = ObservationPublisher(board, adapter, log)
    bounds = board.cfg.bounds
    relay = RelayContext(
        reactor=reactor,
        clock=board.clock,
        wire=adapter.wire,
        endpoints=board.endpoints,
        loads=board.loads,
        budget=RetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            board.clock(),
        ),
        chooser=LoadAwareSelector(board, random),
        log=log,
        metrics=metrics,
        entries=lambda: len(board.entries.ready(board.clock())),
        on_suspect=observation_publisher.confirm_suspect,
    )
    own = partial(_own_entry, board)
    lease = LeaderLease(board, adapter.store, log)
    return RouterComponents(
        board=board,
        adapter=adapter,
        log=log,
        door=RequestHandler(board, relay, adapter.decode_request, random),
        pages=StatusPages(board, relay, metrics),
        state_sync=StateSync(
            board,
            adapter,
            log,
            own,
            partial(FeedClient, reactor),
            partial(has_recent_progress, relay.running),
        ),
        heartbeats=Heartbeats(board, adapter, log, own),
        lease=lease,
        placement_controller=PlacementController(
            board,
            lease,
            adapter.engines,
            log,
            observation_publisher.publish,
        ),
        stalls=StallDetector(relay, adapter.engines),
        stop=GracefulShutdown(board, relay, log),
    )


def _own_entry(board: RouterState) -> EntryRecord:
    cfg = board.cfg
    return EntryRecord(
        name=cfg.instance,
        zone=cfg.zone,
        region=cfg.region,
        address=cfg.callers_address,
        peer_address=cfg.peer_address,
        cpu_cores=cfg.cpu_cores,
        is_ready=board.is_ready(),
    )
