"""Sums of the work that the entries of a zone have in progress."""

from random import Random

from foxtailhatch.fleet import Work
from foxtailhatch.fleet.estimate import PEER_WORK_TTL_S
from foxtailhatch.router.work_totals import (
    WorkTotals,
    decode_work,
    encode_work,
    sum_work,
)


def test_total_excludes_the_requesting_entry():
    totals = WorkTotals()
    totals.report('a', {'e1': Work(1, 1, 100)}, 0)
    totals.report('b', {'e1': Work(2, 0, 300), 'e2': Work(1, 1, 5)}, 0)
    assert totals.excluding('a', 0) == {
        'e1': Work(2, 0, 300),
        'e2': Work(1, 1, 5),
    }
    assert totals.excluding('c', 0)['e1'] == Work(3, 1, 400)


def test_old_report_is_dropped():
    totals = WorkTotals()
    totals.report('a', {'e1': Work(1, 1, 100)}, 0)
    assert totals.excluding('b', PEER_WORK_TTL_S + 0.1) == {}


def test_new_report_replaces_the_last():
    totals = WorkTotals()
    totals.report('a', {'e1': Work(1, 1, 100)}, 0)
    totals.report('a', {}, 1)
    assert totals.excluding('b', 1) == {}


def test_sum_does_not_change_its_parts():
    part = {'e1': Work(1, 0, 1)}
    sum_work((part, part))
    assert part == {'e1': Work(1, 0, 1)}


def test_work_round_trip():
    work = {'e1': Work(1, 1, 100)}
    assert decode_work(encode_work(work)) == work


def test_sums_that_are_kept_match_a_sum_of_all_reports():
    """Counts that are added and withdrawn in turn must not drift."""
    random = Random(7)
    totals, reported = WorkTotals(), {}
    for now in range(300):
        entry = random.choice('abcdef')
        reported[entry] = {
            f'e{number}': Work(
                random.randrange(1, 9),
                random.randrange(9),
                random.randrange(1, 900),
                random.randrange(3),
                random.choice((None, None, 4.0, 9.0)),
            )
            for number in random.sample(range(12), random.randrange(5))
        }
        totals.report(entry, reported[entry], now / 1000)
        others = [work for name, work in reported.items() if name != 'c']
        assert totals.excluding('c', now / 1000) == sum_work(others)


def test_limit_without_work_is_kept():
    """A limit that an idle entry reports holds for the others too."""
    totals = WorkTotals()
    totals.report('a', {'e1': Work(limit_per_s=4.0)}, 0)
    totals.report('b', {'e1': Work(1, 1, 100)}, 0)
    totals.report('b', {}, 0)
    assert totals.excluding('c', 0) == {'e1': Work(limit_per_s=4.0)}
