"""Sums of the demand that all entries report, by zone."""

from dataclasses import replace

import cbor2
import pytest

from foxtailhatch.fleet.demand import (
    DEMAND_TTL_S,
    RankDemand,
    ServiceDemand,
)
from foxtailhatch.router.demand_messages import (
    DemandDecoder,
    encode_report,
    encode_sums,
)
from foxtailhatch.router.demand_totals import (
    HEARTBEAT_DEMAND_TTL_S,
    REMEMBERED_REPORTS,
    SUM_PERIOD_S,
    DemandTotals,
    SentReports,
)
from foxtailhatch.router.entry_table import ENTRY_LIST_TIMEOUT_S, Heartbeat
from foxtailhatch.router.feed import decode_feed_request
from foxtailhatch.router.keyed_log import Topic
from tests.relay.fakes import ListLog
from tests.router.entry_network import STORE, EntryNetwork
from tests.router.fakes import Clock, board
from tests.router.test_entry_table import entry
from tests.router.test_load_features import routes
from tests.routes.configurations import configuration

ROUTES = routes(0, 1)
STEP_S = 0.05


def running(count, zone_accounts=()):
    demand = ServiceDemand(
        {0: RankDemand(running=count)}, dict.fromkeys(zone_accounts, count)
    )
    return {'model': demand}


def make_totals(enabled=True):
    """Return the totals of ``entry-1``, in z1, that has no demand."""
    clock = Clock()
    cfg = configuration(routes=ROUTES if enabled else ROUTES[:1])
    state = board(clock, cfg)
    state.entries_confirmed_at = clock.now
    log = ListLog()
    return DemandTotals(state, log), state, clock, log


def report(totals, state, name, zone='z1', count=None, is_ready=True):
    raw = None if count is None else encode_report(running(count))
    one = replace(entry(name, zone), is_ready=is_ready)
    totals.record_report(one, raw, state.clock())


def heartbeat(state, reader, zone, names, sums, received_at=None):
    listed = [entry(name, zone) for name in names]
    raw = None if sums is None else encode_sums(sums)
    now = state.clock() if received_at is None else received_at
    state.entries.record_heartbeat(reader, Heartbeat(listed, {}, raw), now)


def others(totals, name, clock):
    """Return the sums that another entry gets, without its last report."""
    raw = totals.response_to(name, clock.now)
    if raw is None:
        return None
    sums, number = DemandDecoder({'model'}).response(raw)
    sent = SentReports('')
    known = totals._reports.get(name)
    if known is not None and known[1] is not None:
        sent = SentReports(known[0].zone)
        sent._sent[number] = known[1][0]
    return sent.exclude(sums, number)


def counts(sums):
    """Return the running requests by zone."""
    return {
        zone: services['model'].total.running
        for zone, services in sums.items()
        if 'model' in services
    }


# Guards against an entry that counts its own demand twice.
def test_sums_exclude_the_asking_entry():
    totals, state, clock, _ = make_totals()
    state.own_demand.record_start('model', 0, 'crew', 100, clock.now)
    report(totals, state, 'a', count=3)
    report(totals, state, 'b', 'z2', count=5)
    assert counts(others(totals, 'a', clock)) == {'z1': 1, 'z2': 5}
    assert counts(others(totals, 'b', clock)) == {'z1': 4, 'z2': 0}
    assert counts(totals.of_others(clock.now)) == {'z1': 3, 'z2': 5}
    assert counts(others(totals, 'new', clock)) == {'z1': 4, 'z2': 5}
    assert counts(totals.of_fed(clock.now)) == {'z1': 4, 'z2': 5}


# Guards against demand of entries that have left, froze or changed readers.
def test_old_report_is_dropped():
    totals, state, clock, _ = make_totals()
    report(totals, state, 'a', count=3)
    clock.now += DEMAND_TTL_S + 0.1
    state.entries_confirmed_at = clock.now
    assert counts(totals.of_others(clock.now)) == {}
    assert counts(totals.of_fed(clock.now)) == {}


# Guards against an earlier build that counts as an idle entry.
def test_missing_report_counts_as_mean_demand_of_its_zone():
    totals, state, clock, _ = make_totals()
    state.own_demand.record_start('model', 0, 'crew', 100, clock.now)
    report(totals, state, 'a', count=3)
    report(totals, state, 'b', 'z2', count=6)
    report(totals, state, 'old', count=None)
    report(totals, state, 'stopping', count=None, is_ready=False)
    sums = others(totals, 'b', clock)
    assert counts(sums) == {'z1': 4 + 4 / 2, 'z2': 0}
    assert counts(totals.of_fed(clock.now)) == {'z1': 6, 'z2': 6}


def test_missing_zone_counts_as_mean_demand_of_all_zones():
    totals, state, clock, _ = make_totals()
    report(totals, state, 'a', count=6)
    heartbeat(state, 'r2', 'z2', ['r2', 'b2'], None)
    assert counts(others(totals, 'new', clock)) == {'z1': 6, 'z2': 6}


def test_report_without_demand_is_not_missing():
    totals, state, clock, _ = make_totals()
    report(totals, state, 'a', count=4)
    totals.record_report(entry('idle'), encode_report({}), clock.now)
    heartbeat(state, 'r2', 'z2', ['r2', 'b2'], {})
    heartbeat(state, 'r3', 'z2', ['r3'], None)
    assert counts(others(totals, 'new', clock)) == {'z1': 4}


# Guards against zones that do not know of each other.
def test_sums_of_other_readers_are_added_by_zone():
    totals, state, clock, _ = make_totals()
    report(totals, state, 'a', count=3)
    sums = {'z2': running(7), 'z1': running(1)}
    heartbeat(state, 'r2', 'z2', ['r2', 'b2'], sums)
    assert counts(others(totals, 'a', clock)) == {'z1': 1, 'z2': 7}


# Guards against demand that is counted twice when a reader takes over.
def test_entry_that_changed_its_reader_counts_once():
    totals, state, clock, _ = make_totals()
    old = {'z1': running(40)}
    heartbeat(state, 'r1', 'z1', ['r1', 'a', 'b', 'c'], old, clock.now - 1)
    for name in 'abc':
        report(totals, state, name, count=10)
    assert counts(totals.of_others(clock.now)) == {'z1': 40}
    # Both are heartbeats of other readers.
    totals, state, clock, _ = make_totals()
    new = {'z2': running(30)}
    old = {'z2': running(40)}
    heartbeat(state, 'r2', 'z2', ['r2', 'a', 'b', 'c'], old, clock.now - 1)
    heartbeat(state, 'a', 'z2', ['a', 'b', 'c'], new)
    assert counts(totals.of_others(clock.now)) == {'z2': 40}


# Guards against a stopping entry that counts in two heartbeats.
def test_entry_that_is_not_ready_counts_once():
    totals, state, clock, _ = make_totals()
    stopping = replace(entry('a', 'z2'), is_ready=False)
    old = [entry('r2', 'z2'), stopping]
    for reader, listed, count, age_s in (
        ('r2', old, 4, 1),
        ('a', [stopping], 2, 0),
    ):
        raw = encode_sums({'z2': running(count)})
        state.entries.record_heartbeat(
            reader, Heartbeat(listed, {}, raw), clock.now - age_s
        )
    assert counts(totals.of_others(clock.now)) == {'z2': 4}


# Guards against sums that seem to be valid while the store is away.
def test_no_sums_once_heartbeats_are_not_read():
    totals, state, clock, _ = make_totals()
    report(totals, state, 'a', count=3)
    clock.now += DEMAND_TTL_S
    assert others(totals, 'a', clock) is not None
    clock.now += 0.01
    assert others(totals, 'a', clock) is None
    state.entries_confirmed_at = None
    assert others(totals, 'a', clock) is None


def later(state, clock, seconds):
    clock.now += seconds
    state.entries_confirmed_at = clock.now


# Guards against a zone that seems idle as nothing is heard of it.
def test_no_sums_while_the_only_heartbeat_of_a_zone_is_overdue():
    totals, state, clock, _ = make_totals()
    heartbeat(state, 'r2', 'z2', ['r2'], {'z2': running(7)})
    later(state, clock, HEARTBEAT_DEMAND_TTL_S)
    assert counts(others(totals, 'a', clock)) == {'z2': 7}
    later(state, clock, SUM_PERIOD_S + 0.01)
    assert others(totals, 'a', clock) is None
    later(state, clock, ENTRY_LIST_TIMEOUT_S)
    assert counts(others(totals, 'a', clock)) == {}


# Guards against all sums that lapse when one of several readers ends.
def test_entries_of_an_overdue_reader_count_as_mean_beside_others():
    totals, state, clock, _ = make_totals()
    heartbeat(state, 'gone', 'z2', ['gone', 'b'], {'z2': running(9)})
    later(state, clock, HEARTBEAT_DEMAND_TTL_S + 0.1)
    heartbeat(state, 'b', 'z2', ['b', 'c'], {'z2': running(8)})
    assert counts(others(totals, 'a', clock)) == {'z2': 12}


# Guards against cost and messages where no service asks for demand.
def test_nothing_is_summed_while_not_enabled():
    totals, state, clock, log = make_totals(enabled=False)
    totals.record_report(entry('a'), b'?', clock.now)
    assert state.own_demand_report() is None
    assert totals.of_fed(clock.now) is None
    assert others(totals, 'a', clock) is None
    assert log.lines == []


# Guards against demand for a service that does not ask for it.
def test_own_report_has_only_services_that_ask_for_it():
    _, state, clock, _ = make_totals()
    state.own_demand.record_start('model', 0, 'crew', 100, clock.now)
    state.own_demand.record_start('plain', 0, 'crew', 100, clock.now)
    assert set(state.own_demand_report()) == {'model'}


# Guards against one faulty entry or reader that spoils the sums of all.
def test_malformed_report_counts_as_missing():
    totals, state, clock, log = make_totals()
    report(totals, state, 'a', count=4)
    totals.record_report(entry('bad'), b'?', clock.now)
    state.entries.record_heartbeat(
        'r2', Heartbeat([entry('r2', 'z2')], {}, b'?'), clock.now
    )
    mean = (0 + 4) / 2
    sums = counts(others(totals, 'new', clock))
    assert sums == {'z1': 4 + mean, 'z2': mean}
    assert [line['peer'] for line in log.of('demand_dropped')] == ['bad', 'r2']


def test_unknown_service_of_a_report_is_left_out():
    totals, state, clock, _ = make_totals()
    raw = cbor2.dumps([{'later': [[], 0, {}], **cbor2.loads(good())[0]}, 1])
    totals.record_report(entry('a'), raw, clock.now)
    sums = others(totals, 'new', clock)
    assert {zone: set(services) for zone, services in sums.items()} == {
        'z1': {'model'}
    }


def good():
    return encode_report(running(2))


# Guards against a response that takes time for each entry of the zone.
def test_sums_are_kept_for_a_short_time(monkeypatch):
    totals, state, clock, _ = make_totals()
    calls = []
    original = DemandTotals._add_up
    monkeypatch.setattr(
        DemandTotals,
        '_add_up',
        lambda self, now: calls.append(now) or original(self, now),
    )
    report(totals, state, 'a', count=3)
    for _ in range(50):
        others(totals, 'a', clock)
    assert len(calls) == 1
    later(state, clock, SUM_PERIOD_S + 0.01)
    others(totals, 'a', clock)
    assert len(calls) == 2


# Guards against an entry that takes off another report than the sums include.
def test_report_that_the_sums_include_is_taken_off():
    sent = SentReports('z1')
    for count in range(1, 100):
        sent.encode(running(count))
    sums = {'z1': running(200), 'z2': running(5)}
    assert counts(sent.exclude(sums, 98)) == {'z1': 102, 'z2': 5}
    assert counts(sent.exclude(sums, None)) == counts(sums)
    assert counts(sent.exclude(sums, 12345)) == {'z1': 101, 'z2': 5}
    assert len(sent._sent) == REMEMBERED_REPORTS
    assert counts(SentReports('z1').exclude(sums, 5)) == counts(sums)
    assert sent.encode(None) is None


class DemandNetwork(EntryNetwork):
    """Entries, each of which has a number of running requests."""

    def __init__(self, zones, entries_per_zone, route_list=tuple(ROUTES)):
        super().__init__(zones, entries_per_zone, route_list)
        for position, one in enumerate(self.entries.values()):
            for _ in range(position + 1):
                one.board.own_demand.record_start('model', 0, 'crew', 100, 0)
        self.sent = []

    def running(self, name):
        return list(self.entries).index(name) + 1

    def expected(self, name):
        """Return what all entries except one have running, by zone."""
        sums = {}
        for other, one in self.entries.items():
            known = sums.setdefault(one.zone, 0)
            sums[one.zone] = known + self.running(other) * (other != name)
        return sums

    def known(self, name):
        table = self.entries[name].board.demand
        return {
            zone: table.at(zone, 'model').total.running
            for zone in table.zones()
        }

    def fresh(self):
        return {
            name
            for name, one in self.entries.items()
            if one.board.demand.is_fresh(self.loop.now)
        }

    def time_until(self, names, is_fresh, limit_s):
        """Return when all named entries first have, or lack, valid sums."""
        begin = self.loop.now
        while self.loop.now - begin < limit_s:
            have = self.fresh()
            if all((name in have) == is_fresh for name in names):
                return self.loop.now - begin
            self.run(STEP_S)
        return float('inf')


@pytest.fixture
def make_network():
    networks = []

    def make(*args):
        networks.append(DemandNetwork(*args))
        networks[-1].run(8)
        return networks[-1]

    yield make
    for network in networks:
        network.close()


# Guards against demand that some entry never hears of.
def test_all_entries_know_the_demand_of_all_zones(make_network):
    network = make_network(3, 5)
    for name in network.entries:
        assert network.known(name) == network.expected(name), name


# Guards against sums that lapse from time to time while nothing is wrong.
def test_sums_stay_valid_while_all_is_well(make_network):
    network = make_network(3, 4)
    for _ in range(300):
        network.run(STEP_S)
        assert network.fresh() == set(network.entries)


# Guards against decisions on bursts that are over: one of a rank lasts 3 to 7 s.
def test_a_change_is_known_in_all_zones_within_three_seconds(make_network):
    network = make_network(3, 4)
    delays = []
    for moment in range(8):
        network.run(0.37)
        source = network.entries['z1-e02']
        source.board.own_demand.set_waiting('model', 1, 100 + moment)
        begin = network.loop.now
        left = set(network.entries) - {source.name}
        while left:
            network.run(STEP_S)
            left -= {
                name
                for name in left
                if network.entries[name]
                .board.demand.at('z1', 'model')
                .ranks.get(1, RankDemand())
                .waiting
                == 100 + moment
            }
            delays.append(network.loop.now - begin)
            assert delays[-1] < 10
    assert max(delays) <= 3.5


# Guards against sums of before an outage of the store, or of half the zones.
def test_sums_expire_while_the_store_is_away(make_network):
    network = make_network(3, 4)
    for name in network.entries:
        network.cut(name, STORE)
    everyone = set(network.entries)
    lapsed_s = network.time_until(everyone, False, 10)
    assert DEMAND_TTL_S - 1 <= lapsed_s <= 2 * DEMAND_TTL_S
    for _ in range(int(8 / STEP_S)):
        network.run(STEP_S)
        assert network.fresh() == set()
    own = network.entries['z0-e00'].board
    estimate = own.demand_estimate(network.loop.now)
    assert estimate.at('z0', 'model').total.running >= 1
    for name in network.entries:
        network.restore(name, STORE)
    assert network.time_until(everyone, True, 10) <= 6


# Guards against entries that go by the last sums of a reader that is gone.
def test_sums_expire_when_a_reader_dies(make_network):
    network = make_network(3, 4)
    network.loop.pause('z0-e00')
    others = set(network.entries) - {'z0-e00'}
    fed = {name for name in others if name.startswith('z0')}
    for _ in range(int(DEMAND_TTL_S * 2 / STEP_S)):
        network.run(STEP_S)
        for name in network.fresh() & fed:
            table = network.entries[name].board.demand
            assert network.loop.now - table._updated_at <= DEMAND_TTL_S
    assert network.time_until(others, True, 10) <= 6
    # The entry that is gone counts no longer, and no other one twice.
    network.run(ENTRY_LIST_TIMEOUT_S)
    for name in others:
        expected = network.expected(name)
        expected['z0'] -= network.running('z0-e00')
        assert network.known(name) == expected, name


# Guards against sums that last while nobody can be asked for others.
def test_sums_expire_at_an_entry_that_reaches_nobody(make_network):
    network = make_network(3, 4)
    name = 'z0-e02'
    network.cut(name, STORE, *(set(network.entries) - {name}))
    lapsed_s = network.time_until({name}, False, 10)
    assert DEMAND_TTL_S - 1 <= lapsed_s <= DEMAND_TTL_S + 2 * STEP_S
    assert network.fresh() == set(network.entries) - {name}


# Guards against an entry that goes by sums of before it froze.
def test_entry_that_returns_after_a_freeze(make_network):
    network = make_network(2, 4)
    name = 'z0-e02'
    frozen = network.entries[name]
    network.loop.pause(name)
    network.run(6)
    # Its demand no longer counts for the others.
    sums = network.known('z0-e01')
    expected = network.expected('z0-e01')
    assert sums['z0'] == expected['z0'] - network.running(name)
    assert not frozen.board.demand.is_fresh(network.loop.now)
    assert frozen.board.own_demand.report(network.loop.now)['model'].ranks[
        0
    ] == RankDemand(running=network.running(name))
    network.loop.resume(name)
    assert network.time_until({name}, True, 10) <= 3
    network.run(4)
    assert network.known('z0-e01') == expected


# Guards against demand of a zone that is cut off, or idle zones behind the cut.
def test_sums_expire_on_both_sides_of_a_cut(make_network):
    network = make_network(3, 4)
    inside = {name for name in network.entries if name.startswith('z2')}
    outside = set(network.entries) - inside
    for name in inside:
        network.cut(name, STORE, *outside)
    lapsed_s = network.time_until(inside, False, 10)
    assert lapsed_s <= 2 * DEMAND_TTL_S
    network.run(max(0, ENTRY_LIST_TIMEOUT_S + 1 - lapsed_s))
    # Outside, the zone is neither listed nor counted any more.
    assert network.fresh() == outside
    for name in outside:
        expected = network.expected(name)
        expected.pop('z2')
        assert network.known(name) == expected, name
    for name in inside:
        network.restore(name, STORE, *outside)
    assert network.time_until(set(network.entries), True, 10) <= 6


def test_sums_lapse_outside_a_cut_until_the_zone_is_no_longer_listed(
    make_network,
):
    network = make_network(3, 4)
    inside = {name for name in network.entries if name.startswith('z2')}
    outside = set(network.entries) - inside
    for name in inside:
        network.cut(name, STORE, *outside)
    assert network.time_until(outside, False, 10) <= ENTRY_LIST_TIMEOUT_S


# Guards against an entry whose clock spoils the sums of all others.
def test_clock_an_hour_ahead_has_no_effect(make_network):
    network = make_network(2, 4)
    ahead = network.entries['z0-e02'].board
    ahead.own_demand = type(ahead.own_demand)()
    now = network.loop.now + 3600
    for _ in range(3):
        ahead.own_demand.record_start('model', 0, 'crew', 100, now)
    clock = ahead.clock
    ahead.clock = lambda: clock() + 3600
    network.run(3)
    for name in set(network.entries) - {'z0-e02'}:
        assert network.known(name) == network.expected(name), name


# Guards against further fields where no service asks for them.
def test_messages_are_as_before_while_not_enabled(make_network, monkeypatch):
    network = make_network(2, 3, tuple(ROUTES[:1]))
    assert network.fresh() == set()
    lengths = {
        len(cbor2.loads(record.value))
        for record, _ in network.store.topics[Topic.ENTRIES]
    }
    assert lengths == {2}
    seen = []
    for one in network.entries.values():
        decode = one.page.decode

        def spy(req, decode=decode):
            raw = req.content.read()
            seen.append(raw)
            req.content.read = lambda: raw
            return decode(req)

        one.page.decode = spy
    network.run(2)
    assert seen
    assert {len(cbor2.loads(raw)) for raw in seen} == {3}
    assert all(decode_feed_request(raw).unwrap().demand is None for raw in seen)


# Guards against reads of the heartbeats that no service asks for.
@pytest.mark.parametrize(
    ('route_list', 'most'), [(ROUTES[:1], 0.7), (ROUTES, 2.0)]
)
def test_reads_of_heartbeats_for_each_reader(make_network, route_list, most):
    network = make_network(2, 3, tuple(route_list))
    before = len(network.store.calls)
    network.run(10)
    reads = [
        name
        for _, name, topic in network.store.calls[before:]
        if topic is Topic.ENTRIES
    ]
    writes = [
        at
        for _, at in network.store.topics[Topic.ENTRIES]
        if at > network.loop.now - 10
    ]
    readers = len(network.readers())
    assert (len(reads) - len(writes)) / readers / 10 <= most


# Guards against a mixed system in which earlier builds count as idle.
def test_entries_of_an_earlier_build_count_as_mean(make_network, monkeypatch):
    network = make_network(2, 4)
    for one in network.entries.values():
        totals = one.heartbeats.demand
        monkeypatch.setattr(
            totals,
            'record_report',
            lambda fed, raw, now, record=totals.record_report: record(
                fed, None if fed.name in ('z0-e02', 'z0-e03') else raw, now
            ),
        )
    network.run(4)
    reported = network.running('z0-e00') + network.running('z0-e01')
    others = reported * 4 / 2
    assert network.known('z1-e01')['z0'] == others


def test_readers_of_an_earlier_build_do_not_end_the_sums(make_network):
    network = make_network(2, 4)
    for name, one in network.entries.items():
        if name.startswith('z1'):
            one.heartbeats.demand.of_fed = lambda now: None
    network.run(6)
    assert network.time_until({'z0-e00', 'z0-e01'}, True, 1) <= 1
    sums = network.known('z0-e01')
    assert sums['z0'] == network.expected('z0-e01')['z0']
    assert sums['z1'] == network.expected('')['z0']
