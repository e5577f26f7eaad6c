"""Probe storm: all entries of a zone notice the same stall at once."""

import asyncio
from dataclasses import replace

import pytest

from foxtailhatch.router.entry_table import Heartbeat
from foxtailhatch.router.group_stall_detector import (
    SMALL_GROUP_PAUSE_S,
    GroupStallDetector,
)
from foxtailhatch.router.probers import (
    FIRST_PROBERS,
    NEWS_DELAY_S,
    probe_delay_s,
)
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, MemoryEngines, board
from tests.router.test_group_stall_detector import ENDPOINTS, stream
from tests.router.test_late_reports import record


def zone(count, zones=('z1',)):
    """Return the blackboards of the entries of some zones."""
    records = [
        replace(record(f'{name}-{number}'), zone=name)
        for name in zones
        for number in range(count)
    ]
    boards = []
    for entry in records:
        env = board(Clock())
        env.cfg = replace(env.cfg, instance=entry.name, zone=entry.zone)
        env.entries.record_heartbeat(
            entry.name, Heartbeat(records, {}), env.clock()
        )
        boards.append(env)
    return boards


def delays(boards, head='e1'):
    return [probe_delay_s(env, head, env.clock()) for env in boards]


@pytest.mark.parametrize('count', [1, 2, FIRST_PROBERS])
def test_all_entries_of_a_small_zone_probe_at_once(count):
    assert delays(zone(count)) == [0] * count


@pytest.mark.parametrize('count', [13, 26, 40])
def test_few_entries_of_a_large_zone_probe_at_once(count):
    assert delays(zone(count)).count(0) == FIRST_PROBERS


def test_chains_have_other_probers():
    boards = zone(26)
    first = {tuple(delays(boards, f'head-{number}')) for number in range(10)}
    assert len(first) > 5


def test_each_zone_has_its_own_probers():
    boards = zone(10, ('z1', 'z2'))
    assert delays(boards[:10]).count(0) == FIRST_PROBERS
    assert delays(boards[10:]).count(0) == FIRST_PROBERS


def probes_of_a_stall(count, pause_s):
    """Return the probes that all entries send while a chain is stalled."""
    engines = MemoryEngines()
    probed = []

    async def report(target, timeout_s):
        probed.append(target.name)
        return await MemoryEngines.report(engines, target, timeout_s)

    async def has_witness(silent, since):
        return True

    engines.report = report
    for env in zone(count):
        detector = GroupStallDetector(
            engines,
            lambda *_: None,
            ListLog(),
            lambda head, env=env: probe_delay_s(env, head, env.clock()),
            has_witness,
        )
        asyncio.run(detector.check([stream()], pause_s))
    return probed


def test_stall_costs_as_many_probes_in_a_large_zone_as_in_a_small_one():
    pause_s = 1.1 * SMALL_GROUP_PAUSE_S
    assert len(probes_of_a_stall(40, pause_s)) == len(ENDPOINTS) * FIRST_PROBERS


def test_all_entries_probe_if_no_news_arrives():
    """The first probers may have no stream there, or be in trouble."""
    pause_s = 1.1 * SMALL_GROUP_PAUSE_S + NEWS_DELAY_S
    assert len(probes_of_a_stall(10, pause_s)) == 10 * len(ENDPOINTS)
