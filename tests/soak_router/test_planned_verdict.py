"""What counts as lost around planned work, and what does not."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from standins.platform_engine import EndpointPool
from standins.platform_log import PlatformLog
from tests.soak_router.kept_connection import Exchange
from tests.soak_router.planned_verdict import refused_in_calm, violations_of
from tests.soak_router.planned_world import PlannedStop
from tests.soak_router.silent_endpoint import read_body

SENT = Exchange(
    'q1',
    'read',
    'r0',
    'GET',
    '/read/5/0',
    began_at=10.0,
    whole_at=10.0,
    ended_at=10.5,
    ending='closed',
)
ANSWERED = replace(
    SENT,
    ending='answered',
    status=200,
    headers={'foxtailhatch-response-seal': 'seal-q1'},
    answer=read_body('q1', 5),
)


def world_with(runs=0, stopped_at=None):
    world = SimpleNamespace(pool=EndpointPool(PlatformLog()), stops=[])
    world.pool.runs['q1'] = runs
    if stopped_at is not None:
        world.stops.append(PlannedStop('r0', stopped_at, stopped_at + 8.0))
    return world


def is_violation(exchange, world):
    return bool(violations_of([exchange], world))


def test_whole_answer_and_true_refusal_are_allowed():
    assert not is_violation(ANSWERED, world_with(runs=1))
    refused = replace(ANSWERED, status=503, answer=b'')
    assert not is_violation(refused, world_with())


@pytest.mark.parametrize(
    'changes',
    [
        {'answer': read_body('q2', 5)},
        {'headers': {'foxtailhatch-response-seal': 'seal-q2'}},
        {'status': 503},
        {'status': 404},
        {'ending': 'late'},
        {'ending': 'closed'},
        {'ending': 'reset', 'status': None},
    ],
)
def test_other_ends_of_a_request_that_ran_are_violations(changes):
    assert is_violation(replace(ANSWERED, **changes), world_with(runs=1))


def test_call_that_may_not_be_repeated_runs_once():
    once = replace(SENT, kind='once', ending='answered', status=502)
    assert not is_violation(once, world_with(runs=1))
    assert is_violation(once, world_with(runs=2))


def test_request_that_was_not_read_may_cross_the_end():
    assert not is_violation(replace(SENT, ended_at=10.1), world_with())
    assert is_violation(replace(SENT, ended_at=10.3), world_with())


@pytest.mark.parametrize(
    ('changes', 'runs', 'is_allowed'),
    [
        ({}, 0, True),
        ({'ending': 'closed'}, 0, False),
        ({'is_behind_cut': False}, 0, False),
        ({'status': 200}, 0, False),
        ({}, 1, False),
    ],
)
def test_request_behind_a_broken_answer_may_be_left_unread(
    changes, runs, is_allowed
):
    unread = replace(
        SENT, is_behind_cut=True, ending='reset', ended_at=14.0, status=None
    )
    exchange = replace(unread, **changes)
    assert is_violation(exchange, world_with(runs)) is not is_allowed


def test_request_behind_an_announced_end_must_not_run():
    behind = replace(SENT, is_unprocessed=True, ended_at=14.0)
    assert not is_violation(behind, world_with())
    assert is_violation(behind, world_with(runs=1))


def test_request_in_progress_may_end_with_the_grace_period():
    ended_late = replace(SENT, ended_at=17.0)
    assert not is_violation(ended_late, world_with(1, stopped_at=10.0))
    # Too early in the period, sent too late, not read, or not stopped at all.
    ended_early = replace(SENT, ended_at=16.0)
    assert is_violation(ended_early, world_with(1, stopped_at=10.0))
    assert is_violation(
        replace(ended_late, ended_at=14.0), world_with(1, stopped_at=6.9)
    )
    assert is_violation(ended_late, world_with(0, stopped_at=10.0))
    assert is_violation(ended_late, world_with(1))
    # Its router had ended long before a slow reader saw the end.
    early = world_with(1, stopped_at=10.0)
    early.stops[0].ended_at = 13.0
    assert is_violation(ended_late, early)


def test_body_in_progress_must_be_answered():
    cut = replace(SENT, method='POST', whole_at=None, ending='reset')
    assert is_violation(cut, world_with(stopped_at=9.0))
    refused = replace(cut, ending='answered', status=503)
    assert not is_violation(refused, world_with(stopped_at=9.0))


def test_refusals_in_calm_are_counted():
    refused = replace(ANSWERED, status=503)
    assert refused_in_calm([refused], world_with()) == 1
    assert refused_in_calm([refused], world_with(stopped_at=9.0)) == 0
