"""One asyncio reactor for the tests of this process, run by hand."""

import asyncio
from functools import cache

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

LIMIT_S = 20


@cache
def reactor():
    return AsyncioSelectorReactor(asyncio.new_event_loop())


def run(coroutine):
    """Run a coroutine to its end, at most for ``LIMIT_S``."""
    loop = reactor()._asyncioEventloop
    asyncio.set_event_loop(loop)
    return loop.run_until_complete(asyncio.wait_for(coroutine, LIMIT_S))


class SessionRecorder:
    """A listener that keeps what it heard and lets tests wait for it."""

    def __init__(self):
        self.frames = []
        self.reasons = []
        self._changed = asyncio.Event()

    def frame_received(self, endpoint, frame):
        self.frames.append(frame)
        self._changed.set()

    def session_lost(self, endpoint, reason):
        self.reasons.append(reason)
        self._changed.set()

    async def turn(self):
        """Let the loop handle what is ready."""
        await asyncio.sleep(0)

    async def until(self, holds):
        while not holds(self):
            self._changed.clear()
            await self._changed.wait()

    async def frame_count(self, count):
        await self.until(lambda recorder: len(recorder.frames) >= count)
        return self.frames

    async def lost(self):
        await self.until(lambda recorder: recorder.reasons)
        return self.reasons
