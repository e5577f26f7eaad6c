from dataclasses import replace

import pytest

from foxtailhatch.core import Holding, LayerRange, LoadReport
from foxtailhatch.durable.desired_state import (
    DESIRED_STATE_STREAM,
    DesiredState,
    DesiredStateRecord,
    DesiredStateTable,
    encode_desired_state,
    may_serve,
    record_to_refresh,
)
from foxtailhatch.durable.lease_holder import HeldLease
from foxtailhatch.durable.load_rate_limiter import LoadRateLimiter
from foxtailhatch.durable.orders import (
    MIN_IDLE_S,
    PROPAGATION_S,
    RESEND_INTERVAL_S,
    OrderController,
)
from tests.durable.fake_log import FakeLog

OLD = Holding('guide', 'v1', LayerRange(0, 2))
NEW = Holding('guide', 'v2', LayerRange(0, 2))
LAYER_BYTES = 10
LEASE = HeldLease(7, 1e9)


class FakeEngine:
    """An engine that applies orders at once; it may ignore fencing tokens."""

    def __init__(self, checks_fencing=False):
        self.checks_fencing = checks_fencing
        self.fence = -1
        self.holdings = (OLD,)
        self.streams = 0
        self.interrupted = 0

    def order(self, order):
        if self.checks_fencing and order.fence < self.fence:
            return False
        if self.streams and not set(self.holdings) <= set(order.holdings):
            self.interrupted += 1
        self.fence = max(self.fence, order.fence)
        self.holdings = order.holdings
        return True

    def report(self, now):
        return LoadReport('e', now, self.streams, 0, 0.01, 8, self.holdings)


def controller(rate=1e9):
    orders = OrderController(LoadRateLimiter(rate))
    orders.layer_bytes = {
        ('guide', 'v1'): LAYER_BYTES,
        ('guide', 'v2'): LAYER_BYTES,
    }
    return orders


def desired(*holdings, logged_at=0.0, fence=7):
    return {'e': DesiredState(fence, holdings, logged_at)}


def run(orders, engine, desired_states, start=0, end=60, lease=LEASE):
    sent_at = []
    for now in range(start, end):
        reports = {'e': engine.report(now)}
        for action in orders.step(now, lease, desired_states, reports):
            sent_at.append(now)
            if not engine.order(action.order):
                orders.handle_refusal(action.order)
    return sent_at


def test_an_engine_gets_one_order_to_its_desired_state():
    engine = FakeEngine()
    sent_at = run(controller(), engine, desired(NEW))
    assert sent_at == [PROPAGATION_S + MIN_IDLE_S]
    assert engine.holdings == (NEW,)


def test_holdings_are_not_removed_during_an_answer():
    engine, orders = FakeEngine(), controller()
    engine.streams = 1
    assert run(orders, engine, desired(NEW)) == []
    engine.streams = 0
    assert run(orders, engine, desired(NEW), 60, 120) == [60 + MIN_IDLE_S]
    assert engine.interrupted == 0


def test_a_holding_is_added_during_answers():
    engine = FakeEngine()
    engine.streams = 1
    assert run(controller(), engine, desired(OLD, NEW)) == [0]
    assert engine.interrupted == 0


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_an_order_of_a_paused_holder_is_corrected(checks_fencing):
    engine, present = FakeEngine(checks_fencing), controller()
    paused = controller().step(
        PROPAGATION_S,
        HeldLease(3, 1e9),
        {'e': DesiredState(3, (OLD, NEW), 0.0)},
        {'e': engine.report(PROPAGATION_S)},
    )
    run(present, engine, desired(NEW))
    engine.order(paused[0].order)
    assert (engine.holdings == (NEW,)) == checks_fencing
    run(present, engine, desired(NEW), 60, 120)
    assert engine.holdings == (NEW,)


def test_a_holder_without_a_lease_sends_nothing():
    assert run(controller(), FakeEngine(), desired(NEW), lease=None) == []


def test_a_refused_holder_stops_until_it_has_a_higher_fencing_token():
    engine, orders = FakeEngine(checks_fencing=True), controller()
    engine.fence = 9
    assert len(run(orders, engine, desired(NEW), end=200)) == 1
    higher = replace(LEASE, fence=12)
    assert len(run(orders, engine, desired(NEW), 200, 260, higher)) == 1
    assert engine.holdings == (NEW,)


def test_a_lost_order_is_sent_again_but_not_at_once():
    engine, orders = FakeEngine(), controller()
    engine.order = lambda order: True
    sent_at = run(orders, engine, desired(NEW), end=100)
    assert len(sent_at) > 1
    assert sent_at[1] - sent_at[0] >= RESEND_INTERVAL_S


def test_loads_are_limited_to_the_rate_of_the_weight_store():
    rate = 2 * LAYER_BYTES / 10
    orders = controller(rate)
    engines = {f'e{number}': FakeEngine() for number in range(20)}
    desired_states = {
        name: DesiredState(7, (OLD, NEW), 0.0) for name in engines
    }
    loaded = 0
    for now in range(100):
        reports = {name: engine.report(now) for name, engine in engines.items()}
        for action in orders.step(now, LEASE, desired_states, reports):
            engines[action.endpoint].order(action.order)
            loaded += len(NEW.layers) * LAYER_BYTES
        assert loaded <= rate * (now + 1) + len(NEW.layers) * LAYER_BYTES
    assert loaded >= rate * 50


def test_layers_of_unknown_size_are_not_loaded():
    orders = controller()
    orders.layer_bytes.clear()
    assert run(orders, FakeEngine(), desired(OLD, NEW)) == []


def test_a_record_of_an_earlier_holder_is_ignored():
    log = FakeLog()
    for fence, holding in ((3, OLD), (7, NEW), (3, OLD)):
        append = encode_desired_state(
            DesiredStateRecord(fence, 'e', (holding,))
        )
        log.append(append.stream, append.body, 1.0)
    log.append(DESIRED_STATE_STREAM, b'\xff', 1.0)
    table = DesiredStateTable()
    table.apply_page(log.read(DESIRED_STATE_STREAM, 0, 2.0).unwrap())
    assert table.by_endpoint['e'].holdings == (NEW,)
    assert table.next_offset == 4
    assert not may_serve(
        table.by_endpoint['e'], 'guide', 'v1', LayerRange(0, 2)
    )
    assert may_serve(table.by_endpoint['e'], 'guide', 'v2', LayerRange(0, 1))
    assert may_serve(None, 'guide', 'v1', LayerRange(0, 2))


def table_of(log, now):
    table = DesiredStateTable()
    table.apply_page(log.read(DESIRED_STATE_STREAM, 0, now).unwrap())
    return table


def append_record(log, record, now):
    append = encode_desired_state(record)
    log.append(append.stream, append.body, now)


def test_a_new_holder_fences_off_late_records_of_the_previous_one():
    log = FakeLog()
    append_record(log, DesiredStateRecord(3, 'e', (NEW,)), 1.0)
    refreshed = record_to_refresh(2.0, table_of(log, 2.0), 7, 1000)
    assert refreshed == DesiredStateRecord(7, 'e', (NEW,))
    append_record(log, refreshed, 2.0)
    append_record(log, DesiredStateRecord(3, 'e', (OLD,)), 3.0)
    assert table_of(log, 3.0).by_endpoint['e'].holdings == (NEW,)


def test_desired_states_are_rewritten_before_they_expire():
    log = FakeLog(retention_s=1000)
    append_record(log, DesiredStateRecord(7, 'e', (NEW,)), 0.0)
    append_record(log, DesiredStateRecord(7, 'f', (OLD,)), 1.0)
    for now in range(0, 5000, 10):
        refreshed = record_to_refresh(now, table_of(log, now), 7, 1000)
        if refreshed:
            append_record(log, refreshed, now)
    assert set(table_of(log, 5000).by_endpoint) == {'e', 'f'}
    assert len(log.streams[DESIRED_STATE_STREAM].records) < 20
