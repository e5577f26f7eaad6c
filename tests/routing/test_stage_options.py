import random
from collections import Counter

import pytest

from foxtailhatch.routing import ChainQuery, ShortestPathChooser
from foxtailhatch.routing.candidates import SAMPLED_HOLDERS
from foxtailhatch.routing.stage_options import estimate_load_scale
from foxtailhatch.routing.view import OBSERVATION_TTL_S
from tests.routing.factories import pool_of, report

ENTRIES = 8
QUERY = ChainQuery('m', '1', 4, expected_tokens=10)


def chooser(seed=0):
    return ShortestPathChooser(rng=random.Random(seed))


def entry_pool():
    """Return one entry's pool: 8 of the 64 streams on ``two`` are its own."""
    pool = pool_of(
        report('one', 0, 4, max_streams=999),
        report('two', 0, 4, max_streams=999),
    )
    for _ in range(8):
        pool.record_stream_opened('two', 0, 1.0)
    pool.update_report(
        report('two', 0, 4, streams=64, max_streams=999, measured_at=2.0),
        3.0,
    )
    return pool


def test_entries_that_share_a_delayed_report_spread_over_endpoints():
    placed = Counter({'two': 64})
    for _ in range(ENTRIES):
        pool = entry_pool()
        for _ in range(16):
            stage = chooser().choose(QUERY, pool, 4.0).unwrap().stages[0]
            pool.record_stream_opened(stage.endpoint, 0, 4.0)
            placed[stage.endpoint] += 1
    assert abs(placed['one'] - placed['two']) <= 2 * ENTRIES


@pytest.mark.parametrize(
    ('waiting', 'expected'),
    [(0, 'fast'), (1, 'free')],
)
def test_throughput_takes_precedence_while_requests_are_queued(
    waiting, expected
):
    pool = pool_of(
        report('fast', 0, 4, step_seconds=0.01, streams=30, max_streams=64),
        report('free', 0, 4, step_seconds=0.015, streams=1, max_streams=64),
    )
    pool.queued_requests = waiting
    stages = chooser().choose(QUERY, pool, 0.0).unwrap().stages
    assert stages[0].endpoint == expected


def test_load_scale_is_the_ratio_of_reported_to_own_streams():
    assert estimate_load_scale(entry_pool()) == 8


def test_load_scale_is_one_without_load_of_other_entries():
    assert estimate_load_scale(pool_of(report('one', 0, 4))) == 1


def test_a_report_counts_own_load_only_once():
    pool = pool_of(report('one', 0, 4))
    pool.record_stream_opened('one', 100, 1.0)
    pool.update_report(
        report('one', 0, 4, streams=3, queued_tokens=100, measured_at=2.0),
        2.5,
    )
    view = pool.views['one']
    assert view.streams() == 3
    pool.record_stream_opened('one', 50, 3.0)
    assert view.streams() == 4
    assert view.queued_tokens() == 150


def test_estimated_load_of_other_entries_causes_no_refusal():
    pool = pool_of(report('one', 0, 4, max_streams=32))
    pool.record_stream_opened('one', 0, 1.0)
    pool.update_report(
        report('one', 0, 4, streams=8, max_streams=32, measured_at=2.0),
        3.0,
    )
    for _ in range(4):
        pool.record_stream_opened('one', 0, 4.0)
    assert chooser().choose(QUERY, pool, 5.0).unwrap()


def test_own_load_before_the_newest_report_is_pruned():
    pool = pool_of(report('one', 0, 4))
    for time_s in range(100):
        pool.record_stream_opened('one', 0, time_s + 1)
    pool.update_report(report('one', 0, 4, streams=1, measured_at=95.0), 101.0)
    view = pool.views['one']
    assert view.own_load_at_report.streams == 95
    assert len(view.history) < 10


def test_own_load_at_a_report_is_known_after_an_earlier_report():
    pool = pool_of(report('one', 0, 4))
    for time_s in (1.0, 10.0, 11.0):
        pool.record_stream_opened('one', 0, time_s)
    for measured_at in (10.5, 10.7):
        pool.update_report(report('one', 0, 4, measured_at=measured_at), 12.0)
        assert pool.views['one'].own_load_at_report.streams == 2


def test_an_older_report_does_not_replace_a_newer_one():
    pool = pool_of(report('one', 0, 4, measured_at=5.0, streams=2))
    pool.update_report(report('one', 0, 4, measured_at=4.0, streams=7), 6.0)
    assert pool.views['one'].streams() == 2


@pytest.mark.parametrize(
    ('now', 'expected'),
    [(1.0, 'two'), (OBSERVATION_TTL_S + 1, 'one')],
)
def test_an_endpoint_observed_to_be_slow_is_avoided_temporarily(now, expected):
    pool = pool_of(
        report('one', 0, 4, step_seconds=0.01),
        report('two', 0, 4, step_seconds=0.011),
    )
    pool.observe_step('one', 4, 0.5, 0.0)
    stages = chooser().choose(QUERY, pool, now).unwrap().stages
    assert stages[0].endpoint == expected


def test_many_holders_of_one_range_are_sampled_differently_by_entries():
    names = [f'e{number}' for number in range(8 * SAMPLED_HOLDERS)]
    pool = pool_of(*(report(name, 0, 4) for name in names))
    chosen = {
        chooser(seed).choose(QUERY, pool, 0.0).unwrap().stages[0].endpoint
        for seed in range(ENTRIES)
    }
    assert len(chosen) > ENTRIES // 2


@pytest.mark.parametrize('seed', range(3))
def test_a_sample_without_a_usable_endpoint_is_widened(seed):
    names = [f'e{number}' for number in range(8 * SAMPLED_HOLDERS)]
    pool = pool_of(*(report(name, 0, 4) for name in names))
    for name in names[1:]:
        pool.set_usable(name, usable=False)
    stages = chooser(seed).choose(QUERY, pool, 0.0).unwrap().stages
    assert stages[0].endpoint == 'e0'
