"""A bounded buffer of the latest records of a stream, to send to peers."""

from collections import deque

from foxtailhatch.outside import LogRecord

MAX_RECENT_BYTES = 1_000_000


class RecentRecords:
    """Consecutive records up to the latest; the oldest are evicted first.

    >>> recent = RecentRecords(3)
    >>> for offset in range(3):
    ...     recent.add(LogRecord(offset, 0.0, b'xy'))
    >>> [record.offset for record in recent.after(1)]
    [2]
    >>> recent.after(0) is None
    True
    """

    def __init__(self, max_bytes: int = MAX_RECENT_BYTES) -> None:
        """Create a buffer of at most ``max_bytes`` of record bodies."""
        self._max_bytes = max_bytes
        self._records: deque[LogRecord] = deque()
        self._bytes = 0

    def add(self, record: LogRecord) -> None:
        """Add a record; if it is not consecutive, clear the buffer first."""
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
            self._bytes = 0
        self._records.append(record)
        self._bytes += len(record.body)
        while self._bytes > self._max_bytes:
            self._bytes -= len(self._records.popleft().body)

    def after(self, offset: int) -> tuple[LogRecord, ...] | None:
        """Return all records after ``offset``, or ``None`` if some are evicted."""
        if not self._records or self._records[0].offset > offset + 1:
            return None
        return tuple(
            record for record in self._records if record.offset > offset
        )
