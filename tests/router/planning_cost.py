"""What planning costs the holder of the lease, by the size of the pool.

``python -m tests.router.planning_cost`` prints, for each phase, the processor
time of the longest step and of the longest turn of the loop, and the calls of
the package's functions in them.  What the engines do is left out.
"""

import asyncio
import sys
import time
from contextlib import contextmanager
from random import Random

from foxtailhatch import router
from foxtailhatch.placement.coverage import ServedLayers
from tests.router.engine_pool import Entry, Pool

SIZES = {40: 2, 200: 4, 1200: 8}
KINDS = ('large', 'middle', 'middle', 'small', 'small')
PACKAGE = router.__path__[0].removesuffix('router')


class UncheckedPool(Pool):
    """A pool that leaves out its own look at all layers, which takes long."""

    def served(self, leaving_known_to=None):
        return ServedLayers((), 0)


class MeasuredEntry(Entry):
    """An entry that measures its steps."""

    def __init__(self, pool, name='entry-1', *, counts_calls=False):
        self.counts_calls = counts_calls
        self.calls = 0
        self.outside_s = 0
        self.steps = []
        self.turns = []
        super().__init__(pool, name)

    async def place(self, *order):
        # An answer comes in a later turn of the loop.
        await asyncio.sleep(0)
        begin = time.process_time()
        with profiling(None):
            outcome = await super().place(*order)
        self.outside_s += time.process_time() - begin
        return outcome

    async def report(self, *target):
        await asyncio.sleep(0)
        return await super().report(*target)

    async def _step(self):
        await self.lease.maintain(is_candidate=True)
        if not self.lease.is_held:
            return
        begin = self.spent()
        turns = asyncio.ensure_future(self.watch_turns())
        await asyncio.sleep(0)
        with profiling(self.count if self.counts_calls else None):
            await self.controller.step()
            await asyncio.sleep(0)
        turns.cancel()
        self.steps.append(self.spent() - begin)

    async def watch_turns(self):
        while True:
            begin = self.spent()
            await asyncio.sleep(0)
            self.turns.append(self.spent() - begin)

    def spent(self):
        """Return the calls or the processor time in s until now."""
        if self.counts_calls:
            return self.calls
        return time.process_time() - self.outside_s

    def count(self, frame, event, _):
        is_call = event == 'call'
        self.calls += is_call and frame.f_code.co_filename.startswith(PACKAGE)

    def longest(self):
        """Return the most that a step and a turn took since the last call."""
        most = max(self.steps), max(self.turns)
        self.steps.clear()
        self.turns.clear()
        return most


@contextmanager
def profiling(function):
    before = sys.getprofile()
    sys.setprofile(function)
    try:
        yield
    finally:
        sys.setprofile(before)


def costs(size, *, counts_calls=False):
    """Return the cost of the longest step and turn in each phase."""
    pool = UncheckedPool()
    random = Random(size)
    for number in range(size):
        pool.add(
            f'e{number:04}', random.choice(KINDS), f'z{number % SIZES[size]}'
        )
    entry = MeasuredEntry(pool, counts_calls=counts_calls)
    entry.hold(1)
    seen = {}
    pool.run(1.5)
    seen['first plan'] = entry.longest()
    pool.run(18)
    entry.longest()
    pool.run(2)
    seen['nothing to do'] = entry.longest()
    staying = [
        known.name
        for known in pool.engines.values()
        if known.layers and known.layers.first
    ]
    for name in random.sample(staying, 8):
        pool.leave(name)
    pool.run(6)
    seen['eight engines leave'] = entry.longest()
    other = MeasuredEntry(pool, 'entry-2', counts_calls=counts_calls)
    other.hold(2)
    pool.run(3)
    seen['new holder'] = other.longest()
    return seen


if __name__ == '__main__':
    for one in SIZES:
        calls = costs(one, counts_calls=True)
        for phase, (step_s, turn_s) in costs(one).items():
            print(one, phase, f'{step_s:.4f} {turn_s:.4f} s', *calls[phase])
