"""Planned work beside endpoints that fall silent for a while.

`python -m tests.soak_router --kind planned` plays more of it by hand.
"""

import asyncio

from tests.soak_router.planned_work import planned_soak

WORK = ('storm', 'drain', 'stop_one')
CLIENTS = 10


# Guards against requests that are lost, or run though they were refused, when
# operators change something while endpoints are silent.
def test_planned_work_loses_no_request(tmp_path):
    run = asyncio.run(planned_soak(tmp_path, 1, WORK, CLIENTS))
    assert run.clients.exchanges
    assert run.violations == []
