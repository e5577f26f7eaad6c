"""Calls repeated for as long as the daemon runs."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from foxtailhatch.core import InvariantViolation

Step = Callable[[], Awaitable[None]]

_LOGGER = logging.getLogger('foxtailhatch')


class Loops:
    """Run coroutines again and again, each in a task of its own.

    A broken invariant goes to ``on_broken``; it alone ends a loop.  Any other
    exception is logged and counted in ``failures``, and the loop goes on.
    """

    def __init__(self, on_broken: Callable[[InvariantViolation], None]) -> None:
        """Start with no loop."""
        self.failures = 0
        self._on_broken = on_broken
        self._tasks: list[asyncio.Task[None]] = []

    def every(self, period_s: float, step: Step) -> None:
        """Run ``step`` now and ``period_s`` after each of its ends."""
        self.paced(lambda: period_s, step)

    def paced(self, pace: Callable[[], float], step: Step) -> None:
        """Run ``step`` again and again; ``pace`` gives each pause in seconds."""
        self._tasks.append(asyncio.ensure_future(self._run(pace, step)))

    def stop(self) -> None:
        """End all loops."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, pace: Callable[[], float], step: Step) -> None:
        while True:
            try:
                await step()
            except InvariantViolation as exc:
                self._on_broken(exc)
                return
            except Exception as failure:
                # One bad step must not silence a part for good.
                self.failures += 1
                _LOGGER.error('a loop failed', exc_info=failure)
            await asyncio.sleep(pace())
