import pytest

from foxtailhatch.core import ErrorCode, InvariantBroken, RunState
from foxtailhatch.membership import PlannedStop, StopPhase


def asked(**settings):
    stop = PlannedStop(keep_s=30.0, margin_s=10.0, **settings)
    assert stop.request(0.0)
    return stop


def test_callers_that_kept_the_address_are_served_for_as_long_as_they_may():
    stop = asked()
    assert stop.refusal(['b:80'], 39.9) is None
    assert stop.status(0, 39.9).phase is StopPhase.UNADVISED


def test_then_new_requests_are_refused_as_not_run_with_another_address():
    refusal = asked().refusal(['b:80', 'c:80'], 40.0)
    assert refusal.code is ErrorCode.SHUTTING_DOWN
    assert refusal.run is RunState.NOT_RUN
    assert refusal.address == 'b:80'


def test_a_request_in_progress_is_waited_for_without_end():
    stop = asked()
    assert not stop.status(1, 1e9).may_exit
    assert stop.status(0, 1e9).may_exit


def test_a_second_signal_changes_nothing():
    stop = asked()
    assert not stop.request(39.0)
    assert not stop.accepts_requests(40.0)
    assert not stop.status(1, 41.0).may_exit


@pytest.mark.parametrize('now', [20.0, 60.0])
def test_the_operators_bound_ends_the_wait_and_what_it_cuts_is_reported(now):
    stop = asked(wait_max_s=now)
    assert not stop.status(3, now - 0.1).may_exit
    assert stop.status(3, now).aborted == 3


def test_an_exit_that_cuts_a_request_breaks_the_invariant():
    stop = asked(wait_max_s=60.0)
    stop.check_exit(0, 50.0)
    with pytest.raises(InvariantBroken, match='1 requests in progress'):
        stop.check_exit(1, 50.0)
    stop.check_exit(1, 60.0)


def test_an_entry_that_was_not_asked_serves_on():
    stop = PlannedStop(keep_s=30.0)
    assert stop.status(0, 1e9).phase is StopPhase.SERVING
    assert stop.refusal([], 1e9) is None
