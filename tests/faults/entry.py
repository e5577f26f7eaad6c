"""A complete entry over the fakes."""

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
from tests.faults.engines import Engines
from tests.faults.loop import VirtualClock
from tests.faults.peers import FakeNode
from tests.faults.platform import Log, Services, Weights

KEEP_S = 1.0
RETENTION_S = 600.0
PEER_STEP_S = 0.05
NOWHERE = {'host': '127.0.0.1', 'port': 1}


def settings(name, zone) -> Settings:
    """Return the settings of an entry; its addresses are never used."""
    return Settings.model_validate(
        {
            'instance': name,
            'region': 'south',
            'availability_zone': zone,
            'listen': {'callers': NOWHERE, 'peers': NOWHERE},
            'platform': {
                'log': NOWHERE,
                'instance_list': NOWHERE,
                'weight_store': NOWHERE,
            },
            'secrets': {'peer_key': {'environment': 'KEY'}},
            'periods': {
                'entry_advice_keep_s': KEEP_S,
                'log_retention_s': RETENTION_S,
            },
        },
    )


class SnapshotDraw(Random):
    """Let entries write snapshots 6 s apart, so that runs stay short."""

    def __init__(self, number):
        super().__init__()
        self._number = number

    def uniform(self, low, high):
        return low + self._number / 100


class HookedEvents(EventLog):
    """Tell the world of each event before it is recorded."""

    def __init__(self, timeline, hook):
        super().__init__(timeline)
        self._hook = hook

    def record(self, now, kind, subject, detail=''):
        self._hook(kind, subject)
        return super().record(now, kind, subject, detail)


class TestEntry:
    """One entry in its own process of the virtual loop.

    ``exited`` becomes true when it ends itself, ``versions`` lists what
    was in force, with the time.
    """

    __test__ = False

    def __init__(self, world, number, zone):
        self.world = world
        self.name = f'entry-{number}'
        self.exited = False
        self.dead = False
        self.cut = 0
        self.engines = Engines(world, self.name)
        self.context = world.loop.context_of(self.name)
        self.context.run(self._join, settings(self.name, zone), number)

    def _join(self, cfg, seed):
        world = self.world
        inbox = PeerInbox()
        node = FakeNode(world, self.name, inbox)
        here = Address('127.0.0.1', seed)
        zone, region = cfg.availability_zone, cfg.region
        own = Entry(self.name, here, node.address, zone, region)
        board = new_blackboard(
            HybridClock(self.name),
            zone,
            seed,
            EntryTable(own, KEEP_S),
            PlannedStop(KEEP_S),
            world.wall,
            cfg.limits,
        )
        board.events = HookedEvents(board.timeline, self._noted)
        clock = VirtualClock(world.loop)
        log = Log(world, self.name)
        guard = Guard(board, self._leave)
        self.parts = build_components(
            cfg,
            board,
            ExternalSystems(
                self.engines,
                Services(world),
                log,
                world.instances,
                Weights(),
            ),
            guard,
            GuardedClock(clock, guard),
        )
        draw = SnapshotDraw(seed)
        self.snapshot_age_s = RETENTION_S * draw.uniform(MIN_AGE_FRACTION, 1)
        snapshots = SnapshotWriter(RETENTION_S, draw)
        self.configuration = ConfigurationLoop(
            board,
            log,
            self.parts.endpoint_monitor,
            self.parts.follower,
            snapshots,
            clock.seconds,
        )
        self.operations = EntryOperations(board, self.configuration)
        self.shutdown = ShutdownController(
            board, self.parts.running, clock.seconds, self._leave
        )
        gossip = Gossip(board.entries, board.random, world.seeds())
        peers = PeerLoop(
            board,
            self.parts.endpoint_monitor,
            self.configuration,
            gossip,
            UsageExchange(board, self.parts.answers.open_requests_by_account),
            node,
            clock.seconds,
        )
        inbox.connect(guard, peers)
        self.inbox = inbox
        self.loops = Loops(guard.invariant_broken)
        self.cfg = cfg

    @property
    def board(self):
        return self.parts.board

    @property
    def version(self):
        return self.board.fold.version

    def start(self):
        """Start every loop, in the entry's process."""
        self.spawn(self._start())

    async def _start(self):
        start_loops(
            self.loops,
            self.parts,
            self.configuration,
            self.shutdown,
            self.cfg.periods,
        )
        self.loops.every(PEER_STEP_S, self.inbox.step)

    def spawn(self, coroutine):
        """Run a coroutine as a task of this entry's process."""
        return self.context.run(self.world.loop.create_task, coroutine)

    def die(self):
        """End at once, as by ``kill -9``."""
        self.dead = True
        self.world.dead.add(self.name)
        self.world.loop.pause(self.name)
        for session in self.engines.sessions:
            session.closed = True

    def failures(self):
        """Return what ended loops that should run for ever."""
        ended = [task for task in self.loops._tasks if task.done()]
        return [task.exception() for task in ended if task.exception()]

    async def guarded(self, coroutine):
        """Await as the HTTP front does: a broken invariant is reported."""
        try:
            return await coroutine
        except InvariantViolation as exc:
            self.parts.guard.invariant_broken(exc)

    def _noted(self, kind, subject):
        self.world.reached(kind.value, self.name, subject)

    def _leave(self):
        self.cut = self.parts.running()
        self.exited = True
        self.die()
