from random import Random

import pytest

from foxtailhatch.recovery import (
    FailedAttempt,
    FailureCause,
    RetryBudget,
    RetryDenialReason,
    RetryDenied,
    RetryGranted,
)


def failed(number=1, cause=FailureCause.LOST, repeatable=True):
    return FailedAttempt(number, cause, repeatable)


def granted(budget, attempts):
    decisions = [budget.request_retry(failed()) for _ in range(attempts)]
    return sum(isinstance(decision, RetryGranted) for decision in decisions)


@pytest.mark.parametrize('cause', list(FailureCause))
def test_a_request_that_is_not_repeatable_is_never_retried(cause):
    decision = RetryBudget(Random(1)).request_retry(
        failed(cause=cause, repeatable=False)
    )
    assert decision == RetryDenied(RetryDenialReason.NOT_REPEATABLE)


def test_retries_stay_a_share_of_the_traffic_when_everything_fails():
    budget = RetryBudget(Random(1), share=0.1, burst=10.0)
    total = 0
    for _ in range(1000):
        budget.record_request()
        total += granted(budget, 3)
    assert total <= 0.1 * 1000 + 10


def test_idle_time_earns_no_retries_beyond_the_burst():
    budget = RetryBudget(Random(1), burst=10.0)
    for _ in range(100_000):
        budget.record_request()
    assert granted(budget, 100) == 10


def test_attempts_of_one_request_are_bounded():
    decision = RetryBudget(Random(1)).request_retry(failed(number=4))
    assert decision == RetryDenied(RetryDenialReason.ATTEMPTS_SPENT)


def test_a_single_overload_refusal_is_retried():
    decision = RetryBudget(Random(1)).request_retry(
        failed(cause=FailureCause.OVERLOAD)
    )
    assert isinstance(decision, RetryGranted)


def test_retries_stop_during_an_overload():
    budget = RetryBudget(Random(1), burst=1000.0)
    decisions = [
        budget.request_retry(failed(cause=FailureCause.OVERLOAD))
        for _ in range(100)
    ]
    assert sum(isinstance(each, RetryGranted) for each in decisions) <= 3
    assert decisions[-1] == RetryDenied(RetryDenialReason.OVERLOADED)


def test_retries_resume_after_an_overload():
    budget = RetryBudget(Random(1), burst=1000.0)
    for _ in range(100):
        budget.request_retry(failed(cause=FailureCause.OVERLOAD))
    for _ in range(100):
        budget.record_accepted()
    decision = budget.request_retry(failed(cause=FailureCause.OVERLOAD))
    assert isinstance(decision, RetryGranted)


def test_backoff_grows_and_is_jittered():
    budget = RetryBudget(Random(1), burst=1000.0)
    first = [budget.request_retry(failed(number=1)).delay_s for _ in range(100)]
    third = [budget.request_retry(failed(number=3)).delay_s for _ in range(100)]
    assert max(first) <= 0.02 < max(third) <= 0.08
    assert len(set(third)) == 100
