import random
from dataclasses import replace

import pytest

from foxtailhatch.core import (
    Chain,
    ChainStage,
    ErrorCode,
    Holding,
    Invariant,
    InvariantViolation,
    LayerRange,
    RunState,
    check_counts,
    is_partition,
)
from foxtailhatch.routing import ChainQuery, ShortestPathChooser
from foxtailhatch.routing.chooser import check_chain
from tests.routing.factories import endpoint, pool_of, report


def query(layers=4, **fields):
    return ChainQuery('m', '1', layers, expected_tokens=10, **fields)


def choose_stages(pool, chain_query):
    return ShortestPathChooser().choose(chain_query, pool, 0.0).unwrap().stages


def test_a_fast_endpoint_is_preferred():
    pool = pool_of(
        report('slow', 0, 4, step_seconds=0.4),
        report('fast', 0, 4, step_seconds=0.1),
    )
    assert choose_stages(pool, query()) == (
        ChainStage('fast', LayerRange(0, 4)),
    )


def test_an_endpoint_may_run_part_of_the_layers_it_holds():
    pool = pool_of(
        report('slow', 0, 4, step_seconds=4),
        report('fast', 2, 6, step_seconds=0.01),
    )
    assert choose_stages(pool, query(6)) == (
        ChainStage('slow', LayerRange(0, 2)),
        ChainStage('fast', LayerRange(2, 6)),
    )


def test_an_endpoint_in_the_same_zone_is_preferred():
    pool = pool_of(
        report('far', 0, 4),
        report('near', 0, 4),
        zones={'far': 'c'},
    )
    assert choose_stages(pool, query())[0].endpoint == 'near'


def test_an_observed_long_round_trip_counts():
    pool = pool_of(report('one', 0, 4), report('two', 0, 4))
    pool.observe_round_trip('one', 0.5)
    assert choose_stages(pool, query())[0].endpoint == 'two'


def test_own_load_since_the_report_counts():
    pool = pool_of(report('one', 0, 4), report('two', 0, 4))
    first = choose_stages(pool, query())[0].endpoint
    pool.record_stream_opened(first, 0, 1.0)
    assert choose_stages(pool, query())[0].endpoint != first


@pytest.mark.parametrize('cause', ['excluded', 'unusable', 'labels', 'full'])
def test_without_a_chain_the_refusal_says_not_run(cause):
    pool = pool_of(report('one', 0, 4, streams=8 if cause == 'full' else 0))
    pool.set_usable('one', usable=cause != 'unusable')
    chain_query = query(
        excluded=frozenset({'one'} if cause == 'excluded' else ()),
        endpoint_labels={'ward': '7'} if cause == 'labels' else {},
    )
    refusal = ShortestPathChooser().choose(chain_query, pool, 0.0).failure()
    assert refusal.code is ErrorCode.NO_CAPACITY
    assert refusal.run is RunState.NOT_RUN
    assert refusal.retry_after_s


def test_an_endpoint_with_the_required_labels_is_used():
    pool = pool_of(report('one', 0, 4))
    pool.add(endpoint('one', labels={'ward': '7'}))
    chain_query = query(endpoint_labels={'ward': '7'})
    assert choose_stages(pool, chain_query)[0].endpoint == 'one'


def test_an_endpoint_is_not_used_twice_for_a_small_gain():
    pool = pool_of(
        report('whole', 0, 6, step_seconds=0.06),
        report('middle', 2, 4, step_seconds=0.018),
    )
    assert len(choose_stages(pool, query(6))) == 1


def test_an_endpoint_is_used_twice_where_it_clearly_pays():
    ends = replace(
        report('ends', 0, 2),
        holdings=(
            Holding('m', '1', LayerRange(0, 2)),
            Holding('m', '1', LayerRange(4, 6)),
        ),
    )
    slow = report('slow', 4, 6, step_seconds=5)
    pool = pool_of(ends, report('middle', 2, 4), slow)
    names = [stage.endpoint for stage in choose_stages(pool, query(6))]
    assert names == ['ends', 'middle', 'ends']


def test_kept_stages_need_no_prefill():
    pool = pool_of(
        report('old-1', 0, 2, streams=1),
        report('old-2', 2, 4, streams=1),
        report('new', 0, 4, step_seconds=0.039),
    )
    kept = (ChainStage('old-1', LayerRange(0, 2)),)
    chain_query = query(prompt_tokens=5000, kept_stages=kept)
    assert choose_stages(pool, chain_query)[0] == kept[0]


def test_a_kept_stage_on_a_full_endpoint_can_be_used():
    pool = pool_of(report('one', 0, 4, streams=8))
    kept = (ChainStage('one', LayerRange(0, 4)),)
    assert choose_stages(pool, query(kept_stages=kept)) == kept


def test_a_chain_that_skips_a_layer_breaks_the_invariant():
    chain = Chain('m', '1', (ChainStage('one', LayerRange(1, 4)),))
    with pytest.raises(InvariantViolation):
        check_chain(chain, 4)


def test_chains_of_random_pools_cover_each_layer_once():
    source = random.Random(7)
    before = check_counts[Invariant.LAYERS_ONCE_IN_ORDER]
    for _ in range(200):
        reports = [report('base', 0, 12, step_seconds=1)]
        for number in range(10):
            first = source.randrange(11)
            end = source.randrange(first + 1, 13)
            reports.append(report(f'e{number}', first, end))
        stages = choose_stages(pool_of(*reports), query(12))
        assert is_partition([stage.layers for stage in stages], 12)
    assert check_counts[Invariant.LAYERS_ONCE_IN_ORDER] == before + 200
