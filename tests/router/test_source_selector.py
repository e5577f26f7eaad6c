"""Who reads the store, and what happens when a source fails."""

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


def readers(*entries):
    table = EntryTable()
    for one in entries:
        table.record_heartbeat(one.name, Heartbeat([one]), 0)
    return table


def fed_by(reader, *others):
    """Return a table in which one entry lists all others."""
    table = EntryTable()
    table.record_heartbeat(reader.name, Heartbeat([reader, *others]), 0)
    return table


def chosen(sources, table, now):
    return sources.choose(table, now).name


def test_alone_an_entry_reads_the_store():
    assert SourceSelector(entry('a')).choose(EntryTable(), 0) is STORE


def test_best_of_a_zone_reads_and_the_others_are_fed():
    table = readers(entry('a'), entry('b'), entry('strong', cpu_cores=2.0))
    assert (
        SourceSelector(entry('strong', cpu_cores=2.0)).choose(table, 0) is STORE
    )
    assert chosen(SourceSelector(entry('a')), table, 0) == 'strong'


def test_other_zones_do_not_feed_a_zone_that_has_a_reader():
    table = readers(entry('far', 'z2', cpu_cores=2.0), entry('a'))
    assert chosen(SourceSelector(entry('b')), table, 0) == 'a'


def test_failing_peer_is_left_for_the_store_and_tried_again():
    table = readers(entry('a'))
    sources = SourceSelector(entry('b'))
    sources.peer_failed('a', 0)
    assert chosen(sources, table, 0.1) == 'store'
    assert chosen(sources, table, SOURCE_BACKOFF_S) == 'a'


def test_best_entry_without_the_store_asks_another():
    table = readers(entry('a'), entry('b'))
    sources = SourceSelector(entry('a'))
    sources.store_failed(0)
    assert chosen(sources, table, 0.1) == 'b'
    assert chosen(sources, table, SOURCE_BACKOFF_S) == 'store'


def test_nobody_else_to_ask_leaves_the_store():
    sources = SourceSelector(entry('a'))
    sources.store_failed(0)
    assert sources.choose(readers(entry('a')), 0.1) is STORE


@pytest.mark.parametrize(('name', 'place'), [('b', 0), ('c', 1), ('d', 2)])
def test_entries_of_a_zone_try_the_store_one_after_the_other(name, place):
    """Trouble at the store: the reader of the zone has nothing new."""
    table = fed_by(entry('a'), entry('b'), entry('c'), entry('d'))
    sources = SourceSelector(entry(name))
    sources.peer_failed('a', 0)
    begun = 0.1
    assert (sources.choose(table, begun) is STORE) == (place == 0)
    turn = begun + STAGGER_S * place
    assert sources.choose(table, turn) is STORE


def test_entry_that_waits_for_its_turn_asks_another_zone():
    table = fed_by(entry('a'), entry('b'), entry('c'))
    far = entry('far', 'z2')
    table.record_heartbeat('far', Heartbeat([far]), 0)
    sources = SourceSelector(entry('c'))
    sources.peer_failed('a', 0)
    assert chosen(sources, table, 0.1) == 'far'


def test_entry_without_a_reader_asks_the_next_of_its_zone():
    table = fed_by(entry('a'), entry('b'), entry('c'))
    sources = SourceSelector(entry('c'))
    sources.peer_failed('a', 0)
    assert chosen(sources, table, 0.1) == 'b'
    sources.peer_outdated('b', 0.1, reads_store=False)
    assert sources.choose(table, 0.2) is NO_SOURCE


def test_store_that_is_back_is_known_in_the_zone_within_a_second():
    """An outage longer than heartbeats count: the first finds it is over."""
    names = [f'e{place:02}' for place in range(20)]
    table = fed_by(*map(entry, names))
    sources = SourceSelector(entry('e19'))
    begun, back, now = 5.0, 13.0, 5.0
    while now < back:
        source = sources.choose(table, now)
        if source is STORE:
            sources.store_failed(now)
        elif source.peer is not None:
            sources.peer_outdated(
                source.peer.name,
                now + 0.5,
                reads_store=source.peer.name == 'e00',
            )
        now += 0.5
    asked = set()
    while now < back + 1.5:
        source = sources.choose(table, now)
        if source.peer is not None:
            asked.add(source.peer.name)
            sources.peer_outdated(
                source.peer.name,
                now + 0.5,
                reads_store=source.peer.name == 'e00',
            )
        now += 0.5
    assert 'e00' in asked
    assert begun < back


def test_store_that_is_away_gets_few_calls():
    """A zone of twenty entries, and a store that is away for eight seconds."""
    names = [f'e{place:02}' for place in range(20)]
    table = fed_by(*map(entry, names))
    each = [SourceSelector(entry(name)) for name in names]
    calls = 0
    for tick in range(80):
        now = tick / 10
        for sources in each:
            source = sources.choose(table, now)
            if source is STORE:
                calls += 1
                sources.store_failed(now)
            elif source.peer is not None:
                sources.peer_outdated(
                    source.peer.name,
                    now + 0.5,
                    reads_store=source.peer.name == names[0],
                )
    assert calls <= 80 + 2 * len(names)
