"""Split of the demand over zones, from capacity and demand alone."""

from random import Random

import pytest

from foxtailhatch.chains.zone_split import (
    TARGET_LOAD,
    DampedLoads,
    RequestSize,
    ZoneEngines,
    ZoneLoad,
    ZoneSplit,
    engines_by_zone,
    is_uneven,
)
from tests.fleet.endpoints import endpoint
from tests.routes.configurations import ENGINE

KV_TOKENS = ENGINE.kv_tokens(36_000, 16)


def loads(capacities, demands):
    return {
        f'z{number}': ZoneLoad(demand, capacity)
        for number, (capacity, demand) in enumerate(
            zip(capacities, demands, strict=True), start=1
        )
    }


def served(by_zone):
    """Return the load of each zone once all have split their demand."""
    split = ZoneSplit(by_zone)
    total = dict.fromkeys(by_zone, 0.0)
    for zone, load in by_zone.items():
        for other, share in split.shares(zone).items():
            total[other] += share * load.demand
    return total


def engine(name, zone, first, end, kind='large', slots=96):
    return endpoint(
        name,
        'model',
        zone=zone,
        layers=(first, end),
        accelerator_kind=kind,
        slots=slots,
    )


def replica(zone, number=0):
    return [
        engine(f'{zone}-{number}-{first}', zone, first, first + 16)
        for first in range(0, 80, 16)
    ]


def test_zone_within_the_target_keeps_its_demand():
    """A request that leaves its zone is slower, so none does without need."""
    by_zone = loads((10, 20, 20), (8, 1, 1))
    assert ZoneSplit(by_zone).shares('z1') == {'z1': 1}


def test_excess_goes_to_spare_capacity_in_proportion():
    """Moving all of it to one zone would overrun that zone."""
    by_zone = loads((10, 20, 20), (16, 12, 8))
    shares = ZoneSplit(by_zone).shares('z1')
    assert shares['z1'] == pytest.approx(0.5)
    assert shares['z2'] == pytest.approx(0.5 * 4 / 12)
    assert shares['z3'] == pytest.approx(0.5 * 8 / 12)


def test_all_zones_above_the_target_are_evened_out():
    by_zone = loads((10, 20, 20), (20, 15, 12))
    level = 47 / 50
    assert level > TARGET_LOAD
    total = served(by_zone)
    for zone, load in by_zone.items():
        assert total[zone] == pytest.approx(level * load.capacity)


@pytest.mark.parametrize('seed', range(20))
def test_split_of_any_zones_is_complete_and_overloads_none(seed):
    """Shares that do not add up to 1 would lose requests of a zone."""
    random = Random(seed)
    zones = random.randint(1, 8)
    by_zone = loads(
        [random.choice([0, random.uniform(1, 90)]) for _ in range(zones)],
        [random.choice([0, random.uniform(0, 90)]) for _ in range(zones)],
    )
    split = ZoneSplit(by_zone)
    for zone in by_zone:
        shares = split.shares(zone)
        assert sum(shares.values()) == pytest.approx(1)
        assert all(share >= 0 for share in shares.values())
    if any(load.capacity for load in by_zone.values()):
        for zone, total in served(by_zone).items():
            assert total <= split.level * by_zone[zone].capacity + 1e-9


def test_zone_without_capacity_sends_all_away():
    by_zone = loads((0, 10, 30), (4, 0, 0))
    shares = ZoneSplit(by_zone).shares('z1')
    assert shares == {'z2': 0.25, 'z3': 0.75}


def test_zone_without_capacity_and_demand_sends_all_away():
    """Its next request needs a zone, although none has come yet."""
    assert ZoneSplit(loads((0, 10), (0, 5))).shares('z1') == {'z2': 1}


def test_without_any_capacity_the_demand_stays():
    assert ZoneSplit(loads((0, 0), (3, 1))).shares('z1') == {'z1': 1}


def test_what_is_left_is_counted_after_the_split():
    by_zone = loads((10, 20, 20), (16, 12, 8))
    total = served(by_zone)
    left = ZoneSplit(by_zone).left()
    for zone, load in by_zone.items():
        assert left[zone] == pytest.approx(load.capacity - total[zone])


def test_only_uneven_zones_are_balanced():
    assert not is_uneven(loads((10, 20), (5, 9)))
    assert is_uneven(loads((10, 20), (5, 8)))
    assert not is_uneven(loads((10, 20), (0, 0)))


def test_zone_without_a_complete_chain_is_uneven():
    assert is_uneven(loads((10, 0), (5, 0)))


def test_loss_of_capacity_takes_effect_at_once_and_a_gain_gradually():
    """A zone that returns would otherwise get all waiting work at once."""
    damped = DampedLoads()
    damped.update(loads((10,), (5,)), 0)
    assert damped.update(loads((2,), (5,)), 0.25)['z1'].capacity == 2
    assert damped.update(loads((10,), (5,)), 1.25)['z1'].capacity == 7
    assert damped.update(loads((10,), (5,)), 2.25)['z1'].capacity == 10


def test_demand_is_an_average_over_a_second():
    damped = DampedLoads()
    damped.update(loads((10,), (4,)), 0)
    after = damped.update(loads((10,), (8,)), 1)['z1'].demand
    assert 6 < after < 7


def test_capacity_is_that_of_the_layer_with_the_least():
    """Engines beyond the scarcest layer add nothing to a zone's chains."""
    whole = replica('z1') + replica('z1', 1)[:3]
    of_zone = engines_by_zone(ENGINE, whole)['z1']
    assert of_zone.kv_tokens == pytest.approx(KV_TOKENS)
    assert of_zone.head_slots == 192


def test_overlapping_layer_ranges_are_summed():
    shifted = [
        engine('a', 'z1', 0, 8),
        *(engine(f'b{n}', 'z1', n, n + 16) for n in range(8, 72, 16)),
        engine('c', 'z1', 72, 80),
    ]
    both = engines_by_zone(ENGINE, replica('z1') + shifted)['z1']
    assert both.kv_tokens == pytest.approx(2 * KV_TOKENS)


def test_zone_that_lacks_a_layer_has_no_capacity():
    lost = [live for live in replica('z1') if live.name != 'z1-0-32']
    by_zone = engines_by_zone(ENGINE, [*lost, *replica('z2')])
    assert by_zone['z1'] == ZoneEngines()
    assert by_zone['z2'].kv_tokens > 0


def test_engines_of_an_unknown_kind_do_not_count():
    unknown = [engine('u', 'z1', 0, 80, kind='unknown')]
    assert engines_by_zone(ENGINE, unknown) == {}


def test_size_of_requests_follows_what_is_measured():
    size = RequestSize(900)
    before = size.capacity(ZoneEngines(90_000, 500))
    assert before == pytest.approx(90_000 / 900 / 2)
    for _ in range(400):
        size.record(10, 20_000, 30, 0.25)
    assert size.tokens == pytest.approx(2000, rel=0.02)
    assert size.duration_s == pytest.approx(3, rel=0.02)


def test_slots_of_chain_heads_limit_the_capacity():
    """Small requests fill the slots of the heads before any KV cache."""
    assert RequestSize(100).capacity(ZoneEngines(90_000, 96)) == 48
