"""Build the components of one entry and start its loops."""

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
from foxtailhatch.daemon.deliveries import EntryConnections
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
    LeaseHolder,
    LogAvailability,
    LogFollower,
)
from foxtailhatch.routing import ShortestPathChooser, prompt_blocks

CONFIGURATION_STEP_S = 0.1
CLAIM_STEP_S = 0.1
LOAD_STEP_S = 0.1
PROBE_STEP_S = 0.25
SHUTDOWN_STEP_S = 0.1
PLACEMENT_STEP_S = 0.25
RUN_ID_BITS = 64
PLACEMENT_LEASE = 'placement'


@dataclass(slots=True)
class EntryComponents:
    """The components of an entry; see :func:`build_components`.

    ``follower`` schedules the reads of the configuration stream and derives
    the availability of the log from their results.
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
    connections: EntryConnections

    def running(self) -> int:
        """Return the number of requests in progress.

        Those that only the callers' connections know of are not among them.
        Outcomes that are not yet in the log count while the log is
        available, because a repeated call with the same key needs them.
        """
        unsent = 0
        if self.follower.availability is LogAvailability.UP:
            unsent = self.claims.manager.pending_record_count
        return len(self.answers) + self.gateway.running_calls() + unsent

    def record_unsent_outcomes(self) -> None:
        """Record at the exit how many outcomes the log has not taken."""
        unsent = self.claims.manager.pending_record_count
        if unsent:
            self.board.record(
                EventKind.OUTCOMES_UNSENT, self.board.name, f'{unsent} records'
            )


def build_components(
    cfg: Settings,
    board: Blackboard,
    external: ExternalSystems,
    guard: Guard,
    clock: GuardedClock,
) -> EntryComponents:
    """Return the connected components of an entry without starting them."""
    rng = board.random
    follower = LogFollower(CONFIGURATION_STREAM, rng, cfg.periods.log_poll_s)
    endpoint_monitor = EndpointMonitor(board, clock.seconds)
    answers = _build_answers(board, external, guard, clock, endpoint_monitor)
    claims = _build_claims(cfg, board, external, follower)
    calls = ServiceCalls(
        board,
        endpoint_monitor,
        external.service,
        cfg.timeouts.service_call_s,
        clock.seconds,
    )
    return EntryComponents(
        board,
        guard,
        follower,
        endpoint_monitor,
        _build_poller(board, endpoint_monitor, external, clock),
        answers,
        claims,
        _build_placement(cfg, board, external, clock),
        DaemonGateway(
            board,
            answers,
            calls,
            ClaimedCalls(board, claims, calls),
            ClaimedAnswers(board, claims, answers, guard.invariant_broken),
            prompt_blocks,
            partial(clock.callLater, 0),
        ),
        EntryConnections(board),
    )


def _build_answers(
    board: Blackboard,
    external: ExternalSystems,
    guard: Guard,
    clock: GuardedClock,
    endpoint_monitor: EndpointMonitor,
) -> Answers:
    sessions = SessionPool(
        external.engine,
        board.endpoints.endpoint,
        endpoint_monitor,
        guard,
    )
    chooser = ShortestPathChooser(rng=board.random)
    return Answers(board, endpoint_monitor, sessions, chooser, clock)


def _build_poller(
    board: Blackboard,
    endpoint_monitor: EndpointMonitor,
    external: ExternalSystems,
    clock: GuardedClock,
) -> PlatformPoller:
    return PlatformPoller(
        board,
        endpoint_monitor,
        external.engine,
        external.instances,
        clock.seconds,
    )


def _build_claims(
    cfg: Settings,
    board: Blackboard,
    external: ExternalSystems,
    follower: LogFollower,
) -> ClaimLoop:
    settings = ClaimSettings(
        cfg.limits.claim_streams,
        cfg.periods.log_retention_s,
    )
    # The run number separates claims from those of an earlier process of
    # the same instance name.
    run_number = board.random.getrandbits(RUN_ID_BITS)
    manager = ClaimManager(f'{board.name}/{run_number}', settings, board.random)
    manager.follow(range(settings.partitions))
    return ClaimLoop(board, manager, external.log, follower)


def _build_placement(
    cfg: Settings,
    board: Blackboard,
    external: ExternalSystems,
    clock: GuardedClock,
) -> PlacementLoop:
    run_number = board.random.getrandbits(RUN_ID_BITS)
    run_id = f'{board.name}/{run_number}'
    return PlacementLoop(
        board,
        external.log,
        external.engine,
        external.weights,
        LeaseHolder(PLACEMENT_LEASE, run_id, board.random),
        cfg,
        clock.seconds,
    )


def start_loops(
    loops: Loops,
    components: EntryComponents,
    configuration: ConfigurationLoop,
    shutdown: ShutdownController,
    periods: Periods,
) -> None:
    """Record the start of the entry and start its periodic loops."""
    components.board.record(EventKind.STARTED, components.board.name)
    steps = (
        (CONFIGURATION_STEP_S, configuration.step),
        (CLAIM_STEP_S, components.claims.step),
        (PLACEMENT_STEP_S, components.placement.step),
        (periods.instance_list_poll_s, components.poller.read_list),
        (LOAD_STEP_S, components.poller.read_loads),
        (PROBE_STEP_S, components.poller.probe),
        (SHUTDOWN_STEP_S, shutdown.step),
    )
    for period_s, step in steps:
        loops.every(period_s, step)
    loops.repeat(components.answers.tick_delay_s, components.answers.tick)
