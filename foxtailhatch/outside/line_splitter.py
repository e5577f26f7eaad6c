"""Split a byte stream into lines of limited length."""

from collections.abc import Sequence
from dataclasses import dataclass, field


class LineTooLong(ValueError):
    """Raised when a line grows beyond the splitter's limit."""


@dataclass(slots=True)
class LineSplitter:
    r"""Collect bytes and return complete lines without their line feeds.

    >>> splitter = LineSplitter(max_bytes=8)
    >>> splitter.feed(b'one\ntw')
    [b'one']
    >>> splitter.feed(b'o\n')
    [b'two']
    """

    max_bytes: int
    _parts: list[bytes] = field(default_factory=list)
    _buffered_bytes: int = 0

    def feed(self, chunk: bytes) -> Sequence[bytes]:
        """Add ``chunk`` and return the lines that it completes.

        Raise :class:`LineTooLong` if a line exceeds the limit.
        """
        lines = chunk.split(b'\n')
        # Joining once at the end of a line avoids quadratic time on long lines.
        if len(lines) > 1 and self._parts:
            lines[0] = b''.join((*self._parts, lines[0]))
            self._parts = []
            self._buffered_bytes = 0
        self._buffer_part(lines.pop())
        longest = max(map(len, lines), default=0)
        if max(longest, self._buffered_bytes) > self.max_bytes:
            raise LineTooLong(f'a line is longer than {self.max_bytes} bytes')
        return lines

    def _buffer_part(self, part: bytes) -> None:
        """Store part of a line that continues in a later chunk."""
        if part:
            self._parts.append(part)
            self._buffered_bytes += len(part)
