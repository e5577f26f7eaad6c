"""Calls that one request waits for."""

from collections.abc import Callable
from typing import Any


class Timers:
    """Call something later; one call of each name waits at a time.

    >>> from twisted.internet.task import Clock
    >>> clock, done = Clock(), []
    >>> timers = Timers(clock)
    >>> timers.later('end', 2, done.append, 'end')
    >>> clock.advance(2); done
    ['end']
    """

    def __init__(self, reactor: Any) -> None:
        """Start with nothing to wait for."""
        self._reactor = reactor
        self._waiting: dict[str, Any] = {}

    def later(
        self,
        name: str,
        delay_s: float,
        act: Callable[..., None],
        *args: Any,
    ) -> None:
        """Call ``act`` after so many seconds."""

        def fire() -> None:  # noqa: WPS430
            self._waiting.pop(name, None)
            act(*args)

        self._waiting[name] = self._reactor.callLater(delay_s, fire)

    def cancel_all(self) -> None:
        """Call nothing any more."""
        for waiting in self._waiting.values():
            waiting.cancel()
        self._waiting.clear()
