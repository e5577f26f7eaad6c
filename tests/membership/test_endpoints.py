import pytest

from foxtailhatch.core import (
    Address,
    Endpoint,
    EndpointKind,
    InvariantViolation,
    Mark,
)
from foxtailhatch.membership import EndpointState, EndpointTable
from foxtailhatch.outside import LiveInstance

LIST_LAG_S = 30.0


def instance(name, leaving=False, port=1, role='engine'):
    address = Address('10.0.0.1', port)
    return LiveInstance(name, address, 'whk-a', role, leaving)


def configured(name):
    address = Address('10.0.0.2', 1)
    return Endpoint(name, address, EndpointKind.ENGINE, 'whk-a')


def listed(*lines, now=0.0):
    table = EndpointTable()
    table.apply_instance_list(lines, now)
    return table


def test_listed_endpoint_is_usable_and_unlisted_one_is_unknown():
    table = listed(instance('a'), instance('e', role='entry'))
    assert table.usable_names(1.0) == ('a',)
    assert table.state('b', 1.0) is EndpointState.UNKNOWN


@pytest.mark.parametrize('mark', [Mark.LEAVE, Mark.STOP])
def test_mark_overrides_a_list_that_shows_the_endpoint_live(mark):
    table = listed(instance('a'))
    table.apply_mark('a', mark, 1.0)
    table.apply_instance_list([instance('a')], 100.0)
    assert not table.may_send('a', 100.0)


def test_new_work_to_a_leaving_endpoint_violates_the_invariant():
    table = listed(instance('a'))
    table.check_send('a', 1.0)
    table.apply_mark('a', Mark.LEAVE, 1.0)
    with pytest.raises(InvariantViolation, match=r'learned at 1\.0'):
        table.check_send('a', 1.0)


def test_work_queued_before_the_leave_is_not_sent():
    table = listed(instance('a'))
    queued_for = [name for name in ('a',) if table.may_send(name, 1.0)]
    table.record_leaving('a', 2.0)
    assert [name for name in queued_for if table.may_send(name, 2.0)] == []


def test_join_after_a_leave_makes_the_endpoint_usable():
    table = listed(instance('a', leaving=True))
    table.apply_mark('a', Mark.LEAVE, 1.0)
    table.record_leaving('a', 1.5)
    table.apply_mark('a', Mark.JOIN, 2.0)
    assert table.may_send('a', 2.0)


def test_list_overrides_an_older_join_after_the_list_lag():
    table = listed(instance('a', leaving=True))
    table.apply_mark('a', Mark.JOIN, 2.0, made_at=2.0)
    assert table.may_send('a', 2.0)
    table.apply_instance_list([instance('a', leaving=True)], 2.0 + LIST_LAG_S)
    assert not table.may_send('a', 2.0 + LIST_LAG_S)


def test_leave_first_listed_after_a_join_takes_effect_immediately():
    table = listed(instance('a'))
    table.apply_mark('a', Mark.JOIN, 2.0, made_at=2.0)
    table.apply_instance_list([instance('a', leaving=True)], 3.0)
    assert not table.may_send('a', 3.0)


def test_mark_replayed_from_the_log_does_not_override_a_newer_one():
    table = listed(instance('a'))
    table.apply_mark('a', Mark.JOIN, 1.0, offset=4)
    table.apply_mark('a', Mark.LEAVE, 2.0, offset=5)
    table.apply_mark('a', Mark.JOIN, 3.0, offset=4)
    assert not table.may_send('a', 3.0)


def test_lagging_list_does_not_override_a_leave_reported_by_the_engine():
    table = listed(instance('a'))
    table.record_leaving('a', 1.0)
    table.apply_instance_list([instance('a')], 2.0)
    assert not table.may_send('a', 2.0)
    table.apply_instance_list([instance('a')], 1.0 + LIST_LAG_S)
    assert table.may_send('a', 1.0 + LIST_LAG_S)


def test_new_address_clears_the_leave_of_the_previous_instance():
    table = listed(instance('a'))
    table.record_leaving('a', 1.0)
    table.apply_instance_list([instance('a', port=2)], 2.0)
    assert table.may_send('a', 2.0)


def test_configured_unlisted_endpoint_is_usable_until_a_session_is_refused():
    table = EndpointTable()
    table.apply_configuration([configured('a')])
    table.apply_instance_list([instance('b')], 1.0)
    assert table.may_send('a', 500.0)
    table.record_session_loss('a', 500.0)
    assert table.state('a', 500.0) is EndpointState.DEAD
    table.record_session_open('a', 501.0)
    assert table.may_send('a', 501.0)


def test_dead_state_expires():
    table = EndpointTable()
    table.apply_configuration([configured('a')])
    table.record_session_loss('a', 500.0)
    assert table.may_send('a', 510.0)


def test_refused_session_does_not_mark_a_listed_endpoint_dead():
    table = listed(instance('a'))
    table.record_session_loss('a', 1.0)
    assert table.may_send('a', 1.0)


def test_stop_mark_gives_the_state_stopping():
    table = listed(instance('a'))
    table.apply_mark('a', Mark.STOP, 1.0)
    assert table.state('a', 1.0) is EndpointState.STOPPING


def test_peer_report_of_a_leave_before_the_join_is_ignored():
    table = listed(instance('a'))
    table.apply_mark('a', Mark.LEAVE, 3.0)
    table.apply_mark('a', Mark.JOIN, 5.0)
    table.record_leaving('a', 6.0, observed_at=4.0)
    assert table.may_send('a', 6.0)
    table.record_leaving('a', 6.0, observed_at=5.5)
    assert not table.may_send('a', 6.0)


def test_join_of_unknown_age_does_not_override_the_list():
    table = listed(instance('a', leaving=True))
    table.apply_mark('a', Mark.JOIN, 1.0)
    assert not table.may_send('a', 1.0)


def test_join_of_unknown_age_does_not_override_peer_reports():
    table = listed(instance('a'))
    table.record_leaving('a', 1.0, observed_at=0.5)
    table.apply_mark('a', Mark.JOIN, 1.5)
    assert not table.may_send('a', 1.5)
    table = listed(instance('a'))
    table.apply_mark('a', Mark.JOIN, 1.0)
    table.record_leaving('a', 1.5, observed_at=0.5)
    assert not table.may_send('a', 1.5)


def test_join_older_than_a_leave_does_not_override_it():
    table = listed(instance('a'))
    table.record_leaving('a', 8.0)
    table.apply_mark('a', Mark.JOIN, 9.0, made_at=7.0)
    assert not table.may_send('a', 9.0)


def test_empty_list_removes_endpoints_only_after_the_retention_time():
    table = listed(instance('a'), instance('b'))
    table.record_session_open('b', 0.0)
    assert table.apply_instance_list([], 10.0) == ()
    assert table.usable_names(10.0) == ('a', 'b')
    assert table.usable_names(100.0) == ('b',)


def test_state_change_is_reported_once():
    table = listed(instance('a'))
    changes = table.apply_instance_list([instance('a', leaving=True)], 1.0)
    assert [change.after for change in changes] == [EndpointState.DRAINING]
    assert table.apply_instance_list([instance('a', leaving=True)], 2.0) == ()


def test_records_of_replaced_instances_are_removed():
    table = EndpointTable()
    for day in range(30 * 24):
        now = day * 3600.0
        table.apply_mark(f'i-{day}', Mark.LEAVE, now)
        table.apply_instance_list([instance(f'i-{day}', leaving=True)], now)
    assert len(table._records) <= 3


def test_listed_address_overrides_the_configured_one():
    table = listed(instance('a', port=7))
    table.apply_configuration([configured('a')])
    assert table.endpoint('a').address == Address('10.0.0.1', 7)
