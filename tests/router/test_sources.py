"""Who reads the store, and what happens when a source fails."""

from foxtailhatch.router.entry_table import EntryTable
from foxtailhatch.router.sources import SOURCE_REST_S, Sources
from tests.router.test_entry_table import entry


def readers(*entries):
    table = EntryTable()
    for one in entries:
        table.hear(one.name, [one], 0)
    return table


def name(found):
    return None if found is None else found.name


def test_alone_an_entry_reads_the_store():
    assert Sources(entry('a')).peer(EntryTable(), 0) is None


def test_best_of_a_zone_reads_and_the_others_are_fed():
    table = readers(entry('a'), entry('b'), entry('strong', strength=2.0))
    assert Sources(entry('strong', strength=2.0)).peer(table, 0) is None
    assert name(Sources(entry('a')).peer(table, 0)) == 'strong'


def test_other_zones_do_not_feed():
    table = readers(entry('far', 'z2', strength=2.0))
    assert Sources(entry('a')).peer(table, 0) is None


def test_failing_peer_is_left_for_the_store_and_tried_again():
    table = readers(entry('a'))
    sources = Sources(entry('b'))
    sources.peer_failed('a', 0)
    assert sources.peer(table, 0.1) is None
    assert name(sources.peer(table, SOURCE_REST_S)) == 'a'


def test_best_entry_without_the_store_asks_another():
    table = readers(entry('a'), entry('b'))
    sources = Sources(entry('a'))
    sources.store_failed(0)
    assert name(sources.peer(table, 0.1)) == 'b'
    assert sources.peer(table, SOURCE_REST_S) is None


def test_nobody_else_to_ask_leaves_the_store():
    sources = Sources(entry('a'))
    sources.store_failed(0)
    assert sources.peer(readers(entry('a')), 0.1) is None
