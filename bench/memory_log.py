"""In-memory log for benchmarks of log readers and writers."""

from collections import defaultdict

from foxtailhatch.outside import LogPage, LogRecord


class MemoryLog:
    """Streams of records that never expire."""

    def __init__(self) -> None:
        """Create a log without streams."""
        self.streams: dict[str, list[LogRecord]] = defaultdict(list)

    def append(self, stream: str, body: bytes, now: float) -> None:
        """Append a record to a stream."""
        records = self.streams[stream]
        records.append(LogRecord(len(records), now, body))

    def read(self, stream: str, offset: int) -> LogPage:
        """Return all records from ``offset`` on."""
        records = self.streams[stream]
        return LogPage(tuple(records[offset:]), 0, len(records))

    def size(self) -> int:
        """Return the total size of all record bodies in bytes."""
        return sum(
            len(record.body)
            for records in self.streams.values()
            for record in records
        )
