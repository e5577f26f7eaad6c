from random import Random

from foxtailhatch.membership import EntryTable, LeaveNotice, Suspicion, Want
from foxtailhatch.membership.composer import Composer
from tests.membership.entry_values import entry


def composer_of(*others):
    table = EntryTable(entry('own'))
    for other in others:
        table.merge(other, 0.0)
    return table, Composer(table, Random(1))


def composed(composer, now=0.0, receiver=None):
    return composer.compose(receiver, Want.NOTHING, now)


def test_a_leave_is_told_with_its_age():
    _, composer = composer_of()
    composer.add_leave('gpu', 1.0, 1.0)
    assert composed(composer, 3.5).leaves == (LeaveNotice('gpu', 2.5),)


def test_a_leave_heard_too_late_is_no_news():
    _, composer = composer_of()
    assert not composer.add_leave('gpu', 0.0, 31.0)


def test_an_endpoint_that_leaves_again_later_is_news_again():
    _, composer = composer_of()
    assert composer.add_leave('gpu', 0.0, 0.0)
    assert not composer.add_leave('gpu', 1.0, 1.0)
    assert composer.add_leave('gpu', 100.0, 100.0)


def test_an_entry_that_refuted_is_no_longer_told_as_suspected():
    other = entry('other')
    _, composer = composer_of(other)
    composer.add_suspicion(other)
    assert composed(composer).suspicions == (Suspicion('other', 0),)
    composer.add_entry('other')
    assert composed(composer).suspicions == ()


def test_a_suspected_entry_is_told_to_nobody_as_alive():
    others = [entry(f'other-{number}') for number in range(9)]
    table, composer = composer_of(*others)
    composer.add_entry('other-7')
    table.suspect('other-7', 0, 0.0)
    told = [composed(composer).entries for _ in range(20)]
    assert others[7] not in {one for entries in told for one in entries}
    assert {len(entries) for entries in told} <= {2, 3, 4}


def test_the_receiver_is_not_told_of_itself():
    other = entry('other')
    _, composer = composer_of(other)
    assert composed(composer, receiver=other).entries == ()
