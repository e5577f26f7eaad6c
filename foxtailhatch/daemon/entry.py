"""One entry with all its parts joined."""

from dataclasses import dataclass
from functools import partial

from foxtailhatch.config import CONFIGURATION_STREAM
from foxtailhatch.core import EventKind
from foxtailhatch.daemon.answers import Answers
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.claim_loop import ClaimLoop
from foxtailhatch.daemon.claimed_answers import ClaimedAnswers
from foxtailhatch.daemon.claimed_calls import ClaimedCalls
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.daemon.endpoint_monitor import EndpointMonitor
from foxtailhatch.daemon.external_systems import ExternalSystems
from foxtailhatch.daemon.gateway import DaemonGateway
from foxtailhatch.daemon.guard import Guard, GuardedClock
from foxtailhatch.daemon.loops import Loops
from foxtailhatch.daemon.placement_loop import PlacementLoop
from foxtailhatch.daemon.platform_poller import PlatformPoller
from foxtailhatch.daemon.service_calls import ServiceCalls
from foxtailhatch.daemon.session_pool import SessionPool
from foxtailhatch.daemon.settings import Periods, Settings
from foxtailhatch.daemon.shutdown import ShutdownController
from foxtailhatch.durable import (
    ClaimManager,
    ClaimSettings,
    LogAvailability,
    LogFollower,
)
from foxtailhatch.durable.lease_holder import LeaseHolder
from foxtailhatch.routing import ShortestPathChooser, prompt_blocks

FOLLOW_STEP_S = 0.1
CLAIM_STEP_S = 0.1
LOAD_STEP_S = 0.1
PROBE_STEP_S = 0.25
STOP_STEP_S = 0.1
ORDER_STEP_S = 0.25
RUN_ID_BITS = 64
PLACEMENT_LEASE = 'placement'


@dataclass(slots=True)
class EntryComponents:
    """The parts of an entry; see :func:`join_parts`.

    ``follower`` paces the reads of the configuration, and by them tells
    whether the log is there.
    """

    board: Blackboard
    guard: Guard
    follower: LogFollower
    endpoint_monitor: EndpointMonitor
    poller: PlatformPoller
    answers: Answers
    claims: ClaimLoop
    placement: PlacementLoop
    gateway: DaemonGateway

    def running(self) -> int:
        """Return the number of requests in progress.

        Outcomes that are not in the log yet count as long as it is up, for
        a second try needs them.
        """
        unsent = 0
        if self.follower.availability is LogAvailability.UP:
            unsent = self.claims.manager.pending_record_count
        return len(self.answers) + self.gateway.running_calls() + unsent


def build_components(
    cfg: Settings,
    board: Blackboard,
    outside: ExternalSystems,
    guard: Guard,
    clock: GuardedClock,
) -> EntryComponents:
    """Return the parts of an entry, joined and with nothing started."""
    rng = board.random
    follower = LogFollower(CONFIGURATION_STREAM, rng, cfg.periods.log_poll_s)
    endpoint_monitor = EndpointMonitor(board, clock.seconds)
    answers = _build_answers(board, outside, guard, clock, endpoint_monitor)
    claims = _build_claims(cfg, board, outside, follower)
    calls = ServiceCalls(
        board,
        endpoint_monitor,
        outside.service,
        cfg.timeouts.service_call_s,
        clock.seconds,
    )
    return EntryComponents(
        board,
        guard,
        follower,
        endpoint_monitor,
        _build_poller(board, endpoint_monitor, outside, clock),
        answers,
        claims,
        _build_placement(cfg, board, outside, clock),
        DaemonGateway(
            board,
            answers,
            calls,
            ClaimedCalls(board, claims, calls),
            ClaimedAnswers(board, claims, answers, guard.invariant_broken),
            prompt_blocks,
            partial(clock.callLater, 0),
        ),
    )


def _build_answers(
    board: Blackboard,
    outside: ExternalSystems,
    guard: Guard,
    clock: GuardedClock,
    endpoint_monitor: EndpointMonitor,
) -> Answers:
    sessions = SessionPool(
        outside.engine,
        board.endpoints.endpoint,
        endpoint_monitor,
        guard,
    )
    chooser = ShortestPathChooser(rng=board.random)
    return Answers(board, endpoint_monitor, sessions, chooser, clock)


def _build_poller(
    board: Blackboard,
    endpoint_monitor: EndpointMonitor,
    outside: ExternalSystems,
    clock: GuardedClock,
) -> PlatformPoller:
    return PlatformPoller(
        board,
        endpoint_monitor,
        outside.engine,
        outside.instances,
        clock.seconds,
    )


def _build_claims(
    cfg: Settings,
    board: Blackboard,
    outside: ExternalSystems,
    follower: LogFollower,
) -> ClaimLoop:
    settings = ClaimSettings(
        cfg.limits.claim_streams,
        cfg.periods.log_retention_s,
    )
    # Claims of an earlier process of this name are not this one's.
    run_number = board.random.getrandbits(RUN_ID_BITS)
    manager = ClaimManager(f'{board.name}/{run_number}', settings, board.random)
    manager.follow(range(settings.partitions))
    return ClaimLoop(board, manager, outside.log, follower)


def _build_placement(
    cfg: Settings,
    board: Blackboard,
    outside: ExternalSystems,
    clock: GuardedClock,
) -> PlacementLoop:
    run_number = board.random.getrandbits(RUN_ID_BITS)
    run_id = f'{board.name}/{run_number}'
    return PlacementLoop(
        board,
        outside.log,
        outside.engine,
        outside.weights,
        LeaseHolder(PLACEMENT_LEASE, run_id, board.random),
        cfg,
        clock.seconds,
    )


def start_loops(
    loops: Loops,
    parts: EntryComponents,
    configuration: ConfigurationLoop,
    shutdown: ShutdownController,
    periods: Periods,
) -> None:
    """Start every loop of an entry."""
    parts.board.record(EventKind.STARTED, parts.board.name)
    steps = (
        (FOLLOW_STEP_S, configuration.step),
        (CLAIM_STEP_S, parts.claims.step),
        (ORDER_STEP_S, parts.placement.step),
        (periods.instance_list_poll_s, parts.poller.read_list),
        (LOAD_STEP_S, parts.poller.read_loads),
        (PROBE_STEP_S, parts.poller.probe),
        (STOP_STEP_S, shutdown.step),
    )
    for period_s, step in steps:
        loops.every(period_s, step)
    loops.paced(parts.answers.tick_delay_s, parts.answers.tick)
