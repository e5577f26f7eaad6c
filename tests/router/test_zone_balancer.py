"""Balance of the requests of one entry over zones."""

from collections import Counter
from dataclasses import replace
from itertools import pairwise
from random import Random
from types import SimpleNamespace

import pytest
from twisted.internet.testing import MemoryReactorClock

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import Work
from foxtailhatch.fleet.demand import DEMAND_TTL_S, RankDemand, ServiceDemand
from foxtailhatch.relay.context import SelectedStage, SelectionRequest
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.entry_table import EntryRecord, Heartbeat
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.relay_context import (
    RelayObservers,
    build_relay_context,
)
from foxtailhatch.router.zone_balancer import ZoneBalancer
from foxtailhatch.routes import RoutingTable
from tests.chains.test_shared_link_overload import REQUEST, engine
from tests.relay.fakes import ListLog, start_relay
from tests.router.fakes import Clock, board
from tests.routes.configurations import ENGINE, MODEL, configuration

ZONES = ('z1', 'z2', 'z3')
LINK_BYTES_PER_S = 340e6
LIMITED = replace(
    MODEL, engine=replace(ENGINE, zone_link_bytes_per_s=LINK_BYTES_PER_S)
)
# One replica holds 46,900 tokens: 25.6 requests a second of the usual size,
# which last two seconds.
REPLICA_PER_S = 25.6
CHAIN_BYTES = 917 * ENGINE.activation_bytes


def replica(zone, number):
    return [
        engine(f'{zone}-{number}-{first}', zone, (first, first + 16), 'large')
        for first in range(0, 80, 16)
    ]


def entry_records(count):
    return [
        EntryRecord(f'e{n}', ZONES[n % 3], 'here', f'{n}:1', f'{n}:2', 1, True)
        for n in range(count)
    ]


class Entry:
    """An entry of the first zone, with engines and sums of demand."""

    def __init__(
        self, replicas=(1, 2, 2), service=LIMITED, lost=(), seed=1, entries=30
    ):
        self.clock = Clock()
        self.service = service
        self.board = board(self.clock, configuration(services=(service,)))
        self.board.cfg = replace(self.board.cfg, instance='e0')
        heartbeat = Heartbeat(entry_records(entries), {})
        self.board.entries.record_heartbeat('e0', heartbeat, self.clock())
        for zone, count in zip(ZONES, replicas, strict=True):
            for number in range(count):
                for live in replica(zone, number):
                    if live.name not in lost:
                        self.board.endpoints.put(live, self.clock())
        self.log = ListLog()
        self.metrics = SimpleNamespace(shares={}, refused=0)
        self.balancer = ZoneBalancer(self.board, Random(seed), self.log, self)
        self.selector = LoadAwareSelector(
            self.board, Random(seed), self.balancer
        )

    def record_zone_shares(self, service, shares):
        self.metrics.shares = shares

    def record_crossing_refused(self):
        self.metrics.refused += 1

    def demand(self, *per_s):
        """Bring sums of demand, in requests a second by zone."""
        self.board.demand.update(
            {
                zone: {
                    'model': ServiceDemand(
                        {0: RankDemand(0, 2 * rate, rate, 0, 917 * rate)}
                    )
                }
                for zone, rate in zip(ZONES, per_s, strict=True)
            },
            self.clock(),
        )

    def work(self, zone, work):
        """Bring totals of work, alike at all engines of a zone."""
        self.board.update_peer_work(
            {
                live.name: work
                for live in self.board.endpoints.of_service('model')
                if live.zone == zone
            },
            self.clock(),
        )

    def select(self, **constraints):
        chosen = self.selector.select(
            SelectionRequest(self.service, REQUEST, **constraints),
            self.clock(),
        )
        return chosen

    def zones(self, **constraints):
        """Return the zones of a chain, or ``None`` if there is none."""
        chosen = self.select(**constraints)
        return chosen and [stage.endpoint.zone for stage in chosen]

    def drawn(self, count=600):
        return Counter(self.zones()[0] for _ in range(count))

    def send(self, **constraints):
        """Select a chain and start it, as an attempt does."""
        chosen = self.select(**constraints)
        if chosen is not None:
            self.balancer.record_chain(
                chosen, REQUEST.tokens.expected, self.clock()
            )
        return chosen


def hops(zones):
    return sum(one != other for one, other in pairwise(zones))


def test_even_zones_are_chosen_as_without_a_balancer():
    """Where no zone is short of capacity, nothing may change."""
    entry = Entry(replicas=(1, 1, 1))
    entry.demand(15, 15, 15)
    entry.work('z1', Work(96, 96, 500_000))
    plain = LoadAwareSelector(entry.board, Random(1))
    expected = plain.select(
        SelectionRequest(entry.service, REQUEST), entry.clock()
    )
    assert entry.select() == expected
    assert not entry.balancer.is_enabled(entry.service, entry.clock())
    assert entry.metrics.shares == {'z1': 1, 'z2': 0, 'z3': 0}


def test_engines_in_one_zone_only_are_not_balanced():
    entry = Entry(replicas=(2, 0, 0))
    entry.demand(15, 15, 15)
    assert entry.zones() == ['z1'] * 5
    assert entry.metrics.shares == {}


def test_excess_is_drawn_in_proportion_to_spare_capacity():
    """All entries of a zone would turn to the same other zone otherwise."""
    entry = Entry()
    kept = 0.8 * REPLICA_PER_S
    entry.demand(2 * kept, 1.2 * kept, 1.6 * kept)
    drawn = entry.drawn()
    assert drawn['z1'] == pytest.approx(300, abs=50)
    assert drawn['z2'] == pytest.approx(200, abs=50)
    assert drawn['z3'] == pytest.approx(100, abs=40)


def test_zone_that_is_full_leaves_the_request_to_the_next_one():
    """Sums of demand are an average; engines may be full all the same."""
    entry = Entry()
    entry.demand(10, 10, 20)
    entry.work('z1', Work(96, 96, 500_000))
    drawn = entry.drawn(200)
    assert drawn['z1'] == 0
    assert min(drawn['z2'], drawn['z3']) > 40


def test_busy_zone_that_is_not_full_keeps_its_requests():
    """Entries that leave it at the target load overrun other zones."""
    entry = Entry()
    entry.demand(10, 10, 20)
    entry.work('z1', Work(10, 10, 42_000))
    assert entry.drawn(100) == {'z1': 100}


def test_without_fresh_sums_each_zone_serves_its_own_demand():
    """The store is away: nothing is known of the others."""
    entry = Entry()
    entry.demand(40, 10, 20)
    assert entry.drawn(100)['z1'] < 80
    entry.clock.now += DEMAND_TTL_S + 0.01
    assert entry.drawn(100) == {'z1': 100}


def test_without_fresh_sums_a_zone_without_a_chain_uses_the_others():
    entry = Entry(lost=['z1-0-32'])
    assert set(entry.drawn(100)) == {'z2', 'z3'}


def test_zone_without_a_chain_sends_its_requests_to_all_others():
    """The zones with chains take them by what they have to spare."""
    entry = Entry(lost=['z1-0-32'])
    entry.demand(10, 0.8 * 2 * REPLICA_PER_S - 10, 0.8 * 2 * REPLICA_PER_S - 30)
    drawn = entry.drawn()
    assert drawn['z2'] == pytest.approx(150, abs=45)
    assert drawn['z3'] == pytest.approx(450, abs=45)


def test_lost_zone_gets_nothing_at_once():
    """A zone that is cut off has no engines alive here, and gets no work."""
    entry = Entry()
    entry.demand(40, 10, 10)
    assert entry.drawn(100)['z2'] > 0
    for live in entry.board.endpoints.of_service('model'):
        if live.zone == 'z2':
            entry.board.endpoints.mark_dead(live.name, 1, entry.clock())
    assert set(entry.drawn(100)) == {'z1', 'z3'}


def test_zone_that_returns_regains_its_load_gradually():
    entry = Entry()
    entry.demand(40, 10, 40)
    share = entry.drawn(300)['z2'] / 300
    z2 = [
        live
        for live in entry.board.endpoints.of_service('model')
        if live.zone == 'z2'
    ]
    for live in z2:
        entry.board.endpoints.mark_dead(live.name, 1, entry.clock())
    entry.select()
    for live in z2:
        entry.board.endpoints.revive(live.name, 1)
    assert entry.drawn(300)['z2'] == 0
    shares = []
    for _ in range(12):
        entry.clock.now += 0.25
        entry.demand(40, 10, 40)
        entry.select()
        shares.append(entry.metrics.shares['z2'])
    assert shares == sorted(shares)
    assert shares[0] < share / 2
    assert shares[-1] == pytest.approx(share, abs=0.08)


def test_no_chain_crosses_zones_while_one_zone_is_complete():
    """Chains that borrow engines of another zone fill the shared link."""
    entry = Entry(lost=['z1-0-32', 'z2-0-0', 'z2-1-0'])
    entry.demand(10, 10, 10)
    for _ in range(100):
        assert hops(entry.zones()) == 0


NO_ZONE_IS_WHOLE = ['z1-0-32', 'z2-0-48', 'z2-1-48', 'z3-0-0', 'z3-1-0']


def test_crossings_stay_within_the_limit_if_no_zone_is_complete():
    """All requests that need a crossing would queue for the link."""
    entry = Entry(lost=NO_ZONE_IS_WHOLE)
    started = 0
    for _ in range(6000):
        entry.clock.now += 0.05
        entry.demand(10, 10, 10)
        heartbeat = Heartbeat(entry_records(30), {})
        entry.board.entries.record_heartbeat('e0', heartbeat, entry.clock())
        if entry.clock.now % 1 < 0.5 and started > 100:
            continue
        chosen = entry.send()
        if chosen is not None:
            zones = [stage.endpoint.zone for stage in chosen]
            started += hops(zones) * REQUEST.tokens.expected
    allowed = 0.5 * LINK_BYTES_PER_S / 30 * 300
    sent = started * ENGINE.activation_bytes
    assert 0.6 * allowed < sent <= allowed + 2 * CHAIN_BYTES
    assert entry.metrics.refused > 1000
    assert len(entry.log.of('crossing_limited')) <= 301


def test_without_the_rate_of_the_link_crossings_are_not_limited():
    entry = Entry(lost=NO_ZONE_IS_WHOLE, service=MODEL)
    entry.demand(10, 10, 10)
    assert all(entry.send() for _ in range(50))


def test_reroute_crosses_zones_only_within_the_limit():
    """New stages read all tokens so far, over the same link."""
    entry = Entry(lost=['z1-0-32'])
    entry.demand(10, 10, 10)
    head = entry.board.endpoints.get('z1-0-0')
    first = SelectedStage(head, LayerRange(0, 16))
    outcomes = []
    for _ in range(1500):
        entry.clock.now += 0.05
        outcomes.append(entry.send(first=first))
        heartbeat = Heartbeat(entry_records(30), {})
        entry.board.entries.record_heartbeat('e0', heartbeat, entry.clock())
    started = [chosen for chosen in outcomes if chosen]
    assert 1 <= len(started) <= 12
    assert all(chosen[0] == first for chosen in started)


def test_reroute_stays_in_the_zone_of_its_head():
    entry = Entry(replicas=(2, 2, 2))
    entry.demand(40, 10, 10)
    head = entry.board.endpoints.get('z1-0-0')
    first = SelectedStage(head, LayerRange(0, 16))
    assert {*entry.zones(first=first)} == {'z1'}


def test_split_is_not_computed_for_each_request(monkeypatch):
    """An entry has 2.9 % of a core for all control."""
    entry = Entry()
    entry.demand(40, 10, 10)
    computed = []
    estimate = type(entry.board).demand_estimate
    monkeypatch.setattr(
        type(entry.board),
        'demand_estimate',
        lambda env, now: computed.append(now) or estimate(env, now),
    )
    for _ in range(100):
        entry.clock.now += 0.01
        entry.select()
    assert len(computed) <= 5
    before = len(computed)
    entry.board.endpoints.mark_dead('z2-0-0', 1, entry.clock())
    entry.select()
    entry.select()
    assert len(computed) == before + 1


def test_change_of_the_split_is_logged():
    entry = Entry()
    entry.demand(40, 10, 10)
    entry.select()
    [line] = entry.log.of('zone_split')
    assert line['service'] == 'model'
    assert line['demand'] == {'z1': 40, 'z2': 10, 'z3': 10}
    assert sum(line['split'].values()) == pytest.approx(1, abs=0.02)
    for _ in range(20):
        entry.clock.now += 0.25
        entry.demand(40, 10, 10)
        entry.select()
    assert len(entry.log.of('zone_split')) == 1


def test_metrics_show_shares_and_refused_crossings():
    metrics = RouterMetrics('e1')
    metrics.record_zone_shares('model', {'z1': 0.75, 'z2': 0.25})
    metrics.record_crossing_refused()
    page = metrics.render(0, 0).decode()
    assert 'zone_share{instance="e1",service="model",zone="z2"} 0.25' in page
    assert 'crossings_refused{instance="e1"} 1' in page


def test_balancer_is_wired_into_the_router():
    """A balancer that nobody asks, or that is not told of chains, is idle."""
    entry = Entry(lost=NO_ZONE_IS_WHOLE, entries=1)
    metrics = RouterMetrics('e1')
    context = build_relay_context(
        entry.board,
        None,
        MemoryReactorClock(),
        Random(1),
        RelayObservers(entry.log, metrics, None, None),
    )
    started = 0
    for _ in range(20):
        entry.clock.now += 0.05
        chosen = context.selector.select(
            SelectionRequest(LIMITED, REQUEST), entry.clock()
        )
        if chosen is not None:
            context.on_chain(chosen, 900, entry.clock())
            started += 1
    # A second of half of the link, for chains of two hops or more.
    assert 1 <= started <= 4
    assert b'zone_share' in metrics.render(0, 0)


def test_attempts_and_moves_report_their_chains():
    """Chains that are not reported would use the link without credit."""
    env = start_relay(layered=True)
    chains = []
    env.context.on_chain = lambda *chain: chains.append(chain)
    env.accept_connection().close()
    [(chosen, tokens, _)] = chains
    assert chosen == env.relay.attempt.chosen
    assert tokens == 140
    moved = (*chosen, *chosen)
    env.relay.attempt.switch_chain(moved)
    assert chains[-1][0] == moved


def test_new_configuration_replaces_the_engine_parameters():
    entry = Entry()
    entry.demand(40, 10, 10)
    entry.select()
    larger = replace(ENGINE, kv_bytes=ENGINE.kv_bytes / 4)
    service = replace(MODEL, engine=larger)
    entry.board.table = RoutingTable(configuration(2, services=(service,)))
    entry.service = service
    entry.demand(40, 10, 10)
    entry.select()
    # Four times the KV tokens, so that the 96 slots of the head limit it.
    assert entry.metrics.shares['z1'] == pytest.approx(0.8 * 96 / 2 / 40)
