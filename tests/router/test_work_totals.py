"""What the entries of a zone have in progress, added up."""

from foxtailhatch.fleet import Work
from foxtailhatch.fleet.estimate import PEER_WORK_TTL_S
from foxtailhatch.router.work_totals import (
    WorkTotals,
    decode_work,
    encode_work,
    sum_work,
)


def test_others_are_all_but_the_one_that_asks():
    totals = WorkTotals()
    totals.tell('a', {'e1': Work(1, 1, 100)}, 0)
    totals.tell('b', {'e1': Work(2, 0, 300), 'e2': Work(1, 1, 5)}, 0)
    assert totals.of_others('a', 0) == {
        'e1': Work(2, 0, 300),
        'e2': Work(1, 1, 5),
    }
    assert totals.of_others('c', 0)['e1'] == Work(3, 1, 400)


def test_entry_that_tells_nothing_any_more_has_no_work():
    totals = WorkTotals()
    totals.tell('a', {'e1': Work(1, 1, 100)}, 0)
    assert totals.of_others('b', PEER_WORK_TTL_S + 0.1) == {}


def test_new_word_replaces_the_last():
    totals = WorkTotals()
    totals.tell('a', {'e1': Work(1, 1, 100)}, 0)
    totals.tell('a', {}, 1)
    assert totals.of_others('b', 1) == {}


def test_sums_leave_the_parts_alone():
    part = {'e1': Work(1, 0, 1)}
    sum_work((part, part))
    assert part == {'e1': Work(1, 0, 1)}


def test_work_survives_the_wire():
    work = {'e1': Work(1, 1, 100)}
    assert decode_work(encode_work(work)) == work
