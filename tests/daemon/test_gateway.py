"""The run state of service calls that are refused before they are claimed."""

import pytest

from foxtailhatch.callers.gateway import ServiceRequest
from foxtailhatch.core import RunState
from tests.faults.callers import CALLER
from tests.faults.entry import TestEntry
from tests.faults.simulation import ZONES, Simulation


@pytest.mark.parametrize(
    ('first_try', 'run'),
    [(True, RunState.NOT_RUN), (False, RunState.UNKNOWN)],
)
def test_a_retry_refused_before_its_claim_has_an_unknown_run_state(
    first_try, run
):
    """Guards against reporting a retry as not run when its key was not read.

    An earlier try may have run although this one was refused before its claim.
    """
    sim = Simulation()
    entry = TestEntry(sim, 0, ZONES[0])
    req = ServiceRequest(
        'r',
        CALLER,
        'store-desk',
        'POST',
        '/bookings',
        b'',
        'text/plain',
        '1796356800-reel',
        first_try=first_try,
    )
    call = entry.components.gateway.call_service(req)
    outcome = sim.loop.run_until_complete(call)
    assert outcome.failure().run is run
