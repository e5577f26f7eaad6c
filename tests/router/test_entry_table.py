from hypothesis import given
from hypothesis import strategies as st

from foxtailhatch.fleet import Work
from foxtailhatch.router.entry_table import (
    ENTRY_LIST_TIMEOUT_S,
    ENTRY_RETENTION_S,
    EntryRecord,
    EntryTable,
    Heartbeat,
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


def table(*entries, now=0.0):
    made = EntryTable()
    for one in entries:
        made.record_heartbeat(one.name, Heartbeat([one]), now)
    return made


def recommended(made, zone='z1', now=1.0, limit=64):
    return made.recommended_addresses('here', zone, now, limit)


def test_entries_of_the_zone_come_first():
    made = table(entry('a'), entry('b'), entry('c', 'z2'))
    assert recommended(made) == ['a:80', 'b:80']


def test_zone_with_a_single_entry_is_helped_by_the_region():
    made = table(entry('a'), entry('c', 'z2'), entry('d', 'z3'))
    assert recommended(made) == ['a:80', 'c:80', 'd:80']


def test_stopping_and_silent_entries_are_not_advised():
    made = table(entry('a'), entry('b', ready=False))
    made.record_heartbeat('c', Heartbeat([entry('c')]), ENTRY_LIST_TIMEOUT_S)
    assert recommended(made, now=ENTRY_LIST_TIMEOUT_S + 1) == ['c:80']


def test_entry_that_is_no_longer_fed_is_gone_at_once():
    made = EntryTable()
    made.record_heartbeat('a', Heartbeat([entry('a'), entry('b')]), 0)
    made.record_heartbeat('a', Heartbeat([entry('a')]), 1)
    assert recommended(made) == ['a:80']


def test_readers_are_those_that_write_a_list():
    made = EntryTable()
    made.record_heartbeat('a', Heartbeat([entry('a'), entry('b')]), 0)
    made.record_heartbeat('c', Heartbeat([entry('c', cpu_cores=2.0)]), 0)
    assert [one.name for one in made.readers(1)] == ['c', 'a']


def test_entries_listed_last_are_advised_while_nobody_can_list():
    """The store is away for long: requests without a key can be served."""
    made = table(entry('a'), entry('b'), entry('c', ready=False))
    assert recommended(made, now=ENTRY_LIST_TIMEOUT_S + 5) == ['a:80', 'b:80']
    assert recommended(made, now=ENTRY_RETENTION_S + 1) == []


def test_advice_is_bounded():
    made = table(*(entry(f'e{place:02}') for place in range(80)))
    assert len(recommended(made, limit=64)) == 64


def test_list_survives_the_log():
    listed = [entry('a'), entry('b', ready=False)]
    heartbeat = Heartbeat(listed, {'e1': Work(2, 1, 900)})
    assert decode_heartbeat(heartbeat.encode()).unwrap() == heartbeat


def test_bytes_that_are_no_list_are_an_outcome():
    assert decode_heartbeat(b'').failure()
    assert decode_heartbeat(b'\x01').failure()


@given(st.binary())
def test_foreign_bytes_are_outcomes(raw):
    decode_heartbeat(raw)


def test_work_of_other_readers_is_added_up():
    made = EntryTable()
    work = {'e1': Work(2, 1, 900)}
    made.record_heartbeat('a', Heartbeat([entry('a')], work), 0)
    made.record_heartbeat('b', Heartbeat([entry('b')], work), 0)
    assert made.work_of_other_readers('a', 1) == work
    assert made.work_of_other_readers('c', 1) == {'e1': Work(4, 2, 1800)}
    assert made.work_of_other_readers('c', ENTRY_LIST_TIMEOUT_S + 1) == {}
