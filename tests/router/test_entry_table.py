"""Which entries are ready, read the store, and are recommended to callers."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailhatch.fleet import Work
from foxtailhatch.router.entry_table import (
    ENTRY_LIST_TIMEOUT_S,
    ENTRY_RETENTION_S,
    EntryRecord,
    EntryTable,
    Heartbeat,
    decode_entry,
    decode_heartbeat,
)


def entry(name, zone='z1', ready=True, region='here', cpu_cores=1.0):
    return EntryRecord(
        name,
        zone,
        region,
        f'{name}:80',
        f'{name}:90',
        cpu_cores,
        ready,
    )


def table_of_readers(*entries, now=0.0):
    table = EntryTable()
    for reader in entries:
        table.record_heartbeat(reader.name, Heartbeat([reader]), now)
    return table


def recommended(table, zone='z1', now=1.0, limit=64):
    return table.recommended_addresses('here', zone, now, limit)


def test_entries_of_the_zone_are_preferred():
    table = table_of_readers(entry('a'), entry('b'), entry('c', 'z2'))
    assert recommended(table) == ['a:80', 'b:80']


def test_region_is_recommended_if_the_zone_has_a_single_entry():
    table = table_of_readers(entry('a'), entry('c', 'z2'), entry('d', 'z3'))
    assert recommended(table) == ['a:80', 'c:80', 'd:80']


def test_stopping_and_silent_entries_are_not_recommended():
    table = table_of_readers(entry('a'), entry('b', ready=False))
    table.record_heartbeat('c', Heartbeat([entry('c')]), ENTRY_LIST_TIMEOUT_S)
    assert recommended(table, now=ENTRY_LIST_TIMEOUT_S + 1) == ['c:80']


def test_entry_dropped_from_a_list_is_not_recommended():
    table = EntryTable()
    table.record_heartbeat('a', Heartbeat([entry('a'), entry('b')]), 0)
    table.record_heartbeat('a', Heartbeat([entry('a')]), 1)
    assert recommended(table) == ['a:80']


def test_readers_are_the_entries_that_write_a_list():
    table = EntryTable()
    table.record_heartbeat('a', Heartbeat([entry('a'), entry('b')]), 0)
    table.record_heartbeat('c', Heartbeat([entry('c', cpu_cores=2.0)]), 0)
    assert [reader.name for reader in table.readers(1)] == ['c', 'a']


def test_entries_listed_last_are_recommended_in_a_store_outage():
    """In a long outage no list is current, but entries can still serve
    requests that need no key.
    """
    table = table_of_readers(entry('a'), entry('b'), entry('c', ready=False))
    assert recommended(table, now=ENTRY_LIST_TIMEOUT_S + 5) == ['a:80', 'b:80']
    assert recommended(table, now=ENTRY_RETENTION_S + 1) == []


def test_number_of_recommended_addresses_is_limited():
    table = table_of_readers(*(entry(f'e{number:02}') for number in range(80)))
    assert len(recommended(table, limit=64)) == 64


def test_heartbeat_round_trip():
    listed = [entry('a'), entry('b', ready=False)]
    heartbeat = Heartbeat(listed, {'e1': Work(2, 1, 900)})
    assert decode_heartbeat(heartbeat.encode()).unwrap() == heartbeat


def test_malformed_heartbeat_is_a_failure():
    assert decode_heartbeat(b'').failure()
    assert decode_heartbeat(b'\x01').failure()


@given(st.binary())
def test_arbitrary_bytes_raise_no_exception(raw):
    decode_heartbeat(raw)


def test_work_of_other_readers_is_summed():
    table = EntryTable()
    work = {'e1': Work(2, 1, 900)}
    table.record_heartbeat('a', Heartbeat([entry('a')], work), 0)
    table.record_heartbeat('b', Heartbeat([entry('b')], work), 0)
    assert table.work_of_other_readers('a', 1) == work
    assert table.work_of_other_readers('c', 1) == {'e1': Work(4, 2, 1800)}
    assert table.work_of_other_readers('c', ENTRY_LIST_TIMEOUT_S + 1) == {}


# Guards against advice that sends callers to entries which cannot serve them.
def test_entries_that_are_cut_off_are_not_recommended():
    table = EntryTable()
    cut = [replace(entry(name), unreached=('model',)) for name in ('a', 'b')]
    sound = [entry('c', 'z2'), entry('d', 'z2')]
    table.record_heartbeat('a', Heartbeat([*cut, *sound]), 0)
    advised = table.recommended_addresses('here', cut[0].zone, 0, 64)
    assert advised == sorted(one.address for one in sound)
    table.record_heartbeat('a', Heartbeat(cut), 0)
    advised = table.recommended_addresses('here', cut[0].zone, 0, 64)
    assert advised == sorted(one.address for one in cut)


def test_services_out_of_reach_are_announced():
    cut = replace(entry('a'), unreached=('model',))
    assert decode_entry(cut.fields()).unwrap() == cut


# Guards against entries that can no longer be ranked, beside one odd record.
@pytest.mark.parametrize(
    ('position', 'odd'),
    [(0, 7), (1, None), (4, b'a:1'), (5, 'one'), (6, 1), (7, 'model')],
)
def test_entry_with_a_field_of_another_type_is_a_failure(position, odd):
    fields = entry('a').fields()
    fields[position] = odd
    assert decode_entry(fields).failure()


def test_ready_entries_expire_while_nothing_is_heard():
    """A list that is kept for many choices must not outlive its timeout."""
    table = EntryTable()
    heartbeat = Heartbeat([entry('a')])
    table.record_heartbeat('a', heartbeat, 10)
    assert [one.name for one in table.ready(10)] == ['a']
    assert [one.name for one in table.ready(14)] == ['a']
    assert table.ready(14.1) == []
    table.record_heartbeat('a', heartbeat, 15)
    assert [one.name for one in table.ready(15)] == ['a']
    table.remove('a')
    assert table.ready(15) == []
