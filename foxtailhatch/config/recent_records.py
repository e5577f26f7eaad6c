"""The newest records of a stream, kept for peers within a byte bound."""

from collections import deque

from foxtailhatch.outside import LogRecord

RECENT_BYTES = 1_000_000


class RecentRecords:
    """Consecutive records up to the newest, the oldest dropped first.

    >>> recent = RecentRecords(3)
    >>> for offset in range(3):
    ...     recent.add(LogRecord(offset, 0.0, b'xy'))
    >>> [record.offset for record in recent.after(1)]
    [2]
    >>> recent.after(0) is None
    True
    """

    def __init__(self, max_bytes: int = RECENT_BYTES) -> None:
        """Keep at most ``max_bytes`` of record bodies."""
        self._max_bytes = max_bytes
        self._records: deque[LogRecord] = deque()
        self._bytes = 0

    def add(self, record: LogRecord) -> None:
        """Keep one more record; one that does not follow starts anew."""
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
            self._bytes = 0
        self._records.append(record)
        self._bytes += len(record.body)
        while self._bytes > self._max_bytes:
            self._bytes -= len(self._records.popleft().body)

    def after(self, offset: int) -> tuple[LogRecord, ...] | None:
        """Return all records after ``offset``, ``None`` if some are gone."""
        if not self._records or self._records[0].offset > offset + 1:
            return None
        return tuple(
            record for record in self._records if record.offset > offset
        )
