"""KV capacity is rebalanced after a loss, and no layer loses its holder."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailhatch.placement import plan_placement
from foxtailhatch.placement.layout import (
    lay_out,
    min_kv_capacity,
    uncovered_ranges,
)
from tests.placement.test_plan import (
    apply_orders,
    kv_capacity,
    make_accelerator,
    zone_accelerators,
)
from tests.routes.configurations import ENGINE

# Steps until a group is balanced; more would mean a long time of loading.
STEP_COUNT_MAX = 40
# A full re-layout may reach more: small gains do not justify loading layers,
# and it may order the accelerators differently.
CAPACITY_SHARE = 0.6
CAPACITY_SHARE_MIN = 0.5
# Capacity beyond the requests that a head admits is of no use.
USABLE_CAPACITY = ENGINE.slots * (
    ENGINE.typical_prompt_tokens + ENGINE.typical_output_tokens
)


def initially_placed(accelerators):
    return apply_orders(accelerators, plan_placement(accelerators, ENGINE))


def rebalance_until_stable(accelerators):
    """Return the accelerators after each step until no order is given."""
    states = [accelerators]
    while len(states) < STEP_COUNT_MAX:
        orders = plan_placement(states[-1], ENGINE)
        if not orders:
            return states
        states.append(apply_orders(states[-1], orders))
    raise AssertionError('orders are still given after the last allowed step')


@pytest.mark.parametrize('lost', (1, 3, 5, 7, 9))
@pytest.mark.parametrize('shape', ((1, 7, 5), (2, 5, 8), (2, 3, 5)))
def test_capacity_is_rebalanced_after_a_loss(shape, lost):
    accelerators = initially_placed(zone_accelerators(*shape))
    rest = [
        accelerator
        for index, accelerator in enumerate(accelerators)
        if index != lost
    ]
    last = rebalance_until_stable(rest)[-1]
    best = min_kv_capacity(lay_out(rest, ENGINE), ENGINE)
    least = min(map(kv_capacity, last))
    assert least >= CAPACITY_SHARE * min(USABLE_CAPACITY, best)
    assert least >= CAPACITY_SHARE_MIN * best


@pytest.mark.parametrize('lost', range(13))
def test_each_layer_has_a_holder_after_every_step(lost):
    accelerators = initially_placed(zone_accelerators(1, 7, 5))
    rest = [
        accelerator
        for index, accelerator in enumerate(accelerators)
        if index != lost
    ]
    for state in rebalance_until_stable(rest)[1:]:
        assert (
            uncovered_ranges(
                [accelerator for accelerator in state if accelerator.layers], 80
            )
            == []
        )


def test_balanced_group_is_unchanged():
    accelerators = initially_placed(zone_accelerators(2, 5, 8))
    assert rebalance_until_stable(accelerators) == [accelerators]


def test_returning_accelerator_relieves_the_bottleneck():
    accelerators = initially_placed(zone_accelerators(1, 7, 5))
    rest = rebalance_until_stable(
        [
            accelerator
            for index, accelerator in enumerate(accelerators)
            if index != 4
        ]
    )[-1]
    bottleneck = min(rest, key=kv_capacity)
    last = rebalance_until_stable([*rest, make_accelerator('back', 'middle')])[
        -1
    ]
    relieved = next(
        accelerator
        for accelerator in last
        if accelerator.endpoint == bottleneck.endpoint
    )
    assert kv_capacity(relieved) > kv_capacity(bottleneck)
    assert min(map(kv_capacity, last)) >= kv_capacity(bottleneck)


def test_rebalancing_fits_into_memory():
    accelerators = initially_placed(zone_accelerators(2, 5, 8))[3:]
    for state in rebalance_until_stable(accelerators):
        for accelerator in state:
            if accelerator.layers:
                assert (
                    len(accelerator.layers) * ENGINE.layer_mb
                    < accelerator.memory_mb
                )


def test_uneven_heads_do_not_prevent_rebalancing():
    """One of two heads has taken the layers of an adjacent gap."""
    ranges = [
        ('small', (0, 6)),
        ('small', (0, 4)),
        ('small', (6, 12)),
        *(('small', (first, first + 4)) for first in range(12, 28, 4)),
        ('middle', (28, 35)),
        ('middle', (35, 42)),
        ('middle', (42, 53)),
        ('middle', (53, 63)),
        ('middle', (63, 69)),
        ('large', (69, 80)),
    ]
    accelerators = [
        make_accelerator(f'c{index}', kind, layers)
        for index, (kind, layers) in enumerate(ranges)
    ]
    last = rebalance_until_stable(accelerators)[-1]
    assert min(map(kv_capacity, last)) > 4 * min(map(kv_capacity, accelerators))


@given(
    st.tuples(st.integers(0, 3), st.integers(2, 8), st.integers(2, 9)),
    st.lists(st.integers(0, 19), min_size=1, max_size=3),
)
@settings(max_examples=60, derandomize=True, deadline=None)
def test_series_of_losses_converges_without_a_gap(shape, lost):
    accelerators = initially_placed(zone_accelerators(*shape))
    for index in lost:
        if not any(accelerator.layers for accelerator in accelerators):
            return
        if uncovered_ranges(
            [accelerator for accelerator in accelerators if accelerator.layers],
            80,
        ):
            return
        left = [
            accelerator
            for accelerator in accelerators
            if accelerator is not accelerators[index % len(accelerators)]
        ]
        for state in rebalance_until_stable(left)[1:]:
            assert (
                uncovered_ranges(
                    [
                        accelerator
                        for accelerator in state
                        if accelerator.layers
                    ],
                    80,
                )
                == []
            )
        accelerators = rebalance_until_stable(left)[-1]
