"""Structured lines about decisions, bounded in number and never blocking."""

import json
from collections.abc import Callable
from typing import Any, Protocol

# Lines a second, and at once.  Source: two lines a request at ten times the
# requests that one entry carries at the stated target.
LINES_PER_S = 60.0
LINES_AT_ONCE = 600.0


class StructuredLog(Protocol):
    """Where decisions are written down."""

    def write(self, event: str, **fields: Any) -> None:
        """Write one line about a decision."""


class RateLimitedLog:
    """Write JSON lines while a token bucket allows it, and count the rest.

    The next line that passes says how many were left out before it.

    >>> lines = []
    >>> log = RateLimitedLog(lines.append, lambda: 0.0, 'e1', at_once=1)
    >>> log.write('first'); log.write('second')
    >>> len(lines), log.left_out
    (1, 1)
    """

    def __init__(
        self,
        emit: Callable[[str], None],
        clock: Callable[[], float],
        instance: str,
        per_s: float = LINES_PER_S,
        at_once: float = LINES_AT_ONCE,
    ) -> None:
        """Start with a full bucket."""
        self.left_out = 0
        self._emit = emit
        self._clock = clock
        self._instance = instance
        self._per_s = per_s
        self._at_once = at_once
        self._tokens = at_once
        self._filled_at = clock()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, or count it as left out."""
        now = self._clock()
        grown = self._tokens + (now - self._filled_at) * self._per_s
        self._tokens = min(self._at_once, grown)
        self._filled_at = now
        if self._tokens < 1:
            self.left_out += 1
            return
        self._tokens -= 1
        line = {'t': round(now, 3), 'node': self._instance, 'event': event}
        line.update(fields)
        if self.left_out:
            line['left_out'] = self.left_out
            self.left_out = 0
        self._emit(json.dumps(line, default=str, separators=(',', ':')))
