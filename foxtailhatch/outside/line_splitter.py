"""Split a byte stream into lines of limited length."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from foxtailhatch.relay.body_memory import BodyMemory, HeldBody

# Each piece takes time of the loop, however small it is.
MAX_LINE_PIECES: Final = 65_536


class LineTooLong(ValueError):
    """Raised when a line grows beyond one of the splitter's limits."""


@dataclass(slots=True)
class LineSplitter:
    r"""Collect bytes and return complete lines without their line feeds.

    The line that has begun takes of the memory in ``held``.

    >>> splitter = LineSplitter(max_bytes=8)
    >>> splitter.feed(b'one\ntw')
    [b'one']
    >>> splitter.feed(b'o\n')
    [b'two']
    """

    max_bytes: int
    held: HeldBody = field(default_factory=lambda: BodyMemory().hold())
    _part: bytearray = field(default_factory=bytearray)
    _pieces: int = 0

    def feed(self, chunk: bytes) -> Sequence[bytes]:
        """Add ``chunk`` and return the lines that it completes.

        Raise :class:`LineTooLong` if a line exceeds a limit, or the part of it
        that has arrived the memory that is left.
        """
        lines = chunk.split(b'\n')
        if len(lines) > 1 and self._part:
            lines[0] = b''.join((self._part, lines[0]))
            self._reset_part()
        longest = max(map(len, lines[:-1]), default=0)
        self._add_part(lines.pop())
        if max(longest, len(self._part)) > self.max_bytes:
            raise LineTooLong(f'a line is longer than {self.max_bytes} bytes')
        if self._pieces > MAX_LINE_PIECES:
            raise LineTooLong(f'a line has more than {MAX_LINE_PIECES} pieces')
        if not self.held.resize(len(self._part)):
            raise LineTooLong('no memory is left for a line')
        return lines

    def clear(self) -> None:
        """Drop the line that has begun, and give its memory back."""
        self._reset_part()
        self.held.release()

    def _reset_part(self) -> None:
        self._part = bytearray()
        self._pieces = 0

    def _add_part(self, part: bytes) -> None:
        """Store part of a line that continues in a later chunk."""
        if part:
            self._part += part
            self._pieces += 1
