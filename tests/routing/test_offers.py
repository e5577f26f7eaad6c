import random
from collections import Counter

import pytest

from foxtailhatch.routing import ChainQuery, ShortestPathChooser
from foxtailhatch.routing.candidates import SAMPLED_HOLDERS
from foxtailhatch.routing.offers import growth_of
from foxtailhatch.routing.view import OBSERVED_FOR_S
from tests.routing.worlds import pool_of, report

ENTRIES = 8
QUERY = ChainQuery('m', '1', 4, expected_tokens=10)


def chooser(seed=0):
    return ShortestPathChooser(rng=random.Random(seed))


def entry_pool():
    """Return a pool as each entry sees it: 8 of 64 streams on two are ours."""
    pool = pool_of(
        report('one', 0, 4, max_streams=999),
        report('two', 0, 4, max_streams=999),
    )
    for _ in range(8):
        pool.note_stream_opened('two', 0, 1.0)
    pool.update_report(
        report('two', 0, 4, streams=64, max_streams=999, measured_at=2.0),
        3.0,
    )
    return pool


def test_entries_that_see_one_late_report_do_not_all_rush_to_one_endpoint():
    placed = Counter({'two': 64})
    for _ in range(ENTRIES):
        pool = entry_pool()
        for _ in range(16):
            stage = chooser().choose(QUERY, pool, 4.0).unwrap().stages[0]
            pool.note_stream_opened(stage.endpoint, 0, 4.0)
            placed[stage.endpoint] += 1
    assert abs(placed['one'] - placed['two']) <= 2 * ENTRIES


@pytest.mark.parametrize(
    ('waiting', 'expected'),
    [(0, 'fast'), (1, 'free')],
)
def test_throughput_goes_first_while_requests_wait(waiting, expected):
    pool = pool_of(
        report('fast', 0, 4, step_seconds=0.01, streams=30, max_streams=64),
        report('free', 0, 4, step_seconds=0.015, streams=1, max_streams=64),
    )
    pool.queued_requests = waiting
    stages = chooser().choose(QUERY, pool, 0.0).unwrap().stages
    assert stages[0].endpoint == expected


def test_growth_is_what_all_report_over_our_own():
    assert growth_of(entry_pool()) == 8


def test_growth_is_one_where_nothing_is_known_of_others():
    assert growth_of(pool_of(report('one', 0, 4))) == 1


def test_a_report_counts_own_work_only_once():
    pool = pool_of(report('one', 0, 4))
    pool.note_stream_opened('one', 100, 1.0)
    pool.update_report(
        report('one', 0, 4, streams=3, queued_tokens=100, measured_at=2.0),
        2.5,
    )
    view = pool.views['one']
    assert view.streams() == 3
    pool.note_stream_opened('one', 50, 3.0)
    assert view.streams() == 4
    assert view.queued_tokens() == 150


def test_a_guess_about_others_turns_no_request_away():
    pool = pool_of(report('one', 0, 4, max_streams=32))
    pool.note_stream_opened('one', 0, 1.0)
    pool.update_report(
        report('one', 0, 4, streams=8, max_streams=32, measured_at=2.0),
        3.0,
    )
    for _ in range(4):
        pool.note_stream_opened('one', 0, 4.0)
    assert chooser().choose(QUERY, pool, 5.0).unwrap()


def test_own_work_before_the_newest_report_is_forgotten():
    pool = pool_of(report('one', 0, 4))
    for moment in range(100):
        pool.note_stream_opened('one', 0, moment + 1)
    pool.update_report(report('one', 0, 4, streams=1, measured_at=95.0), 101.0)
    view = pool.views['one']
    assert view.own_load_at_report.streams == 95
    assert len(view.history) < 10


def test_own_work_at_a_report_is_known_after_an_earlier_report():
    pool = pool_of(report('one', 0, 4))
    for moment in (1.0, 10.0, 11.0):
        pool.note_stream_opened('one', 0, moment)
    for measured_at in (10.5, 10.7):
        pool.update_report(report('one', 0, 4, measured_at=measured_at), 12.0)
        assert pool.views['one'].own_load_at_report.streams == 2


def test_an_older_report_does_not_replace_a_newer_one():
    pool = pool_of(report('one', 0, 4, measured_at=5.0, streams=2))
    pool.update_report(report('one', 0, 4, measured_at=4.0, streams=7), 6.0)
    assert pool.views['one'].streams() == 2


@pytest.mark.parametrize(
    ('now', 'expected'),
    [(1.0, 'two'), (OBSERVED_FOR_S + 1, 'one')],
)
def test_an_endpoint_seen_to_be_slow_is_passed_over_for_a_while(now, expected):
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
