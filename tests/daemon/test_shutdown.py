import asyncio
from types import SimpleNamespace

from foxtailhatch.daemon.shutdown import ShutdownController
from foxtailhatch.membership import PlannedStop


def test_shutdown_releases_the_lease_before_stopping_the_loop():
    """Without a release, other entries wait until the lease expires."""
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
        board, lambda: 0, lambda: 5.0, lambda: done.append('stopped'), release
    )
    shutdown.request()
    asyncio.run(shutdown.step())
    assert done == ['released', 'stopped']
