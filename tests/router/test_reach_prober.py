"""Samples of endpoints, witnesses for deaths, and reports that are withdrawn."""

import asyncio
from dataclasses import replace
from random import Random

import pytest

from foxtailhatch.placement.protocols import EngineFault, OrderOutcome
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.router.entry_table import Heartbeat
from foxtailhatch.router.reach_prober import (
    REVIVAL_INTERVAL_S,
    SAMPLE_SIZE,
    ReachProber,
    ReachRecorder,
)
from tests.fleet.endpoints import endpoint
from tests.router.fakes import Clock, ListLog, MemoryEngines, board, engine
from tests.router.test_entry_table import entry

ENGINES = 12
STEP_S = 0.1


class Entry:
    """An entry that asks engines, all of which answer at first."""

    def __init__(self, name='entry-1', engines=None, peers=()):
        self.clock = Clock()
        self.board = board(self.clock)
        self.board.cfg = replace(self.board.cfg, instance=name)
        self.engines = engines or MemoryEngines()
        self.asked = 0
        for number in range(ENGINES):
            zone = f'z{number % 3}'
            self.board.endpoints.put(
                engine(f'e{number}', layers=(0, 40), zone=zone), 0
            )
        if peers:
            self.board.entries.record_heartbeat(
                peers[0], Heartbeat([entry(peer) for peer in peers]), 0
            )
        self.log = ListLog()
        self.recorder = ReachRecorder(self, self.board)
        self.prober = ReachProber(
            self.board, self.recorder, self.log, Random(1)
        )

    async def report(self, target, timeout_s=0.4):
        self.asked += 1
        return await self.engines.report(target, timeout_s)

    def silence(self, fault=EngineFault.UNCONNECTED, names=None):
        self.engines.fault = fault
        for name in names or self.board.endpoints.names():
            self.engines.outcomes[name] = OrderOutcome.NO_ANSWER

    def fail_at(self, name):
        self.board.reach.record_failed('model', self.clock.now)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            asyncio.run(self.prober.step())

    @property
    def is_cut_off(self):
        return self.board.reach.is_cut_off('model')

    def has_witness(self, name):
        silent = [self.board.endpoints.get(name)]
        return asyncio.run(self.prober.has_witness(silent, self.clock.now))


def test_entry_that_reaches_nobody_is_cut_off_until_engines_answer():
    env = Entry()
    env.silence()
    env.fail_at('e1')
    env.run(0.2)
    assert env.is_cut_off
    assert env.log.of('engines_unreachable')[0]['asked'] == SAMPLE_SIZE
    engine_1 = env.board.endpoints.get('e1')
    env.board.endpoints.record_failure('e1', env.clock.now)
    env.engines.outcomes.clear()
    env.run(0.6)
    assert not env.is_cut_off
    assert not env.board.endpoints.is_backed_off(engine_1, env.clock.now)


# Guards against entries that forward all requests beside one dead engine.
def test_dead_engine_does_not_cut_an_entry_off():
    env = Entry()
    env.silence(names=['e1'])
    env.fail_at('e1')
    env.run(0.2)
    assert not env.is_cut_off


# Guards against sound engines that pause for a second.
def test_engines_that_accept_but_are_silent_are_reached():
    env = Entry()
    env.silence(EngineFault.NO_RESPONSE)
    env.fail_at('e1')
    env.run(0.5)
    assert not env.is_cut_off


@pytest.mark.parametrize(
    'fault', [EngineFault.NOT_CONNECTED, EngineFault.UNCONNECTED]
)
def test_refused_and_lost_connections_are_no_witness(fault):
    env = Entry()
    env.silence(fault)
    assert not env.has_witness('e1')
    env.engines.outcomes.pop('e7')
    env.board.reach.record_accepted('model', 'e7', env.clock.now)
    assert env.has_witness('e1')


def test_witness_of_the_only_endpoint_is_of_another_service():
    env = Entry()
    desk = endpoint('desk', 'desk')
    env.board.endpoints.put(desk, 0)
    env.silence(names=['desk'])
    assert env.has_witness('desk')


# Guards against engines that stay dead for all after a wrong report.
def test_dead_engine_that_answers_is_alive_for_all():
    env = Entry()
    env.board.endpoints.mark_dead('e3', 1, env.clock.now)
    env.engines.reports['e3'] = EngineReport(
        layers=env.board.endpoints.get('e3').layers
    )
    env.clock.now += REVIVAL_INTERVAL_S
    (observation,) = asyncio.run(env.prober.revived())
    assert (observation.endpoint, observation.is_dead) == ('e3', False)
    assert observation.apply(env.board.endpoints, env.clock.now)
    assert not env.board.endpoints.is_dead('e3')


def test_plain_endpoint_that_accepts_connections_is_alive_for_all():
    env = Entry()
    env.board.endpoints.put(endpoint('desk', 'desk'), 0)
    env.board.endpoints.mark_dead('desk', 1, env.clock.now)
    env.silence(EngineFault.MALFORMED, names=['desk'])
    env.clock.now += REVIVAL_INTERVAL_S
    (observation,) = asyncio.run(env.prober.revived())
    assert (observation.endpoint, observation.is_dead) == ('desk', False)


def test_dead_engine_that_does_not_answer_stays_dead():
    env = Entry()
    env.board.endpoints.mark_dead('e3', 1, env.clock.now)
    env.silence(names=['e3'])
    env.clock.now += REVIVAL_INTERVAL_S
    assert asyncio.run(env.prober.revived()) == []


# Guards against probes that grow with the entries: the load of a rack failure.
@pytest.mark.parametrize('count', [3, 39])
def test_dead_engines_are_asked_by_few_entries(count):
    peers = [f'entry-{number}' for number in range(count)]
    asked = 0
    for name in peers:
        env = Entry(name, peers=peers)
        for dead in ('e1', 'e2', 'e3'):
            env.board.endpoints.mark_dead(dead, 1, 0)
        env.silence(names=['e1', 'e2', 'e3'])
        env.clock.now = 1.5 * REVIVAL_INTERVAL_S
        asyncio.run(env.prober.revived())
        asked += env.asked
    assert asked <= 3 * 2


# Guards against a price of the cut that grows with the engines or its length.
def test_cut_off_entry_asks_few_engines_a_second():
    env = Entry()
    env.silence()
    env.fail_at('e1')
    env.run(0.2)
    before = env.asked
    env.run(10)
    assert env.asked - before <= 10 * 2 * SAMPLE_SIZE
