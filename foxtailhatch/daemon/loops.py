"""Periodic tasks that run until the process stops."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from foxtailhatch.core import InvariantViolation

Step = Callable[[], Awaitable[None]]

_LOGGER = logging.getLogger('foxtailhatch')


class Loops:
    """Run coroutines periodically, each in its own task.

    A violated invariant is passed to ``on_invariant_broken`` and ends its
    loop.  Any other exception is logged and counted in ``failures``, and the
    loop continues.
    """

    def __init__(
        self, on_invariant_broken: Callable[[InvariantViolation], None]
    ) -> None:
        """Create an empty set of loops."""
        self.failures = 0
        self._on_invariant_broken = on_invariant_broken
        self._tasks: list[asyncio.Task[None]] = []

    def every(self, period_s: float, step: Step) -> None:
        """Run ``step`` now and again ``period_s`` after each completion."""
        self.repeat(lambda: period_s, step)

    def repeat(self, delay_s: Callable[[], float], step: Step) -> None:
        """Run ``step`` repeatedly; ``delay_s`` returns each delay."""
        self._tasks.append(asyncio.ensure_future(self._run(delay_s, step)))

    def stop(self) -> None:
        """Cancel all loops."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, delay_s: Callable[[], float], step: Step) -> None:
        while True:
            try:
                await step()
            except InvariantViolation as exc:
                self._on_invariant_broken(exc)
                return
            except Exception as failure:
                # An exception in one step must not end a periodic task.
                self.failures += 1
                _LOGGER.error(
                    'periodic step failed; it will run again', exc_info=failure
                )
            await asyncio.sleep(delay_s())
