"""A structured log with a bounded rate of lines."""

import json
from collections.abc import Callable
from typing import Any, Protocol

# Two lines per request at ten times the target request rate of one entry.
MAX_LINES_PER_S = 60.0
BURST_LINES = 600.0


class StructuredLog(Protocol):
    """A log of decisions: one structured line per event."""

    def write(self, event: str, **fields: Any) -> None:
        """Write one line for an event with its fields."""


class RateLimitedLog:
    """Write JSON lines at a rate limited by a token bucket.

    Lines over the limit are suppressed and counted; the field ``left_out``
    of the next line gives their number.

    >>> lines = []
    >>> log = RateLimitedLog(lines.append, lambda: 0.0, 'e1', burst=1)
    >>> log.write('first'); log.write('second')
    >>> len(lines), log.suppressed
    (1, 1)
    """

    def __init__(
        self,
        write_line: Callable[[str], None],
        clock: Callable[[], float],
        instance: str,
        per_s: float = MAX_LINES_PER_S,
        burst: float = BURST_LINES,
    ) -> None:
        """Start with a full bucket."""
        self.suppressed = 0
        self._write_line = write_line
        self._clock = clock
        self._instance = instance
        self._per_s = per_s
        self._at_once = burst
        self._tokens = burst
        self._filled_at = clock()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, or count it as suppressed if the bucket is empty."""
        now = self._clock()
        refilled = self._tokens + (now - self._filled_at) * self._per_s
        self._tokens = min(self._at_once, refilled)
        self._filled_at = now
        if self._tokens < 1:
            self.suppressed += 1
            return
        self._tokens -= 1
        line = {'t': round(now, 3), 'node': self._instance, 'event': event}
        line.update(fields)
        if self.suppressed:
            line['left_out'] = self.suppressed
            self.suppressed = 0
        self._write_line(json.dumps(line, default=str, separators=(',', ':')))
