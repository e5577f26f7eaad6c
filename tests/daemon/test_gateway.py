"""What the gateway says of calls that it refuses before they are claimed."""

import pytest

from foxtailhatch.callers.gateway import ServiceRequest
from foxtailhatch.core import RunState
from tests.faults.callers import CREW
from tests.faults.entry import TestEntry
from tests.faults.world import ZONES, World


@pytest.mark.parametrize(
    ('first_try', 'run'),
    [(True, RunState.NOT_RUN), (False, RunState.UNKNOWN)],
)
def test_a_second_try_refused_early_is_not_called_not_run(first_try, run):
    """An earlier try may have run, though this one was not even claimed."""
    world = World()
    entry = TestEntry(world, 0, ZONES[0])
    req = ServiceRequest(
        'r',
        CREW,
        'store-desk',
        'POST',
        '/bookings',
        b'',
        'text/plain',
        '1796356800-reel',
        first_try=first_try,
    )
    called = entry.parts.gateway.call_service(req)
    told = world.loop.run_until_complete(called)
    assert told.failure().run is run
