"""Callers' input in small pieces, and the requests of other callers."""

import asyncio

import pytest

from tests.soak_router.measure_tiny_chunks import measure

# Peak memory above that of the idle process.
MEMORY_MB = 100
# What half of the other requests, and the slowest one, may take more than usual;
# the latter is several times the former, as tests run on busy machines.
SLOWER_S = 0.1
SLOWEST_S = 0.4
# Processor time in the second that begins 1 s after the end of the callers, well
# below the share of input in small pieces.
CPU_S = 0.15


# Guards against an entry that parses for half a minute what callers have sent in
# pieces of a byte, and answers nobody meanwhile.
@pytest.mark.parametrize('kind', ['one-byte chunks', 'feed page'])
def test_other_requests_are_served_beside_input_in_tiny_chunks(tmp_path, kind):
    figures = asyncio.run(measure(tmp_path, kind))
    log = figures.pop('log')
    served, sent = figures['others_served']
    before, peak = figures['memory_mb']
    assert served == sent, figures
    (usual_median, usual_longest), (median, longest) = (
        figures['usual_s'],
        figures['others_s'],
    )
    assert median < usual_median + SLOWER_S, figures
    assert longest < usual_longest + SLOWEST_S, figures
    assert peak - before < MEMORY_MB, figures
    assert figures['cpu_after'] < CPU_S, figures
    assert '"event":"input_refused"' in log
