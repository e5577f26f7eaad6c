import pytest

from foxtailhatch.core import (
    Address,
    Endpoint,
    EndpointKind,
    InvariantBroken,
    Mark,
)
from foxtailhatch.membership import EndpointState, EndpointTable
from foxtailhatch.outside import LiveInstance

LIST_LAG_S = 30.0


def line(name, leaving=False, port=1, role='engine'):
    address = Address('10.0.0.1', port)
    return LiveInstance(name, address, 'whk-a', role, leaving)


def configured(name):
    address = Address('10.0.0.2', 1)
    return Endpoint(name, address, EndpointKind.ENGINE, 'whk-a')


def listed(*lines, now=0.0):
    table = EndpointTable()
    table.apply_instance_list(lines, now)
    return table


def test_a_listed_endpoint_is_usable_and_an_unheard_of_one_is_not():
    table = listed(line('a'), line('e', role='entry'))
    assert table.usable_names(1.0) == ('a',)
    assert table.state('b', 1.0) is EndpointState.UNKNOWN


@pytest.mark.parametrize('mark', [Mark.LEAVE, Mark.STOP])
def test_a_mark_closes_an_endpoint_that_the_list_still_shows_live(mark):
    table = listed(line('a'))
    table.apply_mark('a', mark, 1.0)
    table.apply_instance_list([line('a')], 100.0)
    assert not table.may_send('a', 100.0)


def test_new_work_to_a_leaving_endpoint_breaks_the_invariant_at_once():
    table = listed(line('a'))
    table.check_send('a', 1.0)
    table.apply_mark('a', Mark.LEAVE, 1.0)
    with pytest.raises(InvariantBroken, match=r'learned at 1\.0'):
        table.check_send('a', 1.0)


def test_work_queued_before_the_leave_is_checked_as_it_is_sent():
    table = listed(line('a'))
    queued_for = [name for name in ('a',) if table.may_send(name, 1.0)]
    table.record_leaving('a', 2.0)
    assert [name for name in queued_for if table.may_send(name, 2.0)] == []


def test_a_join_after_a_leave_brings_the_endpoint_back():
    table = listed(line('a', leaving=True))
    table.apply_mark('a', Mark.LEAVE, 1.0)
    table.record_leaving('a', 1.5)
    table.apply_mark('a', Mark.JOIN, 2.0)
    assert table.may_send('a', 2.0)


def test_the_list_outweighs_an_older_join_once_its_lag_has_passed():
    table = listed(line('a', leaving=True))
    table.apply_mark('a', Mark.JOIN, 2.0, made_at=2.0)
    assert table.may_send('a', 2.0)
    table.apply_instance_list([line('a', leaving=True)], 2.0 + LIST_LAG_S)
    assert not table.may_send('a', 2.0 + LIST_LAG_S)


def test_a_leave_that_the_list_first_shows_after_a_join_counts_at_once():
    table = listed(line('a'))
    table.apply_mark('a', Mark.JOIN, 2.0, made_at=2.0)
    table.apply_instance_list([line('a', leaving=True)], 3.0)
    assert not table.may_send('a', 3.0)


def test_a_mark_read_again_from_the_log_does_not_undo_a_newer_one():
    table = listed(line('a'))
    table.apply_mark('a', Mark.JOIN, 1.0, offset=4)
    table.apply_mark('a', Mark.LEAVE, 2.0, offset=5)
    table.apply_mark('a', Mark.JOIN, 3.0, offset=4)
    assert not table.may_send('a', 3.0)


def test_a_lagging_list_does_not_undo_what_the_engine_said():
    table = listed(line('a'))
    table.record_leaving('a', 1.0)
    table.apply_instance_list([line('a')], 2.0)
    assert not table.may_send('a', 2.0)
    table.apply_instance_list([line('a')], 1.0 + LIST_LAG_S)
    assert table.may_send('a', 1.0 + LIST_LAG_S)


def test_an_instance_at_a_new_address_is_not_the_one_that_left():
    table = listed(line('a'))
    table.record_leaving('a', 1.0)
    table.apply_instance_list([line('a', port=2)], 2.0)
    assert table.may_send('a', 2.0)


def test_a_configured_endpoint_off_the_list_is_usable_until_shown_dead():
    table = EndpointTable()
    table.apply_configuration([configured('a')])
    table.apply_instance_list([line('b')], 1.0)
    assert table.may_send('a', 500.0)
    table.record_session_loss('a', 500.0)
    assert table.state('a', 500.0) is EndpointState.DEAD
    table.record_session_open('a', 501.0)
    assert table.may_send('a', 501.0)


def test_what_shows_an_endpoint_dead_fades():
    table = EndpointTable()
    table.apply_configuration([configured('a')])
    table.record_session_loss('a', 500.0)
    assert table.may_send('a', 510.0)


def test_a_listed_endpoint_that_refuses_is_left_to_the_health():
    table = listed(line('a'))
    table.record_session_loss('a', 1.0)
    assert table.may_send('a', 1.0)


def test_a_stop_mark_is_told_apart_from_a_leave():
    table = listed(line('a'))
    table.apply_mark('a', Mark.STOP, 1.0)
    assert table.state('a', 1.0) is EndpointState.STOPPING


def test_hearsay_of_a_leave_before_the_join_does_not_undo_it():
    table = listed(line('a'))
    table.apply_mark('a', Mark.LEAVE, 3.0)
    table.apply_mark('a', Mark.JOIN, 5.0)
    table.record_leaving('a', 6.0, observed_at=4.0)
    assert table.may_send('a', 6.0)
    table.record_leaving('a', 6.0, observed_at=5.5)
    assert not table.may_send('a', 6.0)


def test_a_starting_entry_takes_no_old_join_for_a_newer_word_than_the_list():
    table = listed(line('a', leaving=True))
    table.apply_mark('a', Mark.JOIN, 1.0)
    assert not table.may_send('a', 1.0)


def test_a_starting_entry_takes_no_old_join_for_a_newer_word_than_hearsay():
    table = listed(line('a'))
    table.record_leaving('a', 1.0, observed_at=0.5)
    table.apply_mark('a', Mark.JOIN, 1.5)
    assert not table.may_send('a', 1.5)
    table = listed(line('a'))
    table.apply_mark('a', Mark.JOIN, 1.0)
    table.record_leaving('a', 1.5, observed_at=0.5)
    assert not table.may_send('a', 1.5)


def test_a_join_that_is_older_than_a_leave_does_not_undo_it():
    table = listed(line('a'))
    table.record_leaving('a', 8.0)
    table.apply_mark('a', Mark.JOIN, 9.0, made_at=7.0)
    assert not table.may_send('a', 9.0)


def test_an_empty_list_takes_no_endpoint_away_at_once():
    table = listed(line('a'), line('b'))
    table.record_session_open('b', 0.0)
    assert table.apply_instance_list([], 10.0) == ()
    assert table.usable_names(10.0) == ('a', 'b')
    assert table.usable_names(100.0) == ('b',)


def test_changes_are_reported_once():
    table = listed(line('a'))
    changes = table.apply_instance_list([line('a', leaving=True)], 1.0)
    assert [change.after for change in changes] == [EndpointState.LEAVING]
    assert table.apply_instance_list([line('a', leaving=True)], 2.0) == ()


def test_instances_replaced_for_a_month_leave_no_memory_behind():
    table = EndpointTable()
    for day in range(30 * 24):
        now = day * 3600.0
        table.apply_mark(f'i-{day}', Mark.LEAVE, now)
        table.apply_instance_list([line(f'i-{day}', leaving=True)], now)
    assert len(table._records) <= 3


def test_the_configuration_adds_labels_and_the_list_gives_the_address():
    table = listed(line('a', port=7))
    table.apply_configuration([configured('a')])
    assert table.endpoint('a').address == Address('10.0.0.1', 7)
