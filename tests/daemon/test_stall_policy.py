"""What a retry budget pays when a stage stalls."""

from random import Random

import pytest

from foxtailhatch.daemon.stall_policy import BudgetedStallPolicy
from foxtailhatch.recovery import RetryBudget, StallDetector


@pytest.fixture
def patience():
    budget = RetryBudget(Random(1), share=0, burst=1)
    return BudgetedStallPolicy(StallDetector(), budget)


def test_all_answers_leave_a_stalled_endpoint_for_one_retry(patience):
    assert patience.may_replace('gpu-1')
    assert patience.may_replace('gpu-1')


def test_each_stalled_endpoint_costs_a_retry(patience):
    assert patience.may_replace('gpu-1')
    assert not patience.may_replace('gpu-2')


def test_an_endpoint_that_answers_must_be_paid_for_again(patience):
    assert patience.may_replace('gpu-1')
    patience.record_progress('gpu-1')
    assert not patience.may_replace('gpu-1')


def test_a_step_may_wait_for_the_prefill_of_other_answers(patience):
    alone = patience.timeout_s('gpu-1', 1)
    patience.prefill_in_flight['gpu-1'] = 100
    assert patience.timeout_s('gpu-1', 1) == patience.timeout_s('gpu-1', 101)
    assert patience.timeout_s('gpu-1', 1) > alone
