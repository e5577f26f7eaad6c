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
    following: Following
    heartbeats: Heartbeats
    turn: Turn
    decider: Decider
    stalls: StallDetector
    stop: GracefulShutdown

    async def heartbeat(self) -> None:
        """Tell the other entries of this one, if it reads the store."""
        if self.following.is_reader:
            self._note_others()
        await self.heartbeats.step(is_reader=self.following.is_reader)

    async def keep_turn(self) -> None:
        """Take part in deciding, if this entry reads the store.

        Who reads it only for a moment stays out: the turn would come to it
        and lapse.
        """
        since = self.following.reader_since
        now = self.board.clock()
        is_settled = since is not None and now - since >= READER_SETTLED_S
        await self.turn.take_part(wants=is_settled)

    def _note_others(self) -> None:
        """Take the work that the fed entries told this reader."""
        now = self.board.clock()
        name = self.board.cfg.instance
        others = self.heartbeats.work_of_others(name, now)
        self.board.peer_work.hear(others, now)


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
    desk = FindingDesk(board, adapter, log)
    bounds = board.cfg.bounds
    relay = RelayContext(
        reactor=reactor,
        clock=board.clock,
        codec=adapter.codec,
        endpoints=board.endpoints,
        loads=board.loads,
        budget=RetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
            board.clock(),
        ),
        selector=LoadAwareSelector(board, random),
        log=log,
        metrics=metrics,
        entries=lambda: len(board.entries.ready(board.clock())),
        on_suspect=desk.suspect,
    )
    own = partial(_own_entry, board)
    turn = Turn(board, adapter.store, log)
    return RouterComponents(
        board=board,
        adapter=adapter,
        log=log,
        door=RequestHandler(board, relay, adapter.decode_request, random),
        pages=StatusPages(board, relay, metrics),
        following=Following(
            board,
            adapter,
            log,
            own,
            partial(FeedClient, reactor),
            partial(has_recent_progress, relay.running),
        ),
        heartbeats=Heartbeats(board, adapter, log, own),
        turn=turn,
        decider=Decider(
            board,
            turn,
            adapter.engines,
            log,
            desk.publish,
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
        strength=cfg.cpu_cores,
        is_ready=board.is_ready(),
    )
