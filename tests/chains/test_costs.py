"""Patterns of load that decide between endpoints of one range."""

from foxtailhatch.chains.costs import ChainCosts
from foxtailhatch.fleet import (
    EndpointLoads,
    PeerWork,
    Work,
    WorkEstimate,
)
from tests.fleet.endpoints import endpoint
from tests.routes.configurations import ENGINE


def costs(loads, *endpoints, tokens=900, entry_count=1, others=None):
    known = {one.name: one for one in endpoints}
    work = WorkEstimate(loads, others or PeerWork(), entry_count, 0)
    return ChainCosts(ENGINE, known, work, tokens)


def engine(name, accelerator_kind, layers):
    return endpoint(
        name,
        'model',
        layers=layers,
        accelerator_kind=accelerator_kind,
        slots=96,
    )


def of(found, name, layers=8):
    return found.stage_cost(name, layers, is_first=False)


def test_faster_card_costs_less():
    fast = engine('fast', 'large', (0, 8))
    slow = engine('slow', 'middle', (0, 8))
    found = costs(EndpointLoads(), fast, slow)
    assert of(found, 'fast') < of(found, 'slow')


def test_work_in_progress_costs():
    loads = EndpointLoads()
    loads.begin(['busy'], 5000)
    found = costs(
        loads,
        engine('busy', 'small', (0, 5)),
        engine('free', 'small', (0, 5)),
    )
    assert of(found, 'free') < of(found, 'busy')


def test_full_memory_costs_more_than_a_slow_card():
    loads = EndpointLoads()
    for _ in range(40):
        loads.begin(['full'], 900)
    found = costs(
        loads,
        engine('full', 'large', (0, 17)),
        engine('slow', 'middle', (0, 8)),
    )
    assert of(found, 'slow') < of(found, 'full')


def test_other_entries_are_taken_to_send_alike():
    loads = EndpointLoads()
    loads.begin(['one'], 5000)
    one = engine('one', 'small', (0, 5))
    alone = costs(loads, one, entry_count=1)
    shared = costs(loads, one, entry_count=3)
    assert shared.fill(one) > alone.fill(one)


def test_places_of_the_receiver_count_only_at_the_first_stage():
    loads = EndpointLoads()
    for _ in range(96):
        loads.begin(['e'], 1)
    found = costs(loads, engine('e', 'small', (0, 5)), tokens=1)
    first = found.stage_cost('e', 5, is_first=True)
    assert first > found.stage_cost('e', 5, is_first=False)


def test_entries_with_little_work_each_see_the_copy_that_others_fill():
    """Many entries: each has no work of its own at the busy card."""
    others = PeerWork()
    others.update({'busy': Work(60, 60, 60_000)}, 0)
    found = costs(
        EndpointLoads(),
        engine('busy', 'large', (0, 17)),
        engine('free', 'middle', (0, 8)),
        others=others,
    )
    assert of(found, 'free') < of(found, 'busy')
