"""What the front needs of a reactor's clock."""

from collections.abc import Callable
from typing import Protocol


class DelayedCall(Protocol):
    """A call that will be made later."""

    def cancel(self) -> None:
        """Drop the call."""


class Clock(Protocol):
    """Something that makes calls later, such as Twisted's reactor."""

    def callLater(self, delay: float, call: Callable[[], None]) -> DelayedCall:
        """Make ``call`` in ``delay`` seconds."""
