"""A large pool under planned work: plans that cost little, with equal results."""

from random import Random

import pytest

from foxtailhatch.core import LayerRange
from foxtailhatch.placement import Accelerator, GroupPlans, ModelReplicas
from foxtailhatch.placement.partitioning import partition_layers
from foxtailhatch.placement.plan import plan_placement
from foxtailhatch.placement.replicas import other_replicas_in_zone
from foxtailhatch.placement.working_set import AcceleratorPool, working_set
from tests.routes.configurations import ENGINE

KINDS = sorted(ENGINE.accelerators)
ROUNDS = 25


def accelerator(random, number, zone):
    kind = ENGINE.accelerators[random.choice(KINDS)]
    return Accelerator(f'e{number:03}', zone, kind.memory_mb, kind.step_factor)


def pool_of(random, size, zones=3):
    return [
        accelerator(random, number, f'z{number % zones}')
        for number in range(size)
    ]


def changed(random, pool, orders, number):
    """Return the pool after orders are done, and with some planned work."""
    ordered = {order.endpoint: order.layers for order in orders}
    done = random.random()
    pool = [
        Accelerator(
            known.endpoint,
            known.zone,
            known.memory_mb,
            known.step_factor,
            ordered.get(known.endpoint, known.layers),
            known.endpoint in ordered and random.random() > done,
        )
        for known in pool
    ]
    if random.random() < 0.6:
        pool.remove(random.choice(pool))
    if random.random() < 0.4:
        zone = random.choice(pool).zone
        pool.append(accelerator(random, 100 + number, zone))
    return pool


@pytest.mark.parametrize('seed', range(8))
def test_remembered_plans_equal_those_computed_anew(seed):
    random = Random(seed)
    pool = pool_of(random, random.choice([20, 40, 70]))
    replicas, plans = ModelReplicas(), GroupPlans()
    for number in range(ROUNDS):
        anew = ModelReplicas()
        anew._replica_of = dict(replicas._replica_of)
        groups = replicas.groups(pool, ENGINE)
        assert groups == anew.groups(pool, ENGINE)
        crowded = [random.random() < 0.2 for _ in groups]
        asked = dict(zip(map(id, groups), crowded, strict=True))
        orders = plans.orders(
            groups, ENGINE, lambda group, asked=asked: asked[id(group)]
        )
        assert orders == [
            plan_placement(
                group,
                ENGINE,
                other_replicas_in_zone(group, groups),
                is_crowded=is_crowded,
            )
            for group, is_crowded in zip(groups, crowded, strict=True)
        ]
        if random.random() < 0.7:
            flat = [order for group in orders for order in group]
            pool = changed(random, pool, flat, number)


def least_used(accelerators, layers):
    """Return the parts of layers as they are defined, one layer at a time."""
    counts = [0 for _ in accelerators]
    for _ in range(len(layers)):
        shares = [
            known.memory_mb / (count + 1)
            if (count + 1) * ENGINE.layer_mb < known.memory_mb
            else -1
            for known, count in zip(accelerators, counts, strict=True)
        ]
        if max(shares, default=-1) < 0:
            return []
        counts[shares.index(max(shares))] += 1
    ends = [layers.first + sum(counts[: n + 1]) for n in range(len(counts))]
    return [
        (known, LayerRange(end - count, end))
        for known, count, end in zip(accelerators, counts, ends, strict=True)
        if count
    ]


@pytest.mark.parametrize('seed', range(20))
def test_layers_are_shared_out_one_by_one_by_memory(seed):
    random = Random(seed)
    pool = pool_of(random, random.randint(0, 25), zones=1)
    first = random.randint(0, 60)
    layers = LayerRange(first, random.randint(first + 1, 80))
    assert partition_layers(pool, layers, ENGINE) == least_used(pool, layers)


@pytest.mark.parametrize('seed', range(10))
def test_pools_that_grow_equal_those_of_all_members(seed):
    random = Random(seed)
    pool = pool_of(random, random.randint(1, 40))
    assert list(AcceleratorPool.growing(pool)) == [
        AcceleratorPool.of(pool[:count]) for count in range(1, len(pool) + 1)
    ]
    assert set(working_set(pool, ENGINE)) <= set(pool)
