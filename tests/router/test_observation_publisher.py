"""When an endpoint that does not answer is reported as dead."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from returns.result import Failure, Success

from foxtailhatch.fleet.table import SOUND_SILENCE_S
from foxtailhatch.placement.protocols import EngineFault
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.router.observation_publisher import ObservationPublisher
from foxtailhatch.router.reach_prober import ReachProber, ReachRecorder
from tests.faults.virtual_loop import VirtualLoop
from tests.relay.fakes import ListLog
from tests.router.fakes import MemoryEngines, MemoryStore, board, engine

REPORT_TIMEOUT_S = 0.4


class PausingEngines(MemoryEngines):
    """Engines of which ``e1`` does not answer until ``heard_at``."""

    def __init__(self, loop, fault, heard_at):
        super().__init__()
        self._loop = loop
        self._fault = fault
        self._heard_at = heard_at

    async def report(self, target, timeout_s=REPORT_TIMEOUT_S):
        if target.name != 'e1' or self._loop.now >= self._heard_at:
            return Success(EngineReport())
        if self._fault is not EngineFault.NOT_CONNECTED:
            await asyncio.sleep(timeout_s)
        return Failure(self._fault)


class LoopClock:
    """The time of a loop."""

    def __init__(self, loop):
        self._loop = loop

    @property
    def now(self):
        return self._loop.now

    def __call__(self):
        return self._loop.now


class World:
    """A suspect, and the publisher that probes it."""

    def __init__(self, fault, heard_at=1000.0, connected=()):
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.board = board(LoopClock(self.loop))
        for name in ('e1', 'e2', 'e3'):
            self.board.endpoints.put(engine(name, layers=(0, 40)), 0)
        engines = PausingEngines(self.loop, fault, heard_at)
        recorder = ReachRecorder(engines, self.board)
        adapter = SimpleNamespace(store=MemoryStore(), engines=recorder)
        self.log = ListLog()
        self.unanswered = []
        self.publisher = ObservationPublisher(
            self.board,
            adapter,
            self.log,
            ReachProber(self.board, recorder, self.log, Random(1)),
            lambda name: name in connected,
            lambda endpoint, now: self.unanswered.append(endpoint.name),
        )

    def suspect(self):
        endpoints = self.board.endpoints
        endpoints.mark_silent('e1', endpoints.get('e1').incarnation)
        self.loop.call_soon(
            self.publisher.confirm_suspect, endpoints.get('e1'), 'silent'
        )

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def is_dead(self):
        return self.board.endpoints.is_dead('e1')

    def close(self):
        self.loop.close()
        asyncio.set_event_loop(None)


@pytest.fixture
def make_world():
    worlds = []

    def make(*args, **kwargs):
        worlds.append(World(*args, **kwargs))
        return worlds[-1]

    yield make
    for world in worlds:
        world.close()


# Guards against deaths by a silence that a sound endpoint is allowed.
@pytest.mark.parametrize('silence_s', [0.1, 0.5, 1.0, 1.4])
@pytest.mark.parametrize(
    'fault', [EngineFault.NO_RESPONSE, EngineFault.UNCONNECTED]
)
def test_endpoint_that_is_silent_for_a_second_is_not_dead(
    make_world, fault, silence_s
):
    world = make_world(fault, heard_at=silence_s)
    world.suspect()
    world.run(5.0)
    assert not world.is_dead()
    assert not world.board.endpoints.is_lost('e1')
    assert [line['alive'] for line in world.log.of('suspect_probed')] == [True]


def test_endpoint_that_stays_silent_is_dead(make_world):
    world = make_world(EngineFault.NO_RESPONSE)
    world.suspect()
    world.run(SOUND_SILENCE_S)
    assert not world.is_dead()
    world.run(1.0)
    assert world.is_dead()


def test_endpoint_that_refuses_connections_is_dead_at_once(make_world):
    world = make_world(EngineFault.NOT_CONNECTED)
    world.suspect()
    world.run(0.05)
    assert world.is_dead()


# Guards against deaths of endpoints that have run out of connections.
def test_endpoint_with_an_open_connection_may_refuse_others(make_world):
    world = make_world(EngineFault.NOT_CONNECTED, connected=('e1',))
    world.suspect()
    world.run(5.0)
    assert not world.is_dead()
    assert not world.board.endpoints.is_lost('e1')
