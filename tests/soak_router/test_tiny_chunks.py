"""Callers' input in small pieces, and the requests of other callers."""

import asyncio

import pytest

from tests.soak_router.measure_tiny_chunks import measure

# Peak memory above that of the idle process.
MEMORY_MB = 100
# The longest that other requests take more than the longest usual one, and the
# processor time in the second that begins 1 s after the end of the callers.  Both
# are several times the targets, as tests run on busy machines.
SLOWER_S = 0.4
CPU_S = 0.4


# Guards against an entry that parses for half a minute what callers have sent in
# pieces of a byte, and answers nobody meanwhile.
@pytest.mark.parametrize('kind', ['one-byte chunks', 'feed page'])
def test_other_requests_are_served_beside_input_in_tiny_chunks(tmp_path, kind):
    figures = asyncio.run(measure(tmp_path, kind))
    log = figures.pop('log')
    served, sent = figures['others_served']
    before, peak = figures['memory_mb']
    assert served == sent, figures
    assert figures['others_s'][-1] < figures['usual_s'][-1] + SLOWER_S, figures
    assert peak - before < MEMORY_MB, figures
    assert figures['cpu_after'] < CPU_S, figures
    assert '"event":"input_refused"' in log
