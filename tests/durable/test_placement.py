from foxtailhatch.core import Holding, LayerRange
from foxtailhatch.durable.fleet import FleetView
from foxtailhatch.durable.holding_plan import (
    EndpointCapacity,
    RequiredModel,
    first_uncovered_range,
)
from foxtailhatch.durable.placement import (
    MIN_OVERLOAD_S,
    OBSERVATION_S,
    PlacementController,
)

LOW, HIGH = LayerRange(0, 2), LayerRange(2, 4)
GUIDE = RequiredModel('guide', 'v1', 4)
GAUGE = RequiredModel('gauge', 'v1', 4)
SPEED = 100.0


def fleet(endpoints, **demand):
    """Return a plan in which ``endpoints`` name model and half by a prefix."""
    plan = {}
    for name in endpoints:
        model, half, _ = name.split('-')
        layers = LOW if half == 'low' else HIGH
        plan[name] = (Holding(model, 'v1', layers),)
    return plan, demand


def view(
    plan, demand, required_models=(GUIDE, GAUGE), converged=None, layers=2
):
    return FleetView(
        required_models,
        plan,
        set(plan) if converged is None else converged,
        {name: EndpointCapacity(layers, SPEED) for name in plan},
        demand,
    )


def watching():
    """Return a controller that has watched an idle fleet for long enough."""
    placement = PlacementController(-OBSERVATION_S)
    for now in range(-int(OBSERVATION_S), 0, 10):
        placement.step(now, view({}, {}))
    return placement


def names(model, count):
    return [
        f'{model}-{half}-{number}'
        for half in ('low', 'high')
        for number in range(count)
    ]


def settle(placement, plan, demand, start=0, end=5000, **more):
    """Apply moves at once until ``end``; return them."""
    moves = []
    for now in range(start, end, 10):
        move = placement.step(now, view(plan, demand, **more))
        if move:
            plan[move.endpoint] = (move.holding,)
            moves.append((now, move))
    return moves


def test_spare_endpoints_get_the_layers_that_nobody_holds():
    plan = {f'spare-{number}': () for number in range(4)}
    moves = settle(watching(), plan, {})
    assert len(moves) == 4
    for required in (GUIDE, GAUGE):
        held = [holding for (holding,) in plan.values()]
        assert first_uncovered_range(required, held) is None


def test_a_group_under_lasting_overload_gets_an_idle_endpoint():
    plan, demand = fleet([*names('guide', 2), *names('gauge', 4)], guide=190)
    placement = watching()
    assert placement.step(0, view(plan, demand)) is None
    move = placement.step(MIN_OVERLOAD_S, view(plan, demand))
    assert move.holding.model == 'guide'
    assert move.endpoint.startswith('gauge')


def test_a_short_peak_moves_nothing():
    plan, demand = fleet([*names('guide', 2), *names('gauge', 4)], guide=190)
    placement = watching()
    placement.step(0, view(plan, demand))
    placement.step(MIN_OVERLOAD_S / 2, view(plan, {}))
    assert placement.step(MIN_OVERLOAD_S, view(plan, demand)) is None


def test_a_donor_keeps_its_own_callers_served():
    plan, demand = fleet(
        [*names('guide', 2), *names('gauge', 2)],
        guide=190,
        gauge=90,
    )
    assert settle(watching(), plan, demand) == []


def test_swinging_demand_does_not_swing_the_plan():
    plan, _ = fleet([*names('guide', 4), *names('gauge', 4)])
    placement = PlacementController(0)
    moves = []
    for start in range(0, 4800, 100):
        busy = 'guide' if start % 200 else 'gauge'
        moves += settle(placement, plan, {busy: 390}, start, start + 100)
    assert moves == []


def test_demand_that_shifted_for_good_moves_the_plan():
    plan, _ = fleet([*names('guide', 4), *names('gauge', 4)])
    placement = watching()
    assert settle(placement, plan, {'guide': 390}, 0, 30) == []
    moves = settle(placement, plan, {'gauge': 390}, 30, 3000)
    assert {move.holding.model for _, move in moves} == {'gauge'}
    moved = [move.endpoint for _, move in moves]
    assert len(moved) == len(set(moved))


def test_a_new_version_takes_over_without_a_gap():
    plan, _ = fleet(names('guide', 3))
    newer = RequiredModel('guide', 'v2', 4, ('ml',))
    placement = watching()
    for now in range(200):
        held = [holding for (holding,) in plan.values()]
        whole = [
            first_uncovered_range(required, held) for required in (GUIDE, newer)
        ]
        assert None in whole
        move = placement.step(now, view(plan, {}, required_models=(newer,)))
        if move:
            plan[move.endpoint] = (move.holding,)
    assert {holding.version for (holding,) in plan.values()} == {'v2'}
    assert {holding.adapters for (holding,) in plan.values()} == {('ml',)}


def test_an_update_waits_until_the_last_one_is_loaded():
    plan, _ = fleet(names('guide', 3))
    newer = RequiredModel('guide', 'v2', 4)
    converged = set(plan) - {'guide-low-0'}
    changing = view(plan, {}, required_models=(newer,), converged=converged)
    assert watching().step(0, changing) is None


def test_a_new_version_takes_no_endpoint_from_another_model():
    plan, _ = fleet([*names('guide', 3), *names('gauge', 3)])
    plan['spare-0'] = ()
    newer = RequiredModel('guide', 'v2', 4)
    moves = settle(
        watching(), plan, {}, end=600, required_models=(newer, GAUGE)
    )
    assert len(moves) == 6
    assert all(move.endpoint.startswith('guide') for _, move in moves)


def test_a_holder_that_returns_watches_anew():
    plan, demand = fleet([*names('guide', 2), *names('gauge', 4)], guide=190)
    placement = watching()
    placement.step(0, view(plan, demand))
    assert placement.step(1000, view(plan, demand)) is None
    assert (
        settle(placement, plan, demand, 1000, 1000 + int(OBSERVATION_S)) == []
    )
    assert settle(placement, plan, demand, 1000 + int(OBSERVATION_S), 1400)
