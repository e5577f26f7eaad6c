from foxtailhatch.core import Mark
from foxtailhatch.membership import EntryState, EntryTable, MergeOutcome
from tests.membership.entry_values import entry


def table_of(*others, own=None):
    table = EntryTable(own or entry('own'))
    for other in others:
        table.merge(other, 0.0)
    return table


def advised(table, zone='a', now=1.0):
    return table.advise(zone, now).addresses


def test_near_entries_are_advised_first():
    table = table_of(entry('c', 'c', 'far'), entry('b', 'b'))
    assert advised(table) == ('own:80', 'b:80', 'c:80')
    assert advised(table, 'c')[0] == 'c:80'


def test_a_full_entry_comes_after_a_farther_one_with_room():
    table = table_of(entry('b', 'b'), own=entry('own', load=0.95))
    assert advised(table) == ('b:80', 'own:80')


def test_the_least_loaded_of_a_zone_comes_first():
    table = table_of(entry('b', load=0.1), own=entry('own', load=0.5))
    assert {advised(table)[0] for _ in range(4)} == {'b:80'}


def test_callers_of_one_moment_are_spread_over_equally_loaded_entries():
    table = table_of(entry('b', load=0.11), entry('c', load=0.14))
    table.update_own(load=0.12)
    assert {advised(table)[0] for _ in range(9)} == {'own:80', 'b:80', 'c:80'}


def test_the_advice_names_a_second_zone_even_if_the_first_fills_it():
    table = table_of(*(entry(f'a{n}') for n in range(6)), entry('b', 'b'))
    assert advised(table)[-1] == 'b:80'


def test_leaving_stopping_and_marked_entries_are_left_out():
    table = table_of(
        entry('b', state=EntryState.LEAVING),
        entry('c', state=EntryState.STOPPING),
        entry('d'),
    )
    table.apply_mark('d', Mark.LEAVE)
    assert advised(table) == ('own:80',)
    table.apply_mark('d', Mark.JOIN)
    assert set(advised(table)) == {'own:80', 'd:80'}


def test_a_stopping_entry_does_not_advise_itself():
    table = table_of(entry('b'))
    table.update_own(state=EntryState.STOPPING)
    assert advised(table) == ('b:80',)


def test_a_suspect_is_advised_last_and_a_dead_one_not_at_all():
    table = table_of(entry('b', load=0.0), own=entry('own', load=0.8))
    table.suspect('b', 0, now=1.0)
    assert advised(table, now=1.0) == ('own:80', 'b:80')
    assert advised(table, now=16.0) == ('own:80',)
    assert [change.entry for change in table.expire(16.0)] == ['b']


def test_an_account_of_a_higher_incarnation_refutes_a_suspicion():
    table = table_of(entry('b'))
    table.suspect('b', 0, now=1.0)
    assert table.merge(entry('b', heartbeat=9), 2.0) is MergeOutcome.FRESHER
    assert advised(table) == ('own:80', 'b:80')
    assert table.merge(entry('b', incarnation=1), 2.0) is MergeOutcome.CHANGED
    assert table.expire(60.0) == ()


def test_an_older_account_never_replaces_a_newer_one():
    table = table_of(entry('b', heartbeat=5, state=EntryState.LEAVING))
    assert table.merge(entry('b', heartbeat=4), 1.0) is MergeOutcome.OLD
    assert advised(table) == ('own:80',)


def test_a_suspicion_of_an_earlier_incarnation_is_ignored():
    table = table_of(entry('b', incarnation=3))
    assert not table.suspect('b', 2, now=1.0)


def test_an_entry_outlives_claims_about_its_own_name():
    table = table_of()
    assert table.refute(0)
    assert table.own.incarnation == 1
    table.merge(entry('own', incarnation=9, state=EntryState.STOPPING), 1.0)
    assert table.own.incarnation == 10
    assert table.own.state is EntryState.SERVING


def test_entries_long_dead_are_forgotten():
    table = table_of(entry('b'))
    table.suspect('b', 0, now=1.0)
    table.expire(20.0)
    table.expire(10_000.0)
    assert table.record('b') is None
