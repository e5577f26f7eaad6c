from foxtailhatch.router.entry_table import (
    ENTRY_TIMEOUT_S,
    EntryRecord,
    EntryTable,
    decode_entry,
)


def entry(name, zone='z1', ready=True, region='here'):
    return EntryRecord(name, zone, region, f'{name}:80', ready)


def table(*entries, now=0.0):
    made = EntryTable()
    for one in entries:
        made.hear(one, now)
    return made


def advised(made, zone='z1', now=1.0, most=64):
    return made.advised('here', zone, now, most)


def test_entries_of_the_zone_come_first():
    made = table(entry('a'), entry('b'), entry('c', 'z2'))
    assert advised(made) == ['a:80', 'b:80']


def test_zone_with_a_single_entry_is_helped_by_the_region():
    made = table(entry('a'), entry('c', 'z2'), entry('d', 'z3'))
    assert advised(made) == ['a:80', 'c:80', 'd:80']


def test_stopping_and_silent_entries_are_not_advised():
    made = table(entry('a'), entry('b', ready=False))
    made.hear(entry('c'), ENTRY_TIMEOUT_S)
    assert advised(made, now=ENTRY_TIMEOUT_S + 1) == ['c:80']


def test_advice_is_bounded():
    made = table(*(entry(f'e{place:02}') for place in range(80)))
    assert len(advised(made, most=64)) == 64


def test_record_survives_the_log():
    assert decode_entry(entry('a').encode()).unwrap() == entry('a')
