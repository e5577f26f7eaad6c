import pytest

from foxtailhatch.core import ErrorCode, InvariantViolation, RunState
from foxtailhatch.membership import PlannedStop, StopPhase


def requested_stop(**settings):
    stop = PlannedStop(address_ttl_s=30.0, margin_s=10.0, **settings)
    assert stop.request(0.0)
    return stop


def test_requests_are_served_while_callers_may_cache_the_address():
    stop = requested_stop()
    assert stop.refusal(['b:80'], 39.9) is None
    assert stop.status(0, 39.9).phase is StopPhase.UNADVISED


def test_later_requests_are_refused_with_another_address():
    refusal = requested_stop().refusal(['b:80', 'c:80'], 40.0)
    assert refusal.code is ErrorCode.SHUTTING_DOWN
    assert refusal.run is RunState.NOT_RUN
    assert refusal.address == 'b:80'


def test_without_timeout_stop_waits_for_running_requests():
    stop = requested_stop()
    assert not stop.status(1, 1e9).may_exit
    assert stop.status(0, 1e9).may_exit


def test_second_stop_request_changes_nothing():
    stop = requested_stop()
    assert not stop.request(39.0)
    assert not stop.accepts_requests(40.0)
    assert not stop.status(1, 41.0).may_exit


@pytest.mark.parametrize('now', [20.0, 60.0])
def test_timeout_ends_the_wait_and_reports_aborted_requests(now):
    stop = requested_stop(timeout_s=now)
    assert not stop.status(3, now - 0.1).may_exit
    assert stop.status(3, now).aborted == 3


def test_exit_with_running_requests_violates_the_invariant():
    stop = requested_stop(timeout_s=60.0)
    stop.check_exit(0, 50.0)
    with pytest.raises(InvariantViolation, match='1 requests in progress'):
        stop.check_exit(1, 50.0)
    stop.check_exit(1, 60.0)


def test_entry_without_stop_request_keeps_serving():
    stop = PlannedStop(address_ttl_s=30.0)
    assert stop.status(0, 1e9).phase is StopPhase.SERVING
    assert stop.refusal([], 1e9) is None


# An entry with a short limit accepted requests until it cut them.
def test_requests_are_refused_well_before_a_short_limit():
    stop = requested_stop(timeout_s=20.0)
    assert stop.accepts_requests(9.9)
    assert stop.refusal(['b:80'], 10.0).code is ErrorCode.SHUTTING_DOWN
    assert stop.status(1, 10.0).phase is StopPhase.REFUSING
    assert stop.status(0, 10.0).may_exit


def test_long_limit_leaves_the_advice_time_as_it_is():
    assert requested_stop(timeout_s=200.0).accepts_requests(39.9)


def test_incomplete_requests_are_waited_for_during_a_part_of_the_limit():
    stop = requested_stop(timeout_s=20.0)
    assert stop.waits_for_incomplete(14.9)
    assert not stop.waits_for_incomplete(15.0)
    assert requested_stop().waits_for_incomplete(1e9)
    assert PlannedStop(30.0, timeout_s=20.0).waits_for_incomplete(1e9)
