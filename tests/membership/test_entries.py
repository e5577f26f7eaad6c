from foxtailhatch.core import Mark
from foxtailhatch.membership import EntryState, EntryTable, MergeOutcome
from tests.membership.entry_values import entry


def table_with(*others, own=None):
    table = EntryTable(own or entry('own'))
    for other in others:
        table.merge(other, 0.0)
    return table


def recommended(table, zone='a', now=1.0):
    return table.advise(zone, now).addresses


def test_nearer_entries_are_recommended_first():
    table = table_with(entry('c', 'c', 'far'), entry('b', 'b'))
    assert recommended(table) == ('own:80', 'b:80', 'c:80')
    assert recommended(table, 'c')[0] == 'c:80'


def test_full_entry_is_ranked_after_a_farther_one_with_capacity():
    table = table_with(entry('b', 'b'), own=entry('own', load=0.95))
    assert recommended(table) == ('b:80', 'own:80')


def test_least_loaded_entry_of_a_zone_is_first():
    table = table_with(entry('b', load=0.1), own=entry('own', load=0.5))
    assert {recommended(table)[0] for _ in range(4)} == {'b:80'}


def test_simultaneous_callers_are_spread_over_equally_loaded_entries():
    table = table_with(entry('b', load=0.11), entry('c', load=0.14))
    table.update_own(load=0.12)
    assert {recommended(table)[0] for _ in range(9)} == {
        'own:80',
        'b:80',
        'c:80',
    }


def test_recommendation_includes_a_second_zone():
    table = table_with(*(entry(f'a{n}') for n in range(6)), entry('b', 'b'))
    assert recommended(table)[-1] == 'b:80'


def test_leaving_stopping_and_marked_entries_are_not_recommended():
    table = table_with(
        entry('b', state=EntryState.LEAVING),
        entry('c', state=EntryState.STOPPING),
        entry('d'),
    )
    table.apply_mark('d', Mark.LEAVE)
    assert recommended(table) == ('own:80',)
    table.apply_mark('d', Mark.JOIN)
    assert set(recommended(table)) == {'own:80', 'd:80'}


def test_stopping_entry_does_not_recommend_itself():
    table = table_with(entry('b'))
    table.update_own(state=EntryState.STOPPING)
    assert recommended(table) == ('b:80',)


def test_suspect_is_ranked_last_and_dead_entry_is_omitted():
    table = table_with(entry('b', load=0.0), own=entry('own', load=0.8))
    table.suspect('b', 0, now=1.0)
    assert recommended(table, now=1.0) == ('own:80', 'b:80')
    assert recommended(table, now=16.0) == ('own:80',)
    assert [change.entry for change in table.expire(16.0)] == ['b']


def test_only_a_higher_incarnation_refutes_a_suspicion():
    table = table_with(entry('b'))
    table.suspect('b', 0, now=1.0)
    assert table.merge(entry('b', heartbeat=9), 2.0) is MergeOutcome.REFRESHED
    assert recommended(table) == ('own:80', 'b:80')
    assert table.merge(entry('b', incarnation=1), 2.0) is MergeOutcome.CHANGED
    assert table.expire(60.0) == ()


def test_older_announcement_does_not_replace_a_newer_one():
    table = table_with(entry('b', heartbeat=5, state=EntryState.LEAVING))
    assert table.merge(entry('b', heartbeat=4), 1.0) is MergeOutcome.STALE
    assert recommended(table) == ('own:80',)


def test_suspicion_of_an_earlier_incarnation_is_ignored():
    table = table_with(entry('b', incarnation=3))
    assert not table.suspect('b', 2, now=1.0)


def test_local_entry_refutes_claims_about_itself():
    table = table_with()
    assert table.refute(0)
    assert table.own.incarnation == 1
    table.merge(entry('own', incarnation=9, state=EntryState.STOPPING), 1.0)
    assert table.own.incarnation == 10
    assert table.own.state is EntryState.SERVING


def test_dead_entries_are_removed_after_their_retention_time():
    table = table_with(entry('b'))
    table.suspect('b', 0, now=1.0)
    table.expire(20.0)
    table.expire(10_000.0)
    assert table.record('b') is None


# Guards against a request that crashes endpoints at an entry after the other.
def test_failed_request_of_one_entry_is_known_to_all():
    table = EntryTable(entry('a'))
    other = entry('b', failed_requests=('f1',))
    assert not table.has_failed('f1')
    table.merge(other, 1)
    assert table.has_failed('f1')
    assert not other.equals_in_announced_fields(entry('b'))
    table.update_own(failed_requests=('f2',))
    assert table.has_failed('f2')
