"""What a retry budget pays when a stage stalls."""

from random import Random

import pytest

from foxtailhatch.daemon.patience import BudgetedPatience
from foxtailhatch.recovery import RetryBudget, StallDetector


@pytest.fixture
def patience():
    budget = RetryBudget(Random(1), share=0, burst=1)
    return BudgetedPatience(StallDetector(), budget)


def test_all_answers_leave_a_stalled_endpoint_for_one_retry(patience):
    assert patience.may_give_up('gpu-1')
    assert patience.may_give_up('gpu-1')


def test_each_stalled_endpoint_costs_a_retry(patience):
    assert patience.may_give_up('gpu-1')
    assert not patience.may_give_up('gpu-2')


def test_an_endpoint_that_answers_must_be_paid_for_again(patience):
    assert patience.may_give_up('gpu-1')
    patience.answered('gpu-1')
    assert not patience.may_give_up('gpu-1')


def test_a_step_may_wait_for_the_prefill_of_other_answers(patience):
    alone = patience.limit_s('gpu-1', 1)
    patience.prefill['gpu-1'] = 100
    assert patience.limit_s('gpu-1', 1) == patience.limit_s('gpu-1', 101)
    assert patience.limit_s('gpu-1', 1) > alone
