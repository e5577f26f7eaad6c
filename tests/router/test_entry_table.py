from foxtailhatch.router.entry_table import (
    ENTRY_TIMEOUT_S,
    EntryRecord,
    EntryTable,
    decode_entries,
    encode_entries,
)


def entry(name, zone='z1', ready=True, region='here', strength=1.0):
    return EntryRecord(
        name,
        zone,
        region,
        f'{name}:80',
        f'{name}:90',
        strength,
        ready,
    )


def table(*entries, now=0.0):
    made = EntryTable()
    for one in entries:
        made.hear(one.name, [one], now)
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
    made.hear('c', [entry('c')], ENTRY_TIMEOUT_S)
    assert advised(made, now=ENTRY_TIMEOUT_S + 1) == ['c:80']


def test_entry_that_is_no_longer_fed_is_gone_at_once():
    made = EntryTable()
    made.hear('a', [entry('a'), entry('b')], 0)
    made.hear('a', [entry('a')], 1)
    assert advised(made) == ['a:80']


def test_readers_are_those_that_write_a_list():
    made = EntryTable()
    made.hear('a', [entry('a'), entry('b')], 0)
    made.hear('c', [entry('c', strength=2.0)], 0)
    assert [one.name for one in made.readers(1)] == ['c', 'a']


def test_advice_is_bounded():
    made = table(*(entry(f'e{place:02}') for place in range(80)))
    assert len(advised(made, most=64)) == 64


def test_list_survives_the_log():
    entries = [entry('a'), entry('b', ready=False)]
    assert decode_entries(encode_entries(entries)).unwrap() == entries


def test_bytes_that_are_no_list_are_an_outcome():
    assert decode_entries(b'').failure()
    assert decode_entries(b'\x01').failure()
