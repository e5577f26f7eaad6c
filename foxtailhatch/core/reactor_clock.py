"""Protocols for the clock of a Twisted reactor, which tests replace."""

from typing import Any, Protocol


class DelayedCall(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the scheduled call."""


class ReactorClock(Protocol):
    """The part of ``IReactorTime`` that is needed here."""

    def seconds(self) -> float:
        """Return a monotonic time in seconds."""

    def callLater(self, delay: float, func: Any, *args: Any) -> Any:
        """Schedule ``func(*args)`` in ``delay`` seconds.

        Return a :class:`DelayedCall`.
        """
