"""Zones with capacity of 1 : 2 : 2 under a demand of 2 : 3 : 3.

A third of the engines of one zone is lost in an instant.  Entries act on totals
that are half a second to two seconds old, so that all of a zone would turn to
the same other zone at once.  Large numbers of entries are run by hand:

    python -m tests.router.measure_uneven_zones --entries 360

With the balancer taken out of the model, the tests of the lost third, of the
overload and of the swinging demand fail.
"""

from statistics import pstdev

import pytest

from tests.router.zone_model import ZONES, Load, ZoneModel

# 2,720 Mbit/s.
LINK_BYTES_PER_S = 340e6
LOST_AT_S = 6
SETTLED_AT_S = LOST_AT_S + 3
END_S = 18


def played(load, loses=True, **kwargs):
    model = ZoneModel(load, **kwargs)
    model.run(LOST_AT_S)
    if loses:
        model.lose(model.third_of('z2'))
    model.run(END_S - LOST_AT_S)
    return model


def deviation(model):
    """Return the largest deviation of a zone's fill once it has settled."""
    fills = [fill for at, fill in model.fills if at >= SETTLED_AT_S]
    return max(pstdev(fill[zone] for fill in fills) for zone in ZONES)


def settled_overruns(model):
    return [name for at, name in model.overruns if at >= SETTLED_AT_S]


@pytest.mark.parametrize('lag_s', [0.5, 1.0, 2.0])
def test_lost_third_overruns_no_engines_and_starts_no_oscillation(lag_s):
    """Without the balancer, 8 to 57 requests meet full engines.

    Over seeds 1 to 5, 0 to 3 with it and 1 to 96 without it.
    """
    load = Load(entries=30, level=0.6, lag_s=lag_s)
    model = played(load)
    assert settled_overruns(model) == []
    assert model.refusals() == 0
    # Random arrivals alone vary the fill by 0.09.
    assert deviation(model) < 0.12


def test_same_load_without_the_balancer_is_uneven():
    """Shows that the load of the test above needs the mechanism."""
    model = played(Load(entries=30, level=0.6), is_balanced=False)
    assert settled_overruns(model)
    assert deviation(model) > 0.12


def test_overload_refuses_little_more_than_one_who_knows_all():
    """Late totals must not leave engines idle while requests are refused.

    Nor may the link between zones be filled: without the limit, 74 chains in
    18 s cross zones at this load, of which each occupies it for 0.25 s.
    """
    load = Load(entries=30, level=1.0, link_bytes_per_s=LINK_BYTES_PER_S)
    model = played(load)
    needed = played(load, knows_all=True).refusals()
    assert needed > 200
    assert model.refusals() <= 1.1 * needed
    sent = sum(tokens for _, tokens in model.crossings)
    assert sent * model.service.engine.activation_bytes <= (
        0.5 * LINK_BYTES_PER_S * END_S
    )


def test_swinging_demand_is_followed():
    """Sums of a swing of 11 s are late by a fifth of it.

    With seed 1, 36 requests meet full engines without the balancer and 16 with
    it; with seeds 2 and 3, 6 and 2 without, 0 and 3 with it.
    """
    load = Load(entries=30, level=0.6, swing=0.55)
    model = played(load, loses=False)
    before = played(load, loses=False, is_balanced=False)
    assert model.refusals() == 0
    assert len(model.overruns) <= 0.5 * len(before.overruns)


def test_zone_without_a_chain_is_served_by_the_others():
    load = Load(entries=30, level=0.55, link_bytes_per_s=LINK_BYTES_PER_S)
    model = ZoneModel(load)
    model.run(LOST_AT_S)
    model.lose([name for name in model.engines if name.startswith('z1')])
    model.run(END_S - LOST_AT_S)
    assert model.refusals(SETTLED_AT_S) == 0
    assert model.crossings == []


def test_entries_without_sums_keep_serving():
    """An outage of the store may cost balance, but no request."""
    model = ZoneModel(Load(entries=30, level=0.5))
    model.run(LOST_AT_S)
    model.sends_sums = False
    model.run(6)
    assert model.refusals() == 0
