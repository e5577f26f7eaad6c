"""Complete entry, built on fake external systems."""

from random import Random

from foxtailhatch.config.snapshots import MIN_AGE_FRACTION, SnapshotWriter
from foxtailhatch.core import Address, HybridClock, InvariantViolation
from foxtailhatch.daemon.blackboard import new_blackboard
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.daemon.entry import build_components, start_loops
from foxtailhatch.daemon.external_systems import ExternalSystems
from foxtailhatch.daemon.guard import Guard, GuardedClock
from foxtailhatch.daemon.logs import EventLog
from foxtailhatch.daemon.loops import Loops
from foxtailhatch.daemon.operations import EntryOperations
from foxtailhatch.daemon.peer_inbox import PeerInbox
from foxtailhatch.daemon.peer_loop import PeerLoop
from foxtailhatch.daemon.settings import Settings
from foxtailhatch.daemon.shutdown import ShutdownController
from foxtailhatch.daemon.usage_exchange import UsageExchange
from foxtailhatch.membership import Entry, EntryTable, Gossip, PlannedStop
from tests.faults.engines import FakeEngineClient
from tests.faults.peers import FakeNode
from tests.faults.platform import (
    FakeLogClient,
    FakeServiceClient,
    FakeWeightStore,
)
from tests.faults.virtual_loop import VirtualClock

RECOMMENDATION_TTL_S = 1.0
RETENTION_S = 600.0
PEER_STEP_S = 0.05
UNUSED_ADDRESS = {'host': '127.0.0.1', 'port': 1}


def entry_settings(name, zone) -> Settings:
    """Return the settings of an entry; no socket is opened."""
    return Settings.model_validate(
        {
            'instance': name,
            'region': 'south',
            'availability_zone': zone,
            'listen': {'callers': UNUSED_ADDRESS, 'peers': UNUSED_ADDRESS},
            'platform': {
                'log': UNUSED_ADDRESS,
                'instance_list': UNUSED_ADDRESS,
                'weight_store': UNUSED_ADDRESS,
            },
            'secrets': {'peer_key': {'environment': 'KEY'}},
            'periods': {
                'entry_advice_keep_s': RECOMMENDATION_TTL_S,
                'log_retention_s': RETENTION_S,
            },
        },
    )


class FixedSnapshotAge(Random):
    """Spread the snapshots of the entries by 6 s, to keep runs short."""

    def __init__(self, number):
        super().__init__()
        self._number = number

    def uniform(self, low, high):
        return low + self._number / 100


class ObservedEventLog(EventLog):
    """Event log that calls a hook before it records an event."""

    def __init__(self, timeline, hook):
        super().__init__(timeline)
        self._hook = hook

    def record(self, now, kind, subject, detail=''):
        self._hook(kind, subject)
        return super().record(now, kind, subject, detail)


class TestEntry:
    """Entry that runs as its own process of the virtual loop.

    ``exited`` becomes true when the entry exits by itself, ``dead`` also
    when it is killed.  ``aborted_requests`` counts the requests that were
    still running at its exit.
    """

    __test__ = False

    def __init__(self, sim, number, zone):
        self.sim = sim
        self.name = f'entry-{number}'
        self.exited = False
        self.dead = False
        self.aborted_requests = 0
        self.engines = FakeEngineClient(sim, self.name)
        self.context = sim.loop.context_of(self.name)
        self.context.run(self._build, entry_settings(self.name, zone), number)

    def _build(self, cfg, seed):
        sim = self.sim
        inbox = PeerInbox()
        node = FakeNode(sim, self.name, inbox)
        caller_address = Address('127.0.0.1', seed)
        zone, region = cfg.availability_zone, cfg.region
        own = Entry(self.name, caller_address, node.address, zone, region)
        board = new_blackboard(
            HybridClock(self.name),
            zone,
            seed,
            EntryTable(own, RECOMMENDATION_TTL_S),
            PlannedStop(RECOMMENDATION_TTL_S),
            sim.wall_time,
            cfg.limits,
        )
        board.events = ObservedEventLog(board.timeline, self._on_event)
        clock = VirtualClock(sim.loop)
        log = FakeLogClient(sim, self.name)
        guard = Guard(board, self._exit)
        self.components = build_components(
            cfg,
            board,
            ExternalSystems(
                self.engines,
                FakeServiceClient(sim),
                log,
                sim.instances,
                FakeWeightStore(),
            ),
            guard,
            GuardedClock(clock, guard),
        )
        jitter = FixedSnapshotAge(seed)
        self.snapshot_age_s = RETENTION_S * jitter.uniform(MIN_AGE_FRACTION, 1)
        snapshots = SnapshotWriter(RETENTION_S, jitter)
        self.configuration = ConfigurationLoop(
            board,
            log,
            self.components.endpoint_monitor,
            self.components.follower,
            snapshots,
            clock.seconds,
        )
        self.operations = EntryOperations(board, self.configuration)
        self.shutdown = ShutdownController(
            board,
            self.components.running,
            clock.seconds,
            self._exit,
            self.components.connections,
        )
        gossip = Gossip(board.entries, board.random, sim.seeds())
        peers = PeerLoop(
            board,
            self.components.endpoint_monitor,
            self.configuration,
            gossip,
            UsageExchange(
                board, self.components.answers.open_requests_by_account
            ),
            node,
            clock.seconds,
        )
        inbox.connect(guard, peers)
        self.inbox = inbox
        self.loops = Loops(guard.invariant_broken)
        self.cfg = cfg

    @property
    def board(self):
        return self.components.board

    @property
    def version(self):
        return self.board.fold.version

    def start(self):
        """Start all loops in the process of the entry."""
        self.spawn(self._start())

    async def _start(self):
        start_loops(
            self.loops,
            self.components,
            self.configuration,
            self.shutdown,
            self.cfg.periods,
        )
        self.loops.every(PEER_STEP_S, self.inbox.step)

    def spawn(self, coroutine):
        """Run a coroutine as a task in the process of this entry."""
        return self.context.run(self.sim.loop.create_task, coroutine)

    def kill(self):
        """End the process immediately, as ``kill -9`` does."""
        self.dead = True
        self.sim.dead.add(self.name)
        self.sim.loop.pause(self.name)
        for session in self.engines.sessions:
            session.closed = True

    def loop_failures(self):
        """Return the exceptions of loops that ended."""
        ended = [task for task in self.loops._tasks if task.done()]
        return [task.exception() for task in ended if task.exception()]

    async def report_violations(self, coroutine):
        """Await and report invariant violations, as the HTTP frontend does."""
        try:
            return await coroutine
        except InvariantViolation as exc:
            self.components.guard.invariant_broken(exc)

    def _on_event(self, kind, subject):
        self.sim.report_point(kind.value, self.name, subject)

    def _exit(self):
        self.aborted_requests = self.components.running()
        self.exited = True
        self.kill()
