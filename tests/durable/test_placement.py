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
TOKENS_PER_S = 100.0


def fleet(endpoints, **demand):
    """Return a plan and the demand.

    The name of an endpoint starts with its model and half of the layers.
    """
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
        {name: EndpointCapacity(layers, TOKENS_PER_S) for name in plan},
        demand,
    )


def observing_controller():
    """Return a controller that has observed an idle fleet long enough."""
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


def apply_changes(placement, plan, demand, start=0, end=5000, **options):
    """Apply each change at once until ``end``; return the changes."""
    changes = []
    for now in range(start, end, 10):
        change = placement.step(now, view(plan, demand, **options))
        if change:
            plan[change.endpoint] = (change.holding,)
            changes.append((now, change))
    return changes


def test_spare_endpoints_get_uncovered_layers():
    plan = {f'spare-{number}': () for number in range(4)}
    changes = apply_changes(observing_controller(), plan, {})
    assert len(changes) == 4
    for required in (GUIDE, GAUGE):
        held = [holding for (holding,) in plan.values()]
        assert first_uncovered_range(required, held) is None


def test_a_group_in_sustained_overload_gets_an_idle_endpoint():
    plan, demand = fleet([*names('guide', 2), *names('gauge', 4)], guide=190)
    placement = observing_controller()
    assert placement.step(0, view(plan, demand)) is None
    change = placement.step(MIN_OVERLOAD_S, view(plan, demand))
    assert change.holding.model == 'guide'
    assert change.endpoint.startswith('gauge')


def test_a_short_peak_changes_nothing():
    plan, demand = fleet([*names('guide', 2), *names('gauge', 4)], guide=190)
    placement = observing_controller()
    placement.step(0, view(plan, demand))
    placement.step(MIN_OVERLOAD_S / 2, view(plan, {}))
    assert placement.step(MIN_OVERLOAD_S, view(plan, demand)) is None


def test_a_group_that_needs_its_capacity_is_no_donor():
    plan, demand = fleet(
        [*names('guide', 2), *names('gauge', 2)],
        guide=190,
        gauge=90,
    )
    assert apply_changes(observing_controller(), plan, demand) == []


def test_alternating_demand_does_not_change_the_plan():
    plan, _ = fleet([*names('guide', 4), *names('gauge', 4)])
    placement = PlacementController(0)
    changes = []
    for start in range(0, 4800, 100):
        busy = 'guide' if start % 200 else 'gauge'
        changes += apply_changes(
            placement, plan, {busy: 390}, start, start + 100
        )
    assert changes == []


def test_a_lasting_shift_of_demand_changes_the_plan():
    plan, _ = fleet([*names('guide', 4), *names('gauge', 4)])
    placement = observing_controller()
    assert apply_changes(placement, plan, {'guide': 390}, 0, 30) == []
    changes = apply_changes(placement, plan, {'gauge': 390}, 30, 3000)
    assert {change.holding.model for _, change in changes} == {'gauge'}
    changed = [change.endpoint for _, change in changes]
    assert len(changed) == len(set(changed))


def test_a_rollout_leaves_no_uncovered_layers():
    plan, _ = fleet(names('guide', 3))
    newer = RequiredModel('guide', 'v2', 4, ('ml',))
    placement = observing_controller()
    for now in range(200):
        held = [holding for (holding,) in plan.values()]
        whole = [
            first_uncovered_range(required, held) for required in (GUIDE, newer)
        ]
        assert None in whole
        change = placement.step(now, view(plan, {}, required_models=(newer,)))
        if change:
            plan[change.endpoint] = (change.holding,)
    assert {holding.version for (holding,) in plan.values()} == {'v2'}
    assert {holding.adapters for (holding,) in plan.values()} == {('ml',)}


def test_an_update_waits_until_the_previous_one_is_loaded():
    plan, _ = fleet(names('guide', 3))
    newer = RequiredModel('guide', 'v2', 4)
    converged = set(plan) - {'guide-low-0'}
    changing = view(plan, {}, required_models=(newer,), converged=converged)
    assert observing_controller().step(0, changing) is None


def test_a_new_version_takes_no_endpoint_from_another_model():
    plan, _ = fleet([*names('guide', 3), *names('gauge', 3)])
    plan['spare-0'] = ()
    newer = RequiredModel('guide', 'v2', 4)
    changes = apply_changes(
        observing_controller(),
        plan,
        {},
        end=600,
        required_models=(newer, GAUGE),
    )
    assert len(changes) == 6
    assert all(change.endpoint.startswith('guide') for _, change in changes)


def test_a_holder_that_regains_the_lease_observes_again():
    plan, demand = fleet([*names('guide', 2), *names('gauge', 4)], guide=190)
    placement = observing_controller()
    placement.step(0, view(plan, demand))
    assert placement.step(1000, view(plan, demand)) is None
    assert (
        apply_changes(placement, plan, demand, 1000, 1000 + int(OBSERVATION_S))
        == []
    )
    assert apply_changes(
        placement, plan, demand, 1000 + int(OBSERVATION_S), 1400
    )
