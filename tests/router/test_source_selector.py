"""Which entries read the store, and the choice after a source failed."""

import pytest

from foxtailhatch.router.entry_table import EntryTable, Heartbeat
from foxtailhatch.router.source_selector import (
    NO_SOURCE,
    SOURCE_BACKOFF_S,
    STAGGER_S,
    STORE,
    SourceSelector,
)
from tests.router.test_entry_table import entry


def table_of_readers(*entries):
    table = EntryTable()
    for reader in entries:
        table.record_heartbeat(reader.name, Heartbeat([reader]), 0)
    return table


def table_of_fed_entries(reader, *others):
    """Return a table in which ``reader`` lists all others."""
    table = EntryTable()
    table.record_heartbeat(reader.name, Heartbeat([reader, *others]), 0)
    return table


def selected_name(selector, table, now):
    return selector.select(table, now).name


def test_entry_without_peers_reads_the_store():
    assert SourceSelector(entry('a')).select(EntryTable(), 0) is STORE


def test_preferred_entry_of_a_zone_reads_and_the_others_are_fed():
    table = table_of_readers(
        entry('a'), entry('b'), entry('strong', cpu_cores=2.0)
    )
    assert (
        SourceSelector(entry('strong', cpu_cores=2.0)).select(table, 0) is STORE
    )
    assert selected_name(SourceSelector(entry('a')), table, 0) == 'strong'


def test_reader_of_the_own_zone_is_preferred_to_other_zones():
    table = table_of_readers(entry('far', 'z2', cpu_cores=2.0), entry('a'))
    assert selected_name(SourceSelector(entry('b')), table, 0) == 'a'


def test_failed_peer_is_asked_again_after_the_back_off():
    table = table_of_readers(entry('a'))
    selector = SourceSelector(entry('b'))
    selector.peer_failed('a', 0)
    assert selected_name(selector, table, 0.1) == 'store'
    assert selected_name(selector, table, SOURCE_BACKOFF_S) == 'a'


def test_preferred_entry_asks_a_peer_after_the_store_failed():
    table = table_of_readers(entry('a'), entry('b'))
    selector = SourceSelector(entry('a'))
    selector.store_failed(0)
    assert selected_name(selector, table, 0.1) == 'b'
    assert selected_name(selector, table, SOURCE_BACKOFF_S) == 'store'


def test_store_is_read_despite_back_off_if_there_is_no_peer():
    selector = SourceSelector(entry('a'))
    selector.store_failed(0)
    assert selector.select(table_of_readers(entry('a')), 0.1) is STORE


@pytest.mark.parametrize(('name', 'position'), [('b', 0), ('c', 1), ('d', 2)])
def test_entries_of_a_zone_try_the_store_in_order_of_preference(name, position):
    """The store is in trouble, and the reader of the zone has no fresh data."""
    table = table_of_fed_entries(entry('a'), entry('b'), entry('c'), entry('d'))
    selector = SourceSelector(entry(name))
    selector.peer_failed('a', 0)
    start = 0.1
    assert (selector.select(table, start) is STORE) == (position == 0)
    own_time = start + STAGGER_S * position
    assert selector.select(table, own_time) is STORE


def test_entry_asks_another_zone_until_it_may_try_the_store():
    table = table_of_fed_entries(entry('a'), entry('b'), entry('c'))
    far = entry('far', 'z2')
    table.record_heartbeat('far', Heartbeat([far]), 0)
    selector = SourceSelector(entry('c'))
    selector.peer_failed('a', 0)
    assert selected_name(selector, table, 0.1) == 'far'


def test_entry_without_a_reader_asks_a_more_preferred_entry():
    table = table_of_fed_entries(entry('a'), entry('b'), entry('c'))
    selector = SourceSelector(entry('c'))
    selector.peer_failed('a', 0)
    assert selected_name(selector, table, 0.1) == 'b'
    selector.peer_outdated('b', 0.1, reads_store=False)
    assert selector.select(table, 0.2) is NO_SOURCE


def test_end_of_a_long_outage_is_noticed_in_the_zone_soon():
    """The outage is longer than the time for which heartbeats count.  The
    most preferred entry notices its end first, so it must be asked soon.
    """
    names = [f'e{number:02}' for number in range(20)]
    table = table_of_fed_entries(*map(entry, names))
    selector = SourceSelector(entry('e19'))
    start, end, now = 5.0, 13.0, 5.0
    while now < end:
        source = selector.select(table, now)
        if source is STORE:
            selector.store_failed(now)
        elif source.peer is not None:
            selector.peer_outdated(
                source.peer.name,
                now + 0.5,
                reads_store=source.peer.name == 'e00',
            )
        now += 0.5
    asked = set()
    while now < end + 1.5:
        source = selector.select(table, now)
        if source.peer is not None:
            asked.add(source.peer.name)
            selector.peer_outdated(
                source.peer.name,
                now + 0.5,
                reads_store=source.peer.name == 'e00',
            )
        now += 0.5
    assert 'e00' in asked
    assert start < end


def test_unreachable_store_gets_few_calls():
    """A zone of twenty entries, and a store outage of eight seconds."""
    names = [f'e{number:02}' for number in range(20)]
    table = table_of_fed_entries(*map(entry, names))
    selectors = [SourceSelector(entry(name)) for name in names]
    calls = 0
    for tick in range(80):
        now = tick / 10
        for selector in selectors:
            source = selector.select(table, now)
            if source is STORE:
                calls += 1
                selector.store_failed(now)
            elif source.peer is not None:
                selector.peer_outdated(
                    source.peer.name,
                    now + 0.5,
                    reads_store=source.peer.name == names[0],
                )
    assert calls <= 80 + 2 * len(names)
