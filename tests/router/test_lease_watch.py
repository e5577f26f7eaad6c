"""When an entry without the lease looks for the holder, and when it joins."""

from dataclasses import replace

import pytest

from foxtailhatch.router.lease_watch import (
    FAILED_LOOKS_MAX,
    FIRST_LOOK_S,
    NEXT_LOOK_S,
    STAGGER_S,
    UNLISTED_S,
    LeaseWatch,
)
from tests.router.fakes import board

OWN = board().own_entry()
READERS = [replace(OWN, name=f'entry-{number}') for number in range(3)]


def watching(holder, at=10.0, own='entry-1'):
    watch = LeaseWatch(own)
    watch.record_holder(holder, at, is_listed=True)
    return watch


def test_nobody_joins_while_the_lease_is_held():
    assert not watching('entry-0').should_join(READERS, 100)


@pytest.mark.parametrize('position', range(3))
def test_missing_holder_is_replaced_by_one_reader_after_the_other(position):
    watch = watching('', own=f'entry-{position}')
    joins_at = 10 + STAGGER_S * position
    assert watch.should_join(READERS, joins_at + 0.01)
    assert not watch.should_join(READERS, joins_at - 0.01)


def test_former_holder_is_not_waited_for():
    watch = watching('entry-0')
    watch.record_holder('', 20, is_listed=False)
    assert watch.should_join(READERS, 20)


def test_entry_that_was_the_holder_before_its_restart_joins_at_once():
    assert watching('entry-1').should_join(READERS, 10)


def test_holder_that_no_entry_lists_any_more_is_replaced():
    watch = LeaseWatch('entry-1')
    watch.record_holder('entry-0', 10, is_listed=False)
    assert not watch.should_join(READERS, 10)
    watch.record_holder('entry-0', 10 + UNLISTED_S, is_listed=False)
    assert watch.should_join(READERS, 10 + UNLISTED_S)


# Guards against an entry that joins beside a holder, as no list of the entries
# was current after an outage.
def test_readers_of_before_count_while_none_are_listed():
    watch = watching('entry-0', own='entry-2')
    assert watch.is_due(READERS, 10 + NEXT_LOOK_S)
    watch.record_holder('', 30, is_listed=False)
    assert not watch.should_join([], 30)
    assert watch.should_join([], 30.01 + STAGGER_S)


def test_reader_that_would_join_first_looks_more_often():
    assert watching('entry-0').is_due(READERS, 10 + FIRST_LOOK_S)
    later = watching('entry-0', own='entry-2')
    assert not later.is_due(READERS, 10 + FIRST_LOOK_S)


def test_missing_holder_is_looked_for_all_the_time():
    assert watching('').is_due(READERS, 10.01)


@pytest.mark.parametrize('failures', range(FAILED_LOOKS_MAX + 1))
def test_entry_joins_if_the_holder_cannot_be_found_out(failures):
    watch = watching('entry-0')
    for _ in range(failures):
        watch.record_failure(11)
    assert watch.should_join(READERS, 11) == (failures >= FAILED_LOOKS_MAX)
