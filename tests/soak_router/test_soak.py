"""Run each seed that has ever failed, with few steps.

Seed 1 failed on a loaded machine: engines that a report named as stalled were
considered dead, and stayed so, because the stand-in engines wrote no
heartbeats that would have shown them alive.  In seed 226 a router was stopped
while it still imported its modules, and ended by the signal.  In seed 506 the
stand-in store never let a killed member of the lease group lapse, so nobody
placed layers any more.  With notices, seed 7003 counted what an entry was told before
its restart, and in a report that it had given up; in seed 7008 the launcher of the
routers imported modules before it had signal handlers.
"""

import asyncio

import pytest

from tests.soak_router.soak import soak

STEPS = 12


@pytest.mark.parametrize('seed', [1, 226, 506])
def test_guarantees_hold_under_random_faults(tmp_path, seed):
    run = asyncio.run(soak(tmp_path, seed, STEPS))
    assert run.violations == []


@pytest.mark.parametrize('seed', [7003, 7008])
def test_guarantees_hold_beside_notices_of_endpoints(tmp_path, seed):
    run = asyncio.run(soak(tmp_path, seed, STEPS, has_notices=True))
    assert run.violations == []
    assert run.notices.chosen
