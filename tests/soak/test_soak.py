"""Short soak runs with fixed seeds; ``make soak`` runs longer ones."""

from unittest import mock

import pytest

from foxtailhatch.durable.claim_controller import ClaimController
from tests.faults.test_mechanisms import send_without_claim
from tests.soak.schedule import draw, run, shrink


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_random_faults_cause_no_violations(seed):
    soak, violations = run(draw(seed, 80))
    assert violations == []
    assert soak.injected


def test_runs_of_a_seed_are_deterministic():
    first, _ = run(draw(7, 30))
    second, _ = run(draw(7, 30))
    assert [each.token_times for each in first.answers] == [
        each.token_times for each in second.answers
    ]


def test_failing_schedule_is_minimized():
    schedule = draw(1, 20)
    with mock.patch.object(ClaimController, 'submit', send_without_claim):
        _, violations = run(schedule)
        assert violations
        assert [step.kind for step in shrink(schedule)] == ['booking']
