"""Whether the other end of a connection takes what is written to it."""

from typing import Protocol


class SendBuffer(Protocol):
    """What a transport of Twisted has not handed over to the system."""

    dataBuffer: bytes
    offset: int


class SendProgress:
    """Progress of a transport between two questions.

    >>> from types import SimpleNamespace
    >>> buffer = SimpleNamespace(dataBuffer=b'answer', offset=2)
    >>> progress = SendProgress()
    >>> progress.has_moved(buffer), progress.has_moved(buffer)
    (True, False)
    >>> buffer.offset = 4
    >>> progress.has_moved(buffer)
    True
    """

    def __init__(self) -> None:
        """Start where nothing was written."""
        self._last_position = (0, 0)

    def has_moved(self, buffer: SendBuffer) -> bool:
        """Return whether bytes were handed over since the last question."""
        position = (len(buffer.dataBuffer), buffer.offset)
        has_moved = position != self._last_position
        self._last_position = position
        return has_moved
