"""Short runs with fixed seeds; ``make soak`` runs longer ones."""

from unittest import mock

import pytest

from foxtailhatch.durable.claim_controller import ClaimController
from tests.faults.test_mechanisms import send_without_claim
from tests.soak.schedule import draw, run, shrink


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_what_must_hold_holds_through_random_faults(seed):
    soak, violations = run(draw(seed, 80))
    assert violations == []
    assert soak.injected


def test_a_seed_gives_the_same_run_again():
    first, _ = run(draw(7, 30))
    second, _ = run(draw(7, 30))
    assert [each.token_times for each in first.answers] == [
        each.token_times for each in second.answers
    ]


def test_a_run_that_fails_is_shrunk_to_what_it_needs():
    schedule = draw(1, 20)
    with mock.patch.object(ClaimController, 'submit', send_without_claim):
        _, violations = run(schedule)
        assert violations
        assert [step.kind for step in shrink(schedule)] == ['booking']
