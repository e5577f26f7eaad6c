"""One entry with all its parts joined."""

from dataclasses import dataclass
from functools import partial

from foxtailhatch.core import EventKind
from foxtailhatch.daemon.answers import TICK_S, Answers
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.daemon.gateway import DaemonGateway
from foxtailhatch.daemon.guard import Guard, GuardedClock
from foxtailhatch.daemon.loops import Loops
from foxtailhatch.daemon.outside import Outside
from foxtailhatch.daemon.platform_watch import PlatformWatch
from foxtailhatch.daemon.service_calls import ServiceCalls
from foxtailhatch.daemon.session_watch import SessionWatch
from foxtailhatch.daemon.sessions import Sessions
from foxtailhatch.daemon.settings import Periods, Settings
from foxtailhatch.daemon.stopping import Stopping
from foxtailhatch.routing import ShortestPathChooser

FOLLOW_STEP_S = 0.02
STOP_STEP_S = 0.05


@dataclass(slots=True)
class EntryParts:
    """The parts of an entry; see :func:`join_parts`."""

    board: Blackboard
    guard: Guard
    session_watch: SessionWatch
    watch: PlatformWatch
    answers: Answers
    calls: ServiceCalls
    gateway: DaemonGateway

    def running(self) -> int:
        """Return the number of requests in progress."""
        return len(self.answers) + self.calls.running()


def join_parts(
    cfg: Settings,
    board: Blackboard,
    outside: Outside,
    guard: Guard,
    clock: GuardedClock,
) -> EntryParts:
    """Return the parts of an entry, joined and with nothing started."""
    session_watch = SessionWatch(board)
    sessions = Sessions(
        outside.engine,
        board.endpoints.endpoint,
        session_watch,
        guard,
    )
    answers = Answers(board, sessions, ShortestPathChooser(), clock)
    calls = ServiceCalls(
        board,
        outside.service,
        cfg.timeouts.service_call_s,
        clock.seconds,
    )
    return EntryParts(
        board,
        guard,
        session_watch,
        PlatformWatch(board, outside.engine, outside.instances, clock.seconds),
        answers,
        calls,
        DaemonGateway(
            board,
            answers,
            calls,
            _no_blocks,
            partial(clock.callLater, 0),
        ),
    )


def start_loops(
    loops: Loops,
    parts: EntryParts,
    configuration: ConfigurationLoop,
    stopping: Stopping,
    periods: Periods,
) -> None:
    """Start every loop of an entry."""
    parts.board.record(EventKind.STARTED, parts.board.name)
    loops.every(FOLLOW_STEP_S, configuration.step)
    loops.every(periods.instance_list_poll_s, parts.watch.read_list)
    loops.every(TICK_S, parts.watch.read_loads)
    loops.every(TICK_S, parts.answers.tick)
    loops.every(STOP_STEP_S, stopping.step)


def _no_blocks(prompt: tuple[int, ...]) -> tuple[str, ...]:
    return ()
