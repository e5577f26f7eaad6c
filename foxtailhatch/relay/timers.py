"""Named timers of one request."""

from collections.abc import Callable
from typing import Any


class Timers:
    """Schedule callbacks; at most one per name is pending at a time.

    >>> from twisted.internet.task import Clock
    >>> clock, done = Clock(), []
    >>> timers = Timers(clock)
    >>> timers.schedule('end', 2, done.append, 'end')
    >>> clock.advance(2); done
    ['end']
    """

    def __init__(self, reactor: Any) -> None:
        """Start with no timers."""
        self._reactor = reactor
        self._pending: dict[str, Any] = {}

    def schedule(
        self,
        name: str,
        delay_s: float,
        callback: Callable[..., None],
        *args: Any,
    ) -> None:
        """Call ``callback`` after ``delay_s`` seconds.

        A pending callback of the same name is cancelled.
        """

        def fire() -> None:  # noqa: WPS430
            self._pending.pop(name, None)
            callback(*args)

        replaced = self._pending.pop(name, None)
        if replaced is not None:
            replaced.cancel()
        self._pending[name] = self._reactor.callLater(delay_s, fire)

    def cancel_all(self) -> None:
        """Cancel all pending callbacks."""
        for waiting in self._pending.values():
            waiting.cancel()
        self._pending.clear()
