"""A log in memory, for benchmarks of the parts that read and write one."""

from collections import defaultdict

from foxtailhatch.outside import LogPage, LogRecord


class MemoryLog:
    """Streams of records that never expire."""

    def __init__(self) -> None:
        """Start empty."""
        self.streams: dict[str, list[LogRecord]] = defaultdict(list)

    def append(self, stream: str, body: bytes, now: float) -> None:
        """Append one record."""
        records = self.streams[stream]
        records.append(LogRecord(len(records), now, body))

    def read(self, stream: str, offset: int) -> LogPage:
        """Read all records from an offset on."""
        records = self.streams[stream]
        return LogPage(tuple(records[offset:]), 0, len(records))

    def size(self) -> int:
        """Return the bytes of all bodies."""
        return sum(
            len(record.body)
            for records in self.streams.values()
            for record in records
        )
