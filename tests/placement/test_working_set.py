"""Stragglers in a pipeline: a slow stage delays every token of every chain."""

from dataclasses import replace

import pytest

from foxtailhatch.core import LayerRange
from foxtailhatch.placement import (
    Accelerator,
    ModelReplicas,
    OrderReason,
    plan_placement,
)
from foxtailhatch.placement.layout import uncovered_ranges
from foxtailhatch.placement.plan import KV_TOKENS_MIN
from foxtailhatch.placement.working_set import AcceleratorPool, working_set
from foxtailhatch.routes import AcceleratorKind
from tests.placement.test_plan import apply_orders, zone_accelerators
from tests.routes.configurations import ENGINE as UNIFORM

# Few large fast accelerators, many small ones of middle speed, and slow ones.
KINDS = {
    'fast': AcceleratorKind(72_000, 2.4, 3.2),
    'middle': AcceleratorKind(14_400, 5.3, 7.9),
    'slow': AcceleratorKind(21_600, 16, 8.2),
}
ENGINE = replace(
    UNIFORM,
    step_s=0.00102,
    kv_bytes=1_180_000,
    typical_prompt_tokens=775,
    typical_output_tokens=216,
    accelerators=KINDS,
)
LARGE_ZONES = [(2, 24, 9), (4, 10, 11), (3, 14, 16)]
SMALL_ZONES = [(1, 10, 4), (2, 4, 4)]
# One fast accelerator and few of middle speed leave no room for requests.
SCARCE_ZONE = (1, 6, 6)
UNIFORM_ZONES = [(2, 5, 8), (1, 7, 5), (2, 13, 22), (3, 16, 28), (5, 11, 19)]


def zone(fast, middle, slow):
    counts = {'fast': fast, 'middle': middle, 'slow': slow}
    return [
        Accelerator(
            f'{kind}{number}',
            'z1',
            KINDS[kind].memory_mb,
            KINDS[kind].step_factor,
        )
        for kind, count in counts.items()
        for number in range(count)
    ]


def placed(accelerators, engine=ENGINE):
    orders = [
        order
        for group in ModelReplicas().groups(accelerators, engine)
        for order in plan_placement(group, engine)
    ]
    return apply_orders(accelerators, orders)


def mean_step_factor(accelerators):
    holding = [one for one in accelerators if one.layers]
    layers = sum(len(one.layers) for one in holding)
    return sum(len(one.layers) * one.step_factor for one in holding) / layers


@pytest.mark.parametrize('shape', [*LARGE_ZONES, *SMALL_ZONES])
def test_slow_accelerators_are_kept_in_reserve(shape):
    accelerators = placed(zone(*shape))
    assert {one.endpoint[:4] for one in accelerators if one.layers} == {
        'fast',
        'midd',
    }
    assert mean_step_factor(accelerators) < 5


@pytest.mark.parametrize('shape', [*LARGE_ZONES, *SMALL_ZONES, SCARCE_ZONE])
def test_model_is_complete_with_room_for_requests(shape):
    accelerators = placed(zone(*shape))
    assert uncovered_ranges(accelerators, ENGINE.layer_count) == []
    for one in accelerators:
        if one.layers:
            capacity = ENGINE.kv_tokens(one.memory_mb, len(one.layers))
            assert capacity >= KV_TOKENS_MIN


@pytest.mark.parametrize('shape', LARGE_ZONES)
def test_large_zone_keeps_a_second_replica(shape):
    groups = ModelReplicas().groups(zone(*shape), ENGINE)
    assert len(groups) > 1


def test_slow_accelerators_serve_where_fast_ones_lack_memory():
    serving = working_set(zone(*SCARCE_ZONE), ENGINE)
    assert any(one.endpoint.startswith('slow') for one in serving)


@pytest.mark.parametrize('shape', UNIFORM_ZONES)
def test_accelerators_of_similar_speed_all_serve(shape):
    accelerators = zone_accelerators(*shape)
    serving = working_set(accelerators, UNIFORM)
    assert len(serving) == len(accelerators)


def test_reserve_takes_the_layers_of_a_lost_accelerator():
    accelerators = placed(zone(*SMALL_ZONES[0]))
    lost = next(one for one in accelerators if one.endpoint == 'middle3')
    rest = [one for one in accelerators if one is not lost]
    rest = apply_orders(rest, plan_placement(rest, ENGINE))
    assert uncovered_ranges(rest, ENGINE.layer_count) == []
    taken = [
        one for one in rest if one.endpoint.startswith('slow') and one.layers
    ]
    assert [one.layers for one in taken] == [lost.layers]


def test_reserve_stays_empty_while_nothing_is_lost():
    accelerators = placed(zone(*SMALL_ZONES[0]))
    assert plan_placement(accelerators, ENGINE) == []


def test_returning_fast_accelerator_takes_layers_again():
    accelerators = placed(zone(*SMALL_ZONES[0]))
    returned = [
        replace(one, layers=None) if one.endpoint == 'middle3' else one
        for one in accelerators
    ]
    orders = plan_placement(returned, ENGINE)
    assert [order.endpoint for order in orders] == ['middle3']


def test_faster_replica_needs_less_room_for_requests():
    everything = AcceleratorPool.of(zone(*LARGE_ZONES[0]))
    fast = AcceleratorPool.of(working_set(zone(*LARGE_ZONES[0]), ENGINE))
    assert fast.replica_memory_mb(
        ENGINE, everything
    ) < everything.replica_memory_mb(ENGINE, everything)


def test_nothing_serves_without_accelerators():
    assert working_set([], ENGINE) == []


def test_layers_already_held_stay_with_a_slow_accelerator():
    """Moving them would load weights and interrupt the streams there."""
    accelerators = placed(zone(*SMALL_ZONES[0]))
    swapped = [
        replace(one, layers=LayerRange(0, 4))
        if one.endpoint == 'slow0'
        else one
        for one in accelerators
    ]
    orders = plan_placement(swapped, ENGINE)
    assert 'slow0' not in {order.endpoint for order in orders}


def test_crowded_group_takes_one_accelerator_from_the_reserve():
    accelerators = placed(zone(*SMALL_ZONES[0]))
    orders = plan_placement(accelerators, ENGINE, is_crowded=True)
    assert [order.reason for order in orders] == [OrderReason.LOW_KV_CAPACITY]
    assert orders[0].endpoint.startswith('slow')


def test_crowded_group_waits_for_an_order_in_progress():
    accelerators = placed(zone(*SMALL_ZONES[0]))
    changing = [
        replace(one, has_pending_order=one.endpoint == 'middle2')
        for one in accelerators
    ]
    assert plan_placement(changing, ENGINE, is_crowded=True) == []
