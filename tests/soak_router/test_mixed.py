"""Routers are replaced one after the other, from an old build to this one.

The old build here is the commit that is checked out, which every clone has; earlier
ones are played by hand with ``make soak-router OLD=COMMIT``.
"""

import asyncio

import pytest

from tests.soak_router.mixed import build_of, mixed_soak

STEPS = 6


def test_guarantees_hold_while_builds_run_side_by_side(tmp_path):
    with build_of('HEAD') as old:
        run = asyncio.run(mixed_soak(tmp_path, old, seed=1, steps=STEPS))
    assert run.violations == []
    assert {line.split()[2] for line in run.replaced} == {'new', 'old'}
    assert any(node.accepted for node in run.world.pool.nodes.values())
    assert not old.exists()


def test_commit_that_is_not_in_this_clone_is_named():
    with pytest.raises(AssertionError, match='no work tree'):
        with build_of('no-such-commit'):
            raise RuntimeError
