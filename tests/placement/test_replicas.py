"""Zones with many accelerators: several replicas that remain stable."""

from dataclasses import replace

import pytest

from foxtailhatch.placement import (
    ModelReplicas,
    OrderReason,
    other_replicas_in_zone,
    plan_placement,
)
from foxtailhatch.placement.groups import total_memory_mb
from foxtailhatch.placement.layout import uncovered_ranges
from foxtailhatch.placement.replicas import replica_count
from foxtailhatch.placement.working_set import AcceleratorPool
from tests.placement.test_plan import (
    apply_orders,
    make_accelerator,
    zone_accelerators,
)
from tests.routes.configurations import ENGINE

# Zones as in deployments with a hundred engines.
LARGE = [(2, 13, 22), (1, 22, 12), (4, 9, 14), (1, 10, 15), (1, 17, 8)]
SMALL = [(2, 5, 8), (1, 7, 5), (2, 3, 5)]


def planned(model_replicas, accelerators):
    """Return the accelerators after one plan of each replica."""
    orders = [
        order
        for replica in model_replicas.groups(accelerators, ENGINE)
        for order in plan_placement(replica, ENGINE)
    ]
    return apply_orders(accelerators, orders)


def names(replicas):
    return [
        {accelerator.endpoint for accelerator in replica}
        for replica in replicas
    ]


@pytest.mark.parametrize('shape', SMALL)
def test_small_zone_is_one_replica(shape):
    accelerators = zone_accelerators(*shape)
    assert names(ModelReplicas().groups(accelerators, ENGINE)) == [
        {accelerator.endpoint for accelerator in accelerators},
    ]


@pytest.mark.parametrize('shape', LARGE)
def test_large_zone_is_several_replicas_of_similar_memory(shape):
    accelerators = zone_accelerators(*shape)
    replicas = ModelReplicas().groups(accelerators, ENGINE)
    assert len(replicas) > 1
    sizes = [total_memory_mb(replica) for replica in replicas]
    assert max(sizes) - min(sizes) <= 36_000
    pool = AcceleratorPool.of(accelerators)
    assert min(sizes) >= 0.95 * pool.replica_memory_mb(ENGINE, pool)


@pytest.mark.parametrize('shape', LARGE)
def test_each_replica_holds_each_layer_within_the_chain_length(shape):
    model_replicas = ModelReplicas()
    accelerators = planned(model_replicas, zone_accelerators(*shape))
    for replica in model_replicas.groups(accelerators, ENGINE):
        assert uncovered_ranges(replica, 80) == []
        assert len(replica) <= ENGINE.max_stages


@pytest.mark.parametrize('shape', LARGE)
def test_new_leader_derives_replicas_without_new_orders(shape):
    accelerators = planned(ModelReplicas(), zone_accelerators(*shape))
    assert planned(ModelReplicas(), accelerators) == accelerators


@pytest.mark.parametrize('lost', range(0, 35, 5))
def test_loss_changes_only_one_replica(lost):
    model_replicas = ModelReplicas()
    accelerators = planned(model_replicas, zone_accelerators(1, 22, 12))
    replicas = model_replicas.groups(accelerators, ENGINE)
    affected = next(
        replica for replica in replicas if accelerators[lost] in replica
    )
    left = [
        accelerator
        for accelerator in accelerators
        if accelerator is not accelerators[lost]
    ]
    repaired = planned(model_replicas, left)
    changed = {
        before.endpoint
        for before, now in zip(left, repaired, strict=True)
        if before.layers != now.layers
    }
    for replica in model_replicas.groups(repaired, ENGINE):
        assert uncovered_ranges(replica, 80) == []
    assert changed <= {accelerator.endpoint for accelerator in affected}


def test_empty_accelerator_joins_replica_with_least_memory():
    model_replicas = ModelReplicas()
    accelerators = planned(model_replicas, zone_accelerators(1, 22, 12))
    affected = model_replicas.groups(accelerators, ENGINE)[1]
    left = [
        accelerator
        for accelerator in accelerators
        if accelerator is not affected[0]
    ]
    model_replicas.groups(left, ENGINE)
    groups = model_replicas.groups(
        [*left, make_accelerator('new', 'middle')], ENGINE
    )
    joined = next(group for group in names(groups) if 'new' in group)
    assert joined & {accelerator.endpoint for accelerator in affected}


def test_returning_accelerator_rejoins_its_replica():
    model_replicas = ModelReplicas()
    accelerators = planned(model_replicas, zone_accelerators(1, 22, 12))
    affected = model_replicas.groups(accelerators, ENGINE)[1]
    model_replicas.groups(
        [
            accelerator
            for accelerator in accelerators
            if accelerator is not affected[4]
        ],
        ENGINE,
    )
    assert names(model_replicas.groups(accelerators, ENGINE))[1] == {
        accelerator.endpoint for accelerator in affected
    }


def test_no_more_accelerators_are_used_than_a_chain_may_have():
    engine = replace(ENGINE, max_stages=8)
    accelerators = zone_accelerators(4, 0, 14)
    orders = plan_placement(accelerators, engine)
    assert len(orders) <= 8
    assigned = apply_orders(accelerators, orders)
    assert plan_placement(assigned, engine) == []


def test_replica_count_follows_held_layers():
    accelerators = planned(ModelReplicas(), zone_accelerators(2, 13, 22))
    assert replica_count(accelerators, ENGINE) == replica_count(
        zone_accelerators(2, 13, 22),
        ENGINE,
    )


def test_no_relayout_while_another_replica_holds_the_layers():
    """So many engines of a replica fail that it lacks memory for all layers."""
    model_replicas = ModelReplicas()
    accelerators = planned(model_replicas, zone_accelerators(1, 22, 12))
    replicas = model_replicas.groups(accelerators, ENGINE)
    kept = replicas[0][:3]
    assert (
        plan_placement(
            kept, ENGINE, other_replicas_in_zone(replicas[0], replicas)
        )
        == []
    )


def test_only_replica_is_laid_out_again_if_neighbours_lack_memory():
    accelerators = [
        make_accelerator('a', 'large', (0, 20)),
        make_accelerator('b', 'large', (20, 39)),
        make_accelerator('c', 'large', (59, 79)),
        make_accelerator('d', 'large', (79, 80)),
        make_accelerator('e', 'large', (79, 80)),
    ]
    reasons = {order.reason for order in plan_placement(accelerators, ENGINE)}
    assert reasons == {OrderReason.FULL_RELAYOUT}
