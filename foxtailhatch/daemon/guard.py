"""The outermost layer: what happens when an invariant is broken.

Twisted logs whatever a callback raises and goes on.  So every way into the
program's own code leads through a guard, which stops the process instead.
"""

from collections.abc import Callable
from typing import Any

from foxtailhatch.core import EventKind, InvariantViolation
from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.daemon.blackboard import Blackboard


class Guard:
    """Run calls from outside, and stop at a broken invariant."""

    def __init__(
        self,
        board: Blackboard,
        stop_broken: Callable[[], None],
    ) -> None:
        """Take what ends the process."""
        self.broken = False
        self._board = board
        self._stop_broken = stop_broken

    def run(self, call: Callable[..., object], *args: Any) -> None:
        """Make a call that comes from the loop."""
        try:
            call(*args)
        except InvariantViolation as exc:
            self.invariant_broken(exc)

    def invariant_broken(self, exc: InvariantViolation) -> None:
        """Record the first broken invariant and stop the process."""
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
        """Take the clock to schedule with."""
        self._clock = clock
        self._guard = guard

    def seconds(self) -> float:
        """Return a time in seconds that never goes back."""
        return self._clock.seconds()

    def callLater(  # noqa: N802
        self,
        delay: float,
        func: Any,
        *args: Any,
    ) -> Any:
        """Call ``func`` with ``args`` in ``delay`` seconds."""
        return self._clock.callLater(delay, self._guard.run, func, *args)
