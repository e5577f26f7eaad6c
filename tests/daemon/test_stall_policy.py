"""Replacement of stalled stages within the retry budget."""

from random import Random

import pytest

from foxtailhatch.daemon.stall_policy import BudgetedStallPolicy
from foxtailhatch.recovery import RetryBudget, StallDetector


@pytest.fixture
def policy():
    budget = RetryBudget(Random(1), share=0, burst=1)
    return BudgetedStallPolicy(StallDetector(), budget)


def test_all_answers_may_replace_a_stalled_endpoint_for_one_retry(policy):
    assert policy.may_replace('gpu-1')
    assert policy.may_replace('gpu-1')


def test_each_stalled_endpoint_takes_a_retry_from_the_budget(policy):
    assert policy.may_replace('gpu-1')
    assert not policy.may_replace('gpu-2')


def test_after_progress_a_replacement_takes_another_retry(policy):
    assert policy.may_replace('gpu-1')
    policy.record_progress('gpu-1')
    assert not policy.may_replace('gpu-1')


def test_the_timeout_of_a_step_covers_the_prefill_of_other_answers(policy):
    timeout_without_prefill_s = policy.timeout_s('gpu-1', 1)
    policy.prefill_in_flight['gpu-1'] = 100
    assert policy.timeout_s('gpu-1', 1) == policy.timeout_s('gpu-1', 101)
    assert policy.timeout_s('gpu-1', 1) > timeout_without_prefill_s
