"""The timeline records when an entry gains and loses the placement lease."""

import asyncio
from random import Random

from foxtailhatch.core import Address, HybridClock
from foxtailhatch.daemon.blackboard import new_blackboard
from foxtailhatch.daemon.placement_loop import PlacementLoop
from foxtailhatch.daemon.settings import Limits, Placement
from foxtailhatch.durable.lease_holder import LeaseHolder
from foxtailhatch.membership import Entry, EntryTable, PlannedStop
from tests.durable.fake_log import FakeLog
from tests.faults.entry import entry_settings

STEPS = 200
STEP_S = 0.5


class AsyncLog:
    """Async interface to the fake log, with a clock that tests set."""

    def __init__(self):
        self.now = 1000.0
        self.log = FakeLog()

    async def append(self, stream, body):
        return self.log.append(stream, body, self.now)

    async def read(self, stream, offset, limit):
        return self.log.read(stream, offset, self.now, limit)


def blackboard(log):
    address = Address('127.0.0.1', 1)
    return new_blackboard(
        HybridClock('entry-1'),
        'thrissur-a',
        1,
        EntryTable(
            Entry('entry-1', address, address, 'thrissur-a', 'south'), 30
        ),
        PlannedStop(30),
        lambda: log.now,
        Limits(),
    )


async def run(loop, log):
    for _ in range(STEPS):
        log.now += STEP_S
        await loop.step()


def test_lease_that_cannot_be_renewed_is_recorded_as_lost():
    log = AsyncLog()
    board = blackboard(log)
    holder = LeaseHolder('placement', 'run-1', Random(1))
    placement = Placement(load_bytes_per_s=1.0)
    cfg = entry_settings('entry-1', 'thrissur-a')
    cfg = cfg.model_copy(update={'placement': placement})
    loop = PlacementLoop(board, log, None, None, holder, cfg, lambda: log.now)
    asyncio.run(run(loop, log))
    log.log.up = False
    asyncio.run(run(loop, log))
    kinds = [event.kind.value for event in board.timeline.events('placement')]
    assert kinds == ['lease_taken', 'lease_lost']
