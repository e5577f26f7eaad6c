"""Which callers are advised to use which entries, and how load changes that."""

import asyncio
import json
from collections import Counter
from dataclasses import replace

import cbor2
import pytest

from foxtailhatch.router.entry_advice import (
    MIN_STRENGTH,
    advised_addresses,
    strength_of,
    strengths,
)
from foxtailhatch.router.entry_table import Heartbeat, decode_entry
from foxtailhatch.router.feed import FeedRequest, decode_feed_request
from foxtailhatch.router.heartbeats import LOAD_HEARTBEAT_S
from foxtailhatch.router.loop_load import (
    HOLD_S,
    LOAD_WINDOW_S,
    OVERLOADED_FACTOR,
    SAMPLE_PERIOD_S,
    LoopLoad,
)
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.status_pages import (
    MAX_ADVISED_ADDRESSES,
    StatusPages,
)
from tests.relay.fakes import start_relay
from tests.router.entry_network import EntryNetwork
from tests.router.fakes import board
from tests.router.test_entry_table import entry
from tests.router.test_heartbeats import make_heartbeats, step

ENTRIES = 45
# 45 entries of 0.36 to 2.15 cores.
CORES = [0.36 + (2.15 - 0.36) * n / (ENTRIES - 1) for n in range(ENTRIES)]
CALLERS = [f'10.{n >> 8}.{n & 255}.7' for n in range(2000)]
# Shares of 2,000 callers vary by 4 in 100 (standard deviation) where a quarter
# of the lists name an entry.
TOLERANCE = 0.15


def entries_of(cores, **changes):
    return [
        replace(entry(f'e{number:03}', cpu_cores=share), **changes)
        for number, share in enumerate(cores)
    ]


def lists(scope, callers=CALLERS, limit=MAX_ADVISED_ADDRESSES):
    return [advised_addresses(scope, caller, limit) for caller in callers]


def shares(advised):
    """Return each address's share of callers that pick one at random."""
    expected = Counter()
    for addresses in advised:
        for address in addresses:
            expected[address] += 1 / len(addresses) / len(advised)
    return expected


def assert_in_proportion(scope, advised):
    expected = strengths(scope)
    seen = shares(advised)
    for one, strength in zip(scope, expected, strict=True):
        intended = strength / sum(expected)
        assert seen[one.address] == pytest.approx(intended, rel=TOLERANCE)


# Guards against weak entries that get as many callers as strong ones.
def test_callers_of_45_entries_are_in_proportion_to_their_strength():
    scope = entries_of(CORES)
    assert strengths(scope)[0] == pytest.approx(0.36 / 1.255, rel=0.01)
    assert strengths(scope)[-1] == 1
    assert_in_proportion(scope, lists(scope))


def test_link_rate_limits_the_strength():
    rates = [7 + 93 * n / (ENTRIES - 1) for n in range(ENTRIES)]
    scope = [
        replace(one, link_mbps=rate)
        for one, rate in zip(entries_of([1] * ENTRIES), rates, strict=True)
    ]
    assert strengths(scope)[0] == MIN_STRENGTH
    assert strengths(scope)[11] == pytest.approx(rates[11] / rates[22])
    assert_in_proportion(scope, lists(scope))


# Guards against an entry that is left out for good, for example as all callers
# share a host or as its own report is wrong.
def test_each_of_45_entries_is_advised_to_some_callers():
    scope = entries_of(CORES)
    scope[0] = replace(scope[0], load_factor=0.0001, link_mbps=0.0001)
    scope[1] = replace(scope[1], link_mbps=1e6)
    seen = shares(lists(scope))
    assert min(seen[one.address] for one in scope) > (
        MIN_STRENGTH * (1 - TOLERANCE) * max(seen.values())
    )
    from_one_host = [
        advised_addresses(scope, f'127.0.0.1 {one.name}', 64) for one in scope
    ]
    assert len(shares(from_one_host)) == ENTRIES


def test_callers_that_ask_again_get_the_same_list():
    scope = entries_of(CORES)
    assert lists(scope) == lists(list(reversed(scope)))


# Guards against callers that lose their kept connections with each change.
def test_overload_of_one_entry_changes_few_lists():
    scope = entries_of(CORES)
    before = lists(scope)
    scope[-1] = replace(scope[-1], load_factor=OVERLOADED_FACTOR)
    after = lists(scope)
    kept = [
        len(set(old) & set(new)) / len(old)
        for old, new in zip(before, after, strict=True)
    ]
    assert sum(kept) / len(kept) > 0.95


@pytest.mark.parametrize('cores', [(1, 1.2), (0.5,) * 80, (2.15, 2, 1.8)])
def test_list_of_entries_that_hardly_differ_is_as_before(cores):
    scope = entries_of(cores, link_mbps=50)
    scope[0] = replace(scope[0], load_factor=OVERLOADED_FACTOR)
    expected = sorted(one.address for one in scope)[:64]
    assert lists(scope, CALLERS[:50]) == [expected] * 50
    assert strength_of('e000', scope) == 1


def test_link_rates_that_only_some_entries_name_do_not_lower_the_others():
    scope = entries_of((1, 1, 1))
    scope[0] = replace(scope[0], link_mbps=100)
    scope[1] = replace(scope[1], link_mbps=20)
    assert strengths(scope) == pytest.approx([1, 1 / 3, 1])


# Guards against a first part of the names that gets all callers.
@pytest.mark.parametrize('count', [65, 137, 360])
def test_which_64_of_more_entries_differs_between_callers(count):
    cores = [0.36 + (2.15 - 0.36) * n / (count - 1) for n in range(count)]
    scope = entries_of(cores)
    advised = lists(scope)
    assert all(len(addresses) <= 64 for addresses in advised)
    assert len({tuple(addresses) for addresses in advised}) > 1900
    named = Counter(address for one in advised for address in one)
    assert len(named) == count
    per_strength = [
        named[one.address] / strength
        for one, strength in zip(scope, strengths(scope), strict=True)
    ]
    mean = sum(per_strength) / count
    # With 360 entries one in twenty lists names the weakest: 100 of 2,000.
    assert min(per_strength) > 0.55 * mean
    assert max(per_strength) < 1.45 * mean


@pytest.mark.parametrize('cores', [(2, 0.1), (2, 0.1, 0.1), (2, 2, 0.1)])
def test_list_has_at_least_two_addresses(cores):
    scope = entries_of(cores, load_factor=OVERLOADED_FACTOR)
    assert min(map(len, lists(scope))) == 2


def test_odd_cores_and_rates_of_others_count_as_unknown():
    scope = entries_of((2, 1, 0, -1, float('nan'), float('inf'), 10**400))
    assert strengths(scope) == pytest.approx([1, 2 / 3, 1, 1, 1, 1, 1])
    assert lists(scope, CALLERS[:50])


# Guards against records that older builds, or tests of stored bytes, refuse.
def test_record_says_load_and_link_rate_only_if_they_matter():
    plain = entry('a')
    assert len(plain.fields()) == 8
    overloaded = replace(plain, load_factor=0.5)
    assert overloaded.fields()[8:] == [0.5]
    linked = replace(plain, link_mbps=40)
    assert linked.fields()[8:] == [1, 40]
    for one in (plain, overloaded, linked):
        assert decode_entry(one.fields()).unwrap() == one
        request = FeedRequest(one, {}, {})
        assert decode_feed_request(request.encode()).unwrap() == request


@pytest.mark.parametrize(
    'odd',
    [-1, 0, 'x', None, True, [], float('nan'), float('inf'), 1e12, 10**400],
)
def test_malformed_load_and_link_rate_count_as_missing(odd):
    plain = entry('a').fields()
    assert decode_entry([*plain, odd, odd]).unwrap() == entry('a')
    assert decode_entry([*plain, 0.5, odd]).unwrap().load_factor == 0.5
    if not isinstance(odd, int) or odd < 10**300:
        raw = cbor2.loads(cbor2.dumps([*plain, odd, 40]))
        assert decode_entry(raw).unwrap().link_mbps == 40


def run_loop(load, seconds, cpu_use=0.0, late_s=0.0, start=0.0, cpu_s=0.0):
    """Record samples of a loop; return the time and the processor time."""
    now = start
    while now < start + seconds:
        load.record(now, cpu_s)
        now += SAMPLE_PERIOD_S + late_s
        cpu_s += cpu_use * (SAMPLE_PERIOD_S + late_s)
    return now, cpu_s


@pytest.mark.parametrize(
    ('cores', 'cpu_use', 'late_s', 'expected'),
    [
        (0.36, 0.25, 0, 1),
        (0.36, 0.32, 0, OVERLOADED_FACTOR),
        # The router has one thread and cannot use more than a core.
        (2.15, 0.7, 0, 1),
        (2.15, 0.95, 0, OVERLOADED_FACTOR),
        (1, 0.3, 0.08, 1),
        (1, 0.3, 0.15, OVERLOADED_FACTOR),
    ],
)
def test_overload_is_told_by_lateness_or_processor_use(
    cores, cpu_use, late_s, expected
):
    load = LoopLoad(cores)
    now, _ = run_loop(load, 5, cpu_use, late_s)
    assert load.factor(now) == expected


def test_a_single_short_delay_of_the_loop_is_no_overload():
    load = LoopLoad(1)
    now, _ = run_loop(load, 3)
    now, _ = run_loop(load, 1, start=now + 0.15)
    assert load.factor(now) == 1
    assert load.longest_lateness_s == pytest.approx(0.15)


def test_overload_ends_some_time_after_its_last_sign():
    load = LoopLoad(1)
    now, cpu_s = run_loop(load, 5, cpu_use=1)
    now, cpu_s = run_loop(load, HOLD_S - 0.5, start=now, cpu_s=cpu_s)
    assert load.factor(now) == OVERLOADED_FACTOR
    now, _ = run_loop(load, LOAD_WINDOW_S + 1, start=now, cpu_s=cpu_s)
    assert load.factor(now) == 1


def test_the_samples_kept_are_those_of_the_window():
    load = LoopLoad(1)
    run_loop(load, 60)
    assert len(load._samples) <= LOAD_WINDOW_S / SAMPLE_PERIOD_S + 3


# Guards against a list for each change of a load: under load many entries
# change theirs, and each list is read by all entries.
def test_lists_that_differ_in_load_alone_are_written_less_often():
    heartbeats, store, clock = make_heartbeats()
    for number in range(16):
        fed = replace(entry('b'), load_factor=(1, 0.5)[number % 2])
        heartbeats.record_feed_request(fed, {}, clock.now)
        step(heartbeats)
        clock.now += 0.25
    assert len(store.lists) == 4 / LOAD_HEARTBEAT_S // 1 + 1


class Overload:
    """Samples of one entry whose loop is late, or which uses all of a core."""

    def __init__(self, network, name, kind):
        self.load = network.entries[name].board.loop_load
        self._network = network
        self._kind = kind
        self._cpu_s = 0.0
        self.is_on = False
        self._task = None

    async def run(self):
        while True:
            pause_s = SAMPLE_PERIOD_S
            if self.is_on and self._kind == 'late':
                pause_s += 0.25
            if self.is_on and self._kind == 'busy':
                self._cpu_s += pause_s
            await asyncio.sleep(pause_s)
            self.load.record(self._network.loop.now, self._cpu_s)


# Guards against an overloaded entry that goes on getting its full share, or that
# gets less for good: 45 entries in 3 zones, 2,000 callers that ask all of them.
@pytest.mark.parametrize('kind', ['late', 'busy'])
@pytest.mark.parametrize('name', ['z1-e14', 'z1-e06', 'z0-e13'])
def test_overloaded_entry_gets_less_in_four_seconds_and_its_share_later(
    kind, name
):
    network = EntryNetwork(3, 15, cores=[0.36, 0.8, 1.2, 1.7, 2.15])
    try:
        overload = Overload(network, name, kind)
        zone = network.entries[name].zone

        def share():
            advised = []
            for position, caller in enumerate(CALLERS):
                asked = list(network.entries.values())[position % ENTRIES]
                scope = asked.board.entries.recommended_scope(
                    'here', zone, network.loop.now
                )
                host = f'{caller} {asked.name}'
                advised.append(advised_addresses(scope, host, 64))
            return shares(advised)[f'{name}:80']

        network.loop.create_task(
            overload.run(), context=network.loop.context_of(name)
        )
        network.run(6)
        usual = share()
        overload.is_on = True
        network.run(4)
        assert share() < 0.7 * usual
        network.run(2)
        assert share() < 0.7 * usual
        overload.is_on = False
        network.run(LOAD_WINDOW_S + HOLD_S + 4)
        assert share() == usual
    finally:
        network.close()


def advice_of(pages, host):
    raw = pages.advice({b'region': [b'here'], b'zone': [b'z1']}, host)
    return json.loads(raw)['addresses']


def test_advice_page_lists_by_the_host_that_asks():
    env = board()
    pages = StatusPages(env, start_relay().context, RouterMetrics('a'))
    scope = entries_of(CORES)
    scope.append(replace(env.own_entry(), load_factor=0.5))
    env.entries.record_heartbeat('e000', Heartbeat(scope), env.clock.now)
    first = [advice_of(pages, host) for host in CALLERS[:200]]
    assert first == [advice_of(pages, host) for host in CALLERS[:200]]
    assert len({tuple(addresses) for addresses in first}) > 190
    own = env.cfg.callers_address
    assert any(own in addresses for addresses in first)
    lines = pages.metrics({}).decode().splitlines()
    strength = strength_of(env.cfg.instance, scope)
    assert f'state{{instance="a",of="advice_strength"}} {strength}' in lines
    assert 'state{instance="a",of="loop_lateness_seconds"} 0' in lines
    # A stopping entry leaves itself out, and its lists stay as long.
    env.stop_requested_at = env.clock.now
    stopping = [advice_of(pages, host) for host in CALLERS[:200]]
    assert not any(own in addresses for addresses in stopping)
    assert min(map(len, stopping)) >= min(map(len, first)) - 1


def test_own_record_says_the_load_and_the_link_rate():
    env = board()
    assert (env.own_entry().load_factor, env.own_entry().link_mbps) == (1, 0)
    assert len(env.own_entry().fields()) == 8
    env.cfg = replace(env.cfg, link_mbps=40)
    asyncio.run(env.sample_load())
    env.clock.now += 1
    asyncio.run(env.sample_load())
    assert env.own_entry().fields()[8:] == [OVERLOADED_FACTOR, 40]
