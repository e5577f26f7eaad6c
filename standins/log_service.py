"""Run the append-only log: ``python -m standins.log_service --help``.

``POST /streams/NAME`` appends the body and returns its offset;
``GET /streams/NAME?from=OFFSET&limit=COUNT`` reads.  Status 503 means that
the request was not executed.
"""

import time
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import click

from foxtailhatch.outside import LogRecord
from foxtailhatch.outside.log_http import LogDocument, RecordDocument
from standins.faults import Faults
from standins.http_app import NOT_FOUND, UNAVAILABLE, Call, Reply, reply
from standins.process import serve

DEFAULT_RETENTION_S: Final = 3600.0
DEFAULT_MAX_RECORDS: Final = 100_000
DEFAULT_LIMIT: Final = 1000


@dataclass(slots=True)
class LogStream:
    """A stream with its retained records and the next offset."""

    records: deque[LogRecord] = field(default_factory=deque)
    end: int = 0

    def first(self) -> int:
        """Return the offset of the oldest retained record."""
        return self.end - len(self.records)

    def drop_before(self, offset: int) -> None:
        """Delete the records below an offset."""
        while self.records and self.records[0].offset < offset:
            self.records.popleft()

    def drop_latest(self, count: int) -> None:
        """Delete the latest records, whose offsets are given out again."""
        for _ in range(min(count, len(self.records))):
            self.records.pop()
            self.end -= 1

    def page(self, offset: int, limit: int, epoch: int = 0) -> LogDocument:
        """Return at most ``limit`` records, starting at an offset."""
        first = self.first()
        begin = max(offset - first, 0)
        count = max(min(limit, len(self.records) - begin), 0)
        return LogDocument(
            records=[
                RecordDocument.of(self.records[begin + index])
                for index in range(count)
            ],
            first=first,
            end=self.end,
            epoch=epoch,
        )


@dataclass(slots=True)
class LogStandIn:
    """Append-only log with named streams, kept in memory."""

    now: Callable[[], float] = time.time
    kept_s: float = DEFAULT_RETENTION_S
    kept_records: int = DEFAULT_MAX_RECORDS
    faults: Faults = field(default_factory=Faults)
    epoch: int = 0
    streams: defaultdict[str, LogStream] = field(
        default_factory=lambda: defaultdict(LogStream),
    )

    def answer(self, call: Call) -> Reply | None:
        """Append a record or read a page."""
        if self.faults.down:
            return reply({'error': 'log unavailable'}, UNAVAILABLE)
        if self.faults.restore:
            self._restore()
        match (call.method, call.path):
            case ('POST', ('streams', name)):
                return self._append(name, call.body)
            case ('GET', ('streams', name)):
                stream = self._apply_retention(name)
                limit = call.number('limit', DEFAULT_LIMIT)
                page = stream.page(call.number('from'), limit, self.epoch)
                return reply(page)
            case _:
                return reply({'error': 'unknown path'}, NOT_FOUND)

    def _append(self, name: str, body: bytes) -> Reply | None:
        """Append a record, unless a fault drops the request or the response."""
        if self.faults.consume('lose_append'):
            return None
        stream = self._apply_retention(name)
        record = LogRecord(stream.end, self.now(), body)
        stream.records.append(record)
        stream.end += 1
        if self.faults.consume('lose_ack'):
            return None
        return reply({'offset': record.offset, 'epoch': self.epoch})

    def _restore(self) -> None:
        """Return from a copy that lacks the latest records."""
        for stream in self.streams.values():
            stream.drop_latest(self.faults.restore)
        self.faults.restore = 0
        self.epoch += 1

    def _apply_retention(self, name: str) -> LogStream:
        """Delete expired records of a stream and return the stream."""
        stream = self.streams[name]
        stream.drop_before(stream.end - self.kept_records)
        stream.drop_before(self.faults.drop_before.get(name, 0))
        oldest = self.now() - self.kept_s
        while stream.records and stream.records[0].time < oldest:
            stream.records.popleft()
        return stream


@click.command()
@click.option('--name', default='log')
@click.option('--port', default=0)
@click.option('--kept-s', default=DEFAULT_RETENTION_S)
@click.option('--kept-records', default=DEFAULT_MAX_RECORDS)
def main(name: str, port: int, kept_s: float, kept_records: int) -> None:
    """Run a stand-in for the platform's append-only log."""
    log = LogStandIn(kept_s=kept_s, kept_records=kept_records)
    serve(name, port, lambda _: log)


if __name__ == '__main__':
    main()
