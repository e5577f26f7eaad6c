"""What this package needs of a reactor's clock."""

from typing import Any, Protocol


class Clock(Protocol):
    """The time in seconds and calls made later, as Twisted's reactors do."""

    def seconds(self) -> float:
        """Return a time that only grows, from any starting point."""

    def callLater(self, delay: float, func: Any, *args: Any) -> Any:
        """Call ``func`` with ``args`` in ``delay`` seconds."""
