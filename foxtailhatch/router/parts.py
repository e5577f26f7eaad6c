"""Join the parts of a router."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from foxtailhatch.relay.decision_log import BoundedLog, DecisionLog
from foxtailhatch.relay.parts import RelayParts
from foxtailhatch.relay.retry_budget import WindowBudget
from foxtailhatch.relay.witness import has_progress
from foxtailhatch.router.adapter import Adapter
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.choosing import EndpointChooser
from foxtailhatch.router.door import Door
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.feed import FeedClient
from foxtailhatch.router.heartbeats import Heartbeats
from foxtailhatch.router.leader_lease import LeaderLease
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.observation_publisher import ObservationPublisher
from foxtailhatch.router.pages import Pages
from foxtailhatch.router.placement_controller import PlacementController
from foxtailhatch.router.planned_stop import PlannedStop
from foxtailhatch.router.stall_watch import StallWatch
from foxtailhatch.router.state_sync import StateSync

# Who has read the store for this long goes on to do so.  Source: an entry that
# takes over from a reader for an outage hands back within two seconds; each
# change of members may move the turn.
READER_SETTLED_S = 2.0


@dataclass(frozen=True, slots=True)
class RouterParts:
    """The controllers of one router."""

    board: Blackboard
    adapter: Adapter
    log: DecisionLog
    door: Door
    pages: Pages
    state_sync: StateSync
    heartbeats: Heartbeats
    lease: LeaderLease
    placement_controller: PlacementController
    stalls: StallWatch
    stop: PlannedStop

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
        self.board.others.update(others, now)


def join_parts(
    board: Blackboard,
    adapter: Adapter,
    reactor: Any,
    emit: Callable[[str], None],
    random: Random,
) -> RouterParts:
    """Return the parts of a router, joined; nothing runs yet."""
    log = BoundedLog(emit, board.clock, board.cfg.instance)
    metrics = RouterMetrics(board.cfg.instance)
    observation_publisher = ObservationPublisher(board, adapter, log)
    bounds = board.cfg.bounds
    relay = RelayParts(
        reactor=reactor,
        clock=board.clock,
        wire=adapter.wire,
        endpoints=board.endpoints,
        loads=board.loads,
        budget=WindowBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            board.clock(),
        ),
        chooser=EndpointChooser(board, random),
        log=log,
        metrics=metrics,
        entries=lambda: len(board.entries.ready(board.clock())),
        on_suspect=observation_publisher.confirm_suspect,
    )
    own = partial(_own_entry, board)
    lease = LeaderLease(board, adapter.store, log)
    return RouterParts(
        board=board,
        adapter=adapter,
        log=log,
        door=Door(board, relay, adapter.decode_request, random),
        pages=Pages(board, relay, metrics),
        state_sync=StateSync(
            board,
            adapter,
            log,
            own,
            partial(FeedClient, reactor),
            partial(has_progress, relay.running),
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
        stalls=StallWatch(relay, adapter.engines),
        stop=PlannedStop(board, relay, log),
    )


def _own_entry(board: Blackboard) -> EntryRecord:
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
