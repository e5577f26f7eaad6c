"""Scheduling of reads of a log stream, and detection of log outages.

A follower decides only when to read.  The reader of the stream keeps its own
offset and ignores records that don't continue it.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.outside import LogPage

READ_LIMIT = 500
POLL_INTERVAL_S = 1.0
MAX_BACKOFF_S = 5.0
READ_TIMEOUT_S = 10.0
FAILURES_BEFORE_DOWN = 2
JITTER_RANGE = (0.75, 1.25)


class LogAvailability(StrEnum):
    """Whether the log answers reads."""

    UNKNOWN = 'unknown'
    UP = 'up'
    DOWN = 'down'


@dataclass(frozen=True, slots=True)
class ReadStream:
    """Request to read a page of at most ``limit`` records from ``offset``."""

    stream: str
    offset: int
    limit: int


class LogFollower:
    """The read schedule of one stream: polling, back-off and timeouts.

    >>> follower = LogFollower('claims-0', random.Random(1))
    >>> follower.next_read(0.0, 7)
    ReadStream(stream='claims-0', offset=7, limit=500)
    >>> follower.next_read(0.1, 7) is None
    True
    """

    def __init__(
        self,
        stream: str,
        rng: random.Random,
        poll_s: float = POLL_INTERVAL_S,
    ) -> None:
        """Start with a read that is due at once."""
        self.stream = stream
        self.availability = LogAvailability.UNKNOWN
        self._rng = rng
        self._poll_s = poll_s
        self._failures = 0
        self._due_at = float(0)
        self._read_at = float(0)
        self._requested_at: float | None = None
        self._caught_up_at: float | None = None

    def next_read(self, now: float, next_offset: int) -> ReadStream | None:
        """Return the read that is due at ``now``, if any."""
        if self._requested_at is not None:
            if now < self._requested_at + READ_TIMEOUT_S:
                return None
            self.handle_read_failure(now)
        if now < self._due_at:
            return None
        self._requested_at = now
        self._read_at = now
        return ReadStream(self.stream, next_offset, READ_LIMIT)

    def handle_page(self, now: float, page: LogPage, next_offset: int) -> bool:
        """Schedule the next read after a page was read.

        ``next_offset`` is the reader's offset after the page.  Return whether
        the log became available by this read.
        """
        requested_at = self._requested_at
        became_available = self.availability is not LogAvailability.UP
        self.availability = LogAvailability.UP
        self._failures = 0
        self._requested_at = None
        self._due_at = now
        if next_offset >= page.end:
            self._due_at = now + self._with_jitter(self._poll_s)
            self._caught_up_at = now if requested_at is None else requested_at
        return became_available

    def handle_read_failure(self, now: float) -> bool:
        """Back off after a failed read; return whether the log went down."""
        self._requested_at = None
        self._failures += 1
        backoff_s = self._poll_s * 2**self._failures
        self._due_at = now + self._with_jitter(min(backoff_s, MAX_BACKOFF_S))
        went_down = (
            self._failures >= FAILURES_BEFORE_DOWN
            and self.availability is not LogAvailability.DOWN
        )
        if went_down:
            self.availability = LogAvailability.DOWN
        return went_down

    def poll_soon(self, now: float, delay_s: float = 0) -> None:
        """Read as soon as possible, but ``delay_s`` after the last read."""
        if self.availability is not LogAvailability.DOWN:
            earliest = max(now, self._read_at + delay_s)
            self._due_at = min(self._due_at, earliest)

    def caught_up_since(self, started_at: float) -> bool:
        """Return whether a read begun at or after a time reached the end."""
        return (
            self._caught_up_at is not None and self._caught_up_at >= started_at
        )

    def _with_jitter(self, seconds: float) -> float:
        """Return ``seconds`` with jitter, which keeps readers from aligning."""
        return seconds * self._rng.uniform(*JITTER_RANGE)
