"""Gaps that the engines beside them cannot close alone."""

import pytest

from foxtailhatch.placement import plan_placement
from foxtailhatch.placement.layout import uncovered_ranges
from tests.placement.test_plan import (
    apply_orders,
    kv_capacity,
    make_accelerator,
    zone_accelerators,
)
from tests.routes.configurations import ENGINE


def chain_of_middles(count=14, width=6):
    """Return accelerators whose equal ranges leave room for few layers."""
    return [
        make_accelerator(
            f'e{index:02}',
            'middle',
            (index * width, min(80, (index + 1) * width)),
        )
        for index in range(count)
    ]


# Guards against a new layout of a whole zone for a gap that a few boundaries
# around it can close.
@pytest.mark.parametrize('lost', [(6, 7), (4, 5), (9, 10)])
def test_two_lost_neighbours_are_replaced_by_few_loads(lost):
    rest = [
        accelerator
        for index, accelerator in enumerate(chain_of_middles())
        if index not in lost
    ]
    orders = plan_placement(rest, ENGINE)
    after = apply_orders(rest, orders)
    assert uncovered_ranges(after, 80) == []
    assert len(orders) <= 8
    assert min(map(kv_capacity, after)) >= 8000


def test_accelerators_with_pending_orders_take_no_part():
    rest = [
        make_accelerator(
            accelerator.endpoint,
            'middle',
            (accelerator.layers.first, accelerator.layers.end),
            has_pending_order=accelerator.endpoint in {'e04', 'e09'},
        )
        for index, accelerator in enumerate(chain_of_middles())
        if index not in (6, 7)
    ]
    ordered = {order.endpoint for order in plan_placement(rest, ENGINE)}
    assert ordered <= {'e05', 'e08'}


def test_second_heads_keep_the_first_layers():
    accelerators = zone_accelerators(2, 5, 8)
    assigned = apply_orders(accelerators, plan_placement(accelerators, ENGINE))
    by_layers = sorted(assigned, key=lambda accelerator: accelerator.layers)
    rest = [*by_layers[:3], *by_layers[5:]]
    after = apply_orders(rest, plan_placement(rest, ENGINE))
    assert uncovered_ranges(after, 80) == []
