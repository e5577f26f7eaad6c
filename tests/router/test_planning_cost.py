"""A pool of 1,200 engines: the holder plans without a long pause of its loop.

The bounds are on calls of the package's functions, which do not depend on the
machine.  A call takes a microsecond or less, and no turn may take 0.1 s.
"""

import pytest

from tests.router.planning_cost import costs

CALLS_IN_TURN_MAX = 100_000
# Planning again what has not changed would cost several hundred for each.
CALLS_FOR_IDLE_ENGINE_MAX = 15


@pytest.fixture(scope='module')
def large():
    return costs(1200, counts_calls=True)


def test_no_turn_of_the_loop_is_long(large):
    assert max(turn for _, turn in large.values()) < CALLS_IN_TURN_MAX


def test_plans_of_unchanged_groups_are_kept(large):
    step, _ = large['nothing to do']
    assert step < 1200 * CALLS_FOR_IDLE_ENGINE_MAX


def test_cost_grows_no_faster_than_the_pool(large):
    small = costs(200, counts_calls=True)
    for phase in ('first plan', 'nothing to do'):
        assert large[phase][0] < 1.5 * 1200 / 200 * small[phase][0]
