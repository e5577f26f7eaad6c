"""One entry with all its parts joined."""

import time
from dataclasses import dataclass
from functools import partial
from random import SystemRandom
from typing import Any

from twisted.web.server import Site

from foxtailhatch.callers.front import FrontLimits
from foxtailhatch.callers.site import build_site
from foxtailhatch.config import CONFIGURATION_STREAM
from foxtailhatch.config.snapshots import SnapshotWriter
from foxtailhatch.core import EventKind
from foxtailhatch.daemon.answers import TICK_S, Answers
from foxtailhatch.daemon.blackboard import Blackboard, new_blackboard
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.daemon.gateway import DaemonGateway
from foxtailhatch.daemon.guard import Guard, GuardedClock
from foxtailhatch.daemon.loops import Loops
from foxtailhatch.daemon.metrics import Metrics
from foxtailhatch.daemon.observability import EntryObservability
from foxtailhatch.daemon.platform_watch import PlatformWatch
from foxtailhatch.daemon.service_calls import ServiceCalls
from foxtailhatch.daemon.session_watch import SessionWatch
from foxtailhatch.daemon.sessions import Sessions
from foxtailhatch.daemon.settings import Settings
from foxtailhatch.daemon.stopping import Stopping
from foxtailhatch.durable.follower import LogFollower
from foxtailhatch.membership import Entry, EntryTable, PlannedStop
from foxtailhatch.platform.engine_http import HttpEngine
from foxtailhatch.platform.http_client import HttpClient
from foxtailhatch.platform.instances_http import HttpInstanceList
from foxtailhatch.platform.log_http import HttpLogService
from foxtailhatch.platform.service_http import HttpPlainService
from foxtailhatch.platform.session_http import SessionTiming
from foxtailhatch.routing import ShortestPathChooser

RANDOM_BITS = 64
FOLLOW_STEP_S = 0.02
STOP_STEP_S = 0.05
SESSION_HEARTBEAT_SHARE = 4


@dataclass(slots=True)
class RunningEntry:
    """The parts of an entry that others hold on to."""

    board: Blackboard
    answers: Answers
    calls: ServiceCalls
    configuration: ConfigurationLoop
    observability: EntryObservability
    watch: PlatformWatch
    sessions: Sessions
    stopping: Stopping
    loops: Loops
    site: Site

    def running(self) -> int:
        """Return the number of requests in progress."""
        return len(self.answers) + self.calls.running()

    def start(self, cfg: Settings) -> None:
        """Start every loop of the entry."""
        periods = cfg.periods
        self.board.record(EventKind.STARTED, self.board.name)
        self.loops.every(FOLLOW_STEP_S, self.configuration.step)
        self.loops.every(periods.instance_list_poll_s, self.watch.read_list)
        self.loops.every(TICK_S, self.watch.read_loads)
        self.loops.every(TICK_S, self._tick)
        self.loops.every(STOP_STEP_S, self.stopping.step)

    async def _tick(self) -> None:
        self.answers.tick()


def build_entry(
    cfg: Settings,
    own: Entry,
    reactor: Any,
    stop_broken: Any,
) -> RunningEntry:
    """Return an entry with its parts joined and nothing started."""
    now = reactor.seconds
    client = HttpClient(reactor)
    board = _blackboard(cfg, own)
    engine = HttpEngine(client, _timing(cfg), cfg.timeouts.engine_call_s)
    watch = PlatformWatch(
        board,
        engine,
        HttpInstanceList(client, cfg.platform.instance_list.address()),
        now,
    )
    session_watch = SessionWatch(board)
    guard = Guard(board, stop_broken)
    clock = GuardedClock(reactor, guard)
    sessions = Sessions(
        engine,
        board.endpoints.endpoint,
        session_watch,
        guard,
    )
    answers = Answers(board, sessions, ShortestPathChooser(), clock)
    calls = ServiceCalls(
        board,
        HttpPlainService(client),
        cfg.timeouts.service_call_s,
        now,
    )
    observability = EntryObservability(
        board,
        Metrics(cfg.instance),
        answers,
        session_watch,
        guard,
    )
    gateway = DaemonGateway(
        board,
        answers,
        calls,
        _no_blocks,
        partial(clock.callLater, 0),
    )
    return RunningEntry(
        board=board,
        answers=answers,
        calls=calls,
        configuration=_configuration(cfg, board, client, watch, now),
        observability=observability,
        watch=watch,
        sessions=sessions,
        stopping=Stopping(
            board,
            lambda: len(answers) + calls.running(),
            now,
            reactor.stop,
        ),
        loops=Loops(guard.invariant_broken),
        site=build_site(gateway, observability, _limits(cfg), reactor),
    )


def _blackboard(cfg: Settings, own: Entry) -> Blackboard:
    keep_s = cfg.periods.entry_advice_keep_s
    return new_blackboard(
        cfg.instance,
        cfg.availability_zone,
        SystemRandom().getrandbits(RANDOM_BITS),
        EntryTable(own, keep_s),
        PlannedStop(keep_s),
        time.time,
    )


def _configuration(
    cfg: Settings,
    board: Blackboard,
    client: HttpClient,
    watch: PlatformWatch,
    now: Any,
) -> ConfigurationLoop:
    log = HttpLogService(
        client,
        cfg.platform.log.address(),
        cfg.timeouts.log_call_s,
    )
    follower = LogFollower(
        CONFIGURATION_STREAM,
        board.random,
        cfg.periods.log_poll_s,
    )
    snapshots = SnapshotWriter(cfg.periods.log_retention_s, board.random)
    return ConfigurationLoop(board, log, watch, follower, snapshots, now)


def _timing(cfg: Settings) -> SessionTiming:
    silent_s = cfg.timeouts.engine_silence_s
    return SessionTiming(silent_s / SESSION_HEARTBEAT_SHARE, silent_s)


def _limits(cfg: Settings) -> FrontLimits:
    return FrontLimits(
        cfg.limits.body_bytes,
        cfg.timeouts.request_body_s,
        cfg.timeouts.slow_caller_s,
    )


def _no_blocks(prompt: tuple[int, ...]) -> tuple[str, ...]:
    return ()
