"""Costs that decide between endpoints with the same layers."""

from foxtailhatch.chains.costs import ChainCosts
from foxtailhatch.fleet import (
    EndpointLoads,
    PeerWork,
    Work,
    WorkEstimate,
)
from tests.fleet.endpoints import endpoint
from tests.routes.configurations import ENGINE


def costs(loads, *endpoints, tokens=900, entry_count=1, peers=None):
    by_name = {node.name: node for node in endpoints}
    work = WorkEstimate(loads, peers or PeerWork(), entry_count, 0)
    return ChainCosts(ENGINE, by_name, work, tokens)


def engine(name, accelerator_kind, layers):
    return endpoint(
        name,
        'model',
        layers=layers,
        accelerator_kind=accelerator_kind,
        slots=96,
    )


def stage_cost_of(chain_costs, name, layers=8):
    return chain_costs.stage_cost(name, layers, is_first=False)


def test_faster_accelerator_costs_less():
    fast = engine('fast', 'large', (0, 8))
    slow = engine('slow', 'middle', (0, 8))
    chain_costs = costs(EndpointLoads(), fast, slow)
    assert stage_cost_of(chain_costs, 'fast') < stage_cost_of(
        chain_costs, 'slow'
    )


def test_work_in_progress_adds_cost():
    loads = EndpointLoads()
    loads.begin(['busy'], 5000)
    chain_costs = costs(
        loads,
        engine('busy', 'small', (0, 5)),
        engine('free', 'small', (0, 5)),
    )
    assert stage_cost_of(chain_costs, 'free') < stage_cost_of(
        chain_costs, 'busy'
    )


def test_full_memory_costs_more_than_a_slow_accelerator():
    loads = EndpointLoads()
    for _ in range(40):
        loads.begin(['full'], 900)
    chain_costs = costs(
        loads,
        engine('full', 'large', (0, 17)),
        engine('slow', 'middle', (0, 8)),
    )
    assert stage_cost_of(chain_costs, 'slow') < stage_cost_of(
        chain_costs, 'full'
    )


def test_other_entries_are_assumed_to_send_alike():
    loads = EndpointLoads()
    loads.begin(['one'], 5000)
    one = engine('one', 'small', (0, 5))
    alone = costs(loads, one, entry_count=1)
    shared = costs(loads, one, entry_count=3)
    assert shared.fill(one) > alone.fill(one)


def test_slots_count_only_at_the_first_stage():
    loads = EndpointLoads()
    for _ in range(96):
        loads.begin(['e'], 1)
    chain_costs = costs(loads, engine('e', 'small', (0, 5)), tokens=1)
    first = chain_costs.stage_cost('e', 5, is_first=True)
    assert first > chain_costs.stage_cost('e', 5, is_first=False)


def test_work_of_peers_is_counted():
    """An entry without work of its own at a busy endpoint still avoids it."""
    peers = PeerWork()
    peers.update({'busy': Work(60, 60, 60_000)}, 0)
    chain_costs = costs(
        EndpointLoads(),
        engine('busy', 'large', (0, 17)),
        engine('free', 'middle', (0, 8)),
        peers=peers,
    )
    assert stage_cost_of(chain_costs, 'free') < stage_cost_of(
        chain_costs, 'busy'
    )
