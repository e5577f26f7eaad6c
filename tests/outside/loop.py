"""An asyncio reactor shared by the tests, which run it explicitly."""

import asyncio
from functools import cache

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

TIMEOUT_S = 20


@cache
def reactor():
    return AsyncioSelectorReactor(asyncio.new_event_loop())


def run(coroutine):
    """Run a coroutine to completion, for at most ``TIMEOUT_S``."""
    loop = reactor()._asyncioEventloop
    asyncio.set_event_loop(loop)
    return loop.run_until_complete(asyncio.wait_for(coroutine, TIMEOUT_S))


class SessionRecorder:
    """Session listener that records its calls and lets tests wait for them."""

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

    async def run_loop_once(self):
        """Let the loop run the callbacks that are ready."""
        await asyncio.sleep(0)

    async def wait_until(self, condition):
        while not condition(self):
            self._changed.clear()
            await self._changed.wait()

    async def wait_for_frames(self, count):
        await self.wait_until(lambda recorder: len(recorder.frames) >= count)
        return self.frames

    async def wait_for_loss(self):
        await self.wait_until(lambda recorder: recorder.reasons)
        return self.reasons
