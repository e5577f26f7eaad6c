"""Split a stream of bytes into lines of bounded length."""

from collections.abc import Sequence
from dataclasses import dataclass, field


class LineTooLong(ValueError):
    """Raised when a line grows beyond the splitter's limit."""


@dataclass(slots=True)
class LineSplitter:
    r"""Collect bytes and give back whole lines without their line feeds.

    >>> splitter = LineSplitter(max_bytes=8)
    >>> splitter.feed(b'one\ntw')
    [b'one']
    >>> splitter.feed(b'o\n')
    [b'two']
    """

    max_bytes: int
    _parts: list[bytes] = field(default_factory=list)
    _part_bytes: int = 0

    def feed(self, chunk: bytes) -> Sequence[bytes]:
        """Add ``chunk``; :class:`LineTooLong` if a line has no end."""
        lines = chunk.split(b'\n')
        # The parts of a long line are joined once, when its end is there.
        if len(lines) > 1 and self._parts:
            lines[0] = b''.join((*self._parts, lines[0]))
            self._parts = []
            self._part_bytes = 0
        self._keep(lines.pop())
        longest = max(map(len, lines), default=0)
        if max(longest, self._part_bytes) > self.max_bytes:
            raise LineTooLong(f'a line is longer than {self.max_bytes} bytes')
        return lines

    def _keep(self, part: bytes) -> None:
        """Keep the beginning of a line that goes on in a later chunk."""
        if part:
            self._parts.append(part)
            self._part_bytes += len(part)
