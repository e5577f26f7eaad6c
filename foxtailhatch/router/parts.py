"""Join the parts of a router."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from returns.result import Success

from foxtailhatch.relay.decision_log import BoundedLog, DecisionLog
from foxtailhatch.relay.parts import RelayParts
from foxtailhatch.relay.retry_budget import WindowBudget
from foxtailhatch.router.adapter import Adapter
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.choosing import EndpointChooser
from foxtailhatch.router.decider import Decider
from foxtailhatch.router.door import Door
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.finding_desk import FindingDesk
from foxtailhatch.router.following import Following
from foxtailhatch.router.keyed_log import Topic
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.pages import Pages
from foxtailhatch.router.planned_stop import PlannedStop
from foxtailhatch.router.stall_watch import StallWatch


@dataclass(frozen=True, slots=True)
class RouterParts:
    """The controllers of one router."""

    board: Blackboard
    adapter: Adapter
    log: DecisionLog
    door: Door
    pages: Pages
    following: Following
    decider: Decider
    stalls: StallWatch
    stop: PlannedStop

    async def heartbeat(self) -> None:
        """Tell the other entries of this one."""
        cfg = self.board.cfg
        record = EntryRecord(
            cfg.instance,
            cfg.zone,
            cfg.region,
            cfg.callers_address,
            self.board.is_ready(),
        )
        written = await self.adapter.store.put(
            Topic.ENTRIES,
            cfg.instance,
            record.encode(),
        )
        if not isinstance(written, Success):
            self.log.write('heartbeat_failed', fault=written.failure().value)


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
    desk = FindingDesk(board, adapter, log)
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
        ),
        chooser=EndpointChooser(board, random),
        log=log,
        metrics=metrics,
        entries=lambda: len(board.entries.ready(board.clock())),
        on_suspect=desk.suspect,
    )
    return RouterParts(
        board=board,
        adapter=adapter,
        log=log,
        door=Door(board, relay, adapter.decode_request, random),
        pages=Pages(board, relay, metrics),
        following=Following(board, adapter, log),
        decider=Decider(
            board,
            adapter.store,
            adapter.engines,
            log,
            desk.publish,
        ),
        stalls=StallWatch(relay, adapter.engines),
        stop=PlannedStop(board, relay, log),
    )
