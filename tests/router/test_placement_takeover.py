"""A new holder of the lease goes on with what the one before has begun."""

import pytest
from returns.result import Success

from foxtailhatch.core import LayerRange
from foxtailhatch.placement import OrderReason
from foxtailhatch.placement.reports import EngineReport
from tests.router.engine_pool import Entry
from tests.router.test_placement_controller import make_zone, placed_world
from tests.router.test_placement_steps import leave_each_zone, settled_pool

COUNTS = {'large': 2, 'middle': 5, 'small': 8}


# Guards against orders that engines refused, as the new holder did not know how
# many they had accepted, and against layers ordered twice.
@pytest.mark.parametrize('after_s', [0.1, 0.3, 0.6, 1.0, 1.5])
def test_takeover_goes_on_with_orders_under_way(after_s):
    pool, _ = settled_pool(COUNTS, ('z1', 'z2'), lag_s=0.3)
    second = Entry(pool, 'entry-2')
    leave_each_zone(pool, ('z1', 'z2'), 2)
    pool.run(after_s)
    second.hold(2)
    pool.run(13)
    # Both give orders until the handover is over.
    assert len(pool.refused()) <= 0.05 * len(pool.orders)
    assert pool.faults == []
    assert pool.ticks_without_chain == 0


# Guards against a new layout by a holder that took layers which others were
# loading for lost.
def test_takeover_during_loads_does_not_lay_out_anew():
    pool, _ = settled_pool(COUNTS)
    second = Entry(pool, 'entry-2')
    pool.leave('z1-middle2')
    pool.run(0.4)
    second.hold(2)
    pool.run(10)
    reasons = {line['why'] for line in second.log.of('order')}
    assert OrderReason.FULL_RELAYOUT not in reasons


# Guards against layers that a new holder lets go before it knows the last orders
# of the one before.
def test_new_holder_takes_no_layers_before_its_view_is_complete():
    pool, _ = settled_pool(COUNTS)
    second = Entry(pool, 'entry-2')
    pool.leave('z1-middle2')
    pool.run(0.4)
    second.hold(2)
    taken_at = pool.clock.now
    held = {name: known.layers for name, known in pool.engines.items()}
    pool.run(1.3)
    for entry, name, layers, _, at in pool.orders:
        if entry == 'entry-2' and at - taken_at < 1.3 and held[name]:
            assert layers.covers(held[name])


# Guards against plans that wait for an engine that gives no report.
def test_takeover_goes_on_without_a_silent_engine():
    pool, first = settled_pool(COUNTS)
    second = Entry(pool, 'entry-2')
    second.silent.add('z1-small3')
    pool.entries.remove(first)
    pool.leave('z1-middle2')
    second.hold(2)
    pool.run(0.5)
    ordered = {name for entry, name, *_ in pool.begun() if entry == 'entry-2'}
    assert ordered
    assert 'z1-small3' not in ordered


# Guards against a plan that waits for an order that is never completed.
def test_plan_goes_on_without_an_engine_that_never_finishes():
    pool, _ = settled_pool(COUNTS)
    pool.leave('z1-middle2')
    pool.run(0.1)
    stuck = pool.begun()[0][1]
    pool.engines[stuck].never_finishes = True
    pool.run(25)
    staying = pool.served()
    assert staying.is_whole('z1')
    assert pool.faults == []


# Guards against an order that counts as done by a report from before it.
def test_report_from_before_an_order_does_not_complete_it():
    world = placed_world()
    report = world.engines.report
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    before = dict(world.engines.reports)

    async def late_report(target, timeout_s=0.4):
        return Success(before.get(target.name, EngineReport()))

    world.engines.report = late_report
    world.run(1)
    ordered = {name for name, _ in world.engines.orders[-4:]}
    pending = set(world.controller._pending)
    assert ordered & pending
    done = {line['endpoint'] for line in world.log.of('order_done')[12:]}
    assert not done & pending
    world.engines.report = report
    world.run(8)
    assert not world.controller._pending


# Guards against a plan with what an engine held before it has started again.
def test_report_of_another_incarnation_is_not_planned_with():
    world = placed_world()
    for name in world.board.endpoints.names():
        known = world.engines.reports[name]
        world.engines.reports[name] = EngineReport(
            orders=0, layers=None, incarnation=2
        )
        assert known.layers
    world.lease.acquisitions += 1
    count = len(world.engines.orders)
    world.run(0.5)
    assert len(world.engines.orders) == count
    assert make_zone()[0].name in world.controller._pending


# Guards against a report that is believed over what the list says, if it differs
# once only: it may have been written before an order.
def test_report_that_differs_from_the_list_is_asked_for_again():
    world = placed_world()
    held = world.board.endpoints.get('e03').layers
    world.engines.reports['e03'] = EngineReport(
        orders=1, layers=LayerRange(0, 1)
    )
    world.lease.acquisitions += 1
    world.clock.now += 0.1
    world.run(0.25)
    assert world.board.endpoints.get('e03').layers == held
    world.run(0.5)
    assert world.board.endpoints.get('e03').layers != held


# Guards against orders that engines refuse, as the holder before has given them
# others after they were asked for their first report.
@pytest.mark.parametrize('after_s', [0.1, 0.5, 1.0])
def test_orders_of_the_holder_before_are_known_during_the_handover(after_s):
    pool, first = settled_pool(COUNTS)
    second = Entry(pool, 'entry-2')
    second.hold(2)
    pool.run(after_s)
    leaving = pool.engines['z1-middle2']
    gap = leaving.layers
    for known in list(pool.engines.values()):
        if known.layers and known.layers.end == gap.first:
            known.target, known.orders = known.layers, known.orders + 1
            known.loaded_at = pool.clock.now + 0.5
    pool.leave(leaving.name)
    pool.run(8)
    assert second.log.of('order')
    assert [order for order in pool.refused() if order[0] == 'entry-2'] == []
    assert pool.served().is_whole('z1')
