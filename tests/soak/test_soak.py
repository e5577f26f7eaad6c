"""Short runs with fixed seeds; ``make soak`` runs longer ones."""

import pytest

from tests.soak.schedule import draw, run


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_what_must_hold_holds_through_random_faults(seed):
    soak, found = run(draw(seed, 80))
    assert found == []
    assert soak.injected


def test_a_seed_gives_the_same_run_again():
    first, _ = run(draw(7, 30))
    second, _ = run(draw(7, 30))
    assert [each.times for each in first.answers] == [
        each.times for each in second.answers
    ]
