import asyncio
from types import SimpleNamespace

from foxtailhatch.daemon.shutdown import ShutdownController
from foxtailhatch.membership import PlannedStop


def test_a_planned_stop_gives_its_lease_back_before_it_leaves():
    """Nobody called the release, so others waited for the lease to lapse."""
    done = []

    async def release():
        done.append('released')

    board = SimpleNamespace(
        name='entry-1',
        stop=PlannedStop(0, margin_s=0),
        entries=SimpleNamespace(update_own=lambda **_: None),
        record=lambda *_: None,
    )
    shutdown = ShutdownController(
        board, lambda: 0, lambda: 5.0, lambda: done.append('left'), release
    )
    shutdown.request()
    asyncio.run(shutdown.step())
    assert done == ['released', 'left']
