"""Stop the process when an invariant is violated.

Twisted logs exceptions of callbacks and continues.  Every callback into this
program therefore runs under a guard, which stops the process instead.
"""

from collections.abc import Callable
from typing import Any

from foxtailhatch.core import EventKind, InvariantViolation
from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.daemon.blackboard import Blackboard


class Guard:
    """Run callbacks of the event loop and stop on a violated invariant."""

    def __init__(
        self,
        board: Blackboard,
        stop_broken: Callable[[], None],
    ) -> None:
        """Keep the function ``stop_broken`` that stops the process."""
        self.broken = False
        self._board = board
        self._stop_broken = stop_broken

    def run(self, call: Callable[..., object], *args: Any) -> None:
        """Call ``call`` with ``args`` and handle a violated invariant."""
        try:
            call(*args)
        except InvariantViolation as exc:
            self.invariant_broken(exc)

    def invariant_broken(self, exc: InvariantViolation) -> None:
        """Record the first violated invariant and stop the process."""
        if self.broken:
            return
        self.broken = True
        self._board.record(
            EventKind.INVARIANT_BROKEN,
            exc.invariant.value,
            exc.evidence,
        )
        self._stop_broken()


class GuardedClock:
    """A clock whose delayed calls run under the guard."""

    def __init__(self, clock: ReactorClock, guard: Guard) -> None:
        """Wrap ``clock``, so that its delayed calls run under ``guard``."""
        self._clock = clock
        self._guard = guard

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.seconds()

    def callLater(  # noqa: N802
        self,
        delay: float,
        func: Any,
        *args: Any,
    ) -> Any:
        """Call ``func`` with ``args`` in ``delay`` seconds."""
        return self._clock.callLater(delay, self._guard.run, func, *args)
