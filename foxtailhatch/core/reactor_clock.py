"""What the program needs of a reactor's clock."""

from typing import Any, Protocol


class DelayedCall(Protocol):
    """A call that will be made later."""

    def cancel(self) -> None:
        """Drop the call."""


class ReactorClock(Protocol):
    """The time and calls made later, as Twisted's reactors give them."""

    def seconds(self) -> float:
        """Return a time in seconds that never goes back."""

    def callLater(self, delay: float, func: Any, *args: Any) -> Any:
        """Call ``func`` with ``args`` in ``delay`` seconds.

        A :class:`DelayedCall` is returned.
        """
