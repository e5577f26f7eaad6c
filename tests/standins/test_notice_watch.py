"""The stand-ins see which promises to endpoints are broken."""

import pytest

from standins.notice_watch import DRAIN_S, NoticeWatch


@pytest.fixture
def watch():
    return NoticeWatch([])


def test_request_long_after_the_word_breaks_a_promise(watch):
    watch.record_leaving('e1', 'a', 0)
    watch.record_leaving('e1', 'a', 1.9)
    watch.record_request('e1', 'a', 'q1', DRAIN_S)
    watch.record_call('e1', 'a', '/report', 9)
    watch.record_request('e1', 'b', 'q2', 9)
    watch.record_request('e2', 'a', 'q3', 9)
    assert watch.violations == []
    watch.record_request('e1', 'a', 'q4', DRAIN_S + 0.1)
    assert len(watch.violations) == 1
    assert watch.told == 1


def test_third_request_in_a_pause_breaks_a_promise(watch):
    watch.record_pause('e1', 'a', 2, 0)
    for at in (0.1, 0.2, 0.3, 0.6, 0.7, 2, 2.1, 2.2):
        watch.record_request('e1', 'a', 'q', at)
    assert watch.violations == []
    watch.record_call('e1', 'a', '/report', 1.9)
    assert watch.violations == ['/report reached e1 as number 3 in a pause']
    watch.record_request('e1', 'a', 'q', 1.95)
    assert len(watch.violations) == 1


def test_each_refusal_with_a_pause_counts_for_itself(watch):
    watch.record_pause('e1', 'a', 2, 0)
    watch.record_pause('e1', 'a', 2, 1)
    for at in (0.6, 1.1, 2.1, 2.2):
        watch.record_request('e1', 'a', 'q', at)
    assert watch.violations == []
    watch.record_request('e1', 'a', 'q', 2.3)
    assert len(watch.violations) == 1


def test_other_entries_and_endpoints_do_not_count(watch):
    watch.record_pause('e1', 'a', 2, 0)
    for number in range(9):
        watch.record_request('e1', 'b', f'q{number}', 1)
        watch.record_request('e2', 'a', f'q{number}', 1)
    assert watch.violations == []


def test_restart_excuses_an_entry(watch):
    for entry in ('a', 'b'):
        watch.record_leaving('e1', entry, 0)
        watch.record_pause('e1', entry, 5, 0)
    watch.excuse('a')
    for _ in range(3):
        watch.record_request('e1', 'a', 'q', 4)
    assert watch.violations == []
    watch.record_request('e1', 'b', 'q', 4)
    assert len(watch.violations) == 1
    assert (watch.told, watch.asked) == (1, 1)
