"""An in-memory log with retention, outages and lost acknowledgements."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from enum import StrEnum

from returns.result import Failure, Result, Success

from foxtailhatch.outside import (
    LogPage,
    LogRecord,
    PlatformError,
    PlatformFault,
)


class AppendOutcome(StrEnum):
    """What happens to an append; ``DELAYED`` lands at the next :meth:`apply_delayed`."""

    ACKNOWLEDGED = 'acknowledged'
    REQUEST_LOST = 'lost_before'
    ACK_LOST = 'lost_after'
    DELAYED = 'late'


@dataclass
class FakeStream:
    first: int = 0
    records: list[LogRecord] = field(default_factory=list)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def expire(self, before: float) -> None:
        while self.records and self.records[0].time < before:
            self.records.pop(0)
            self.first += 1


@dataclass
class FakeLog:
    """The log; ``append_outcomes`` are used up by appends, one each."""

    retention_s: float = 1e9
    up: bool = True
    append_outcomes: deque[AppendOutcome] = field(default_factory=deque)
    streams: dict[str, FakeStream] = field(
        default_factory=lambda: defaultdict(FakeStream),
    )
    late: list[tuple[str, bytes]] = field(default_factory=list)
    appends: int = 0

    def append(
        self,
        stream: str,
        body: bytes,
        now: float,
    ) -> Result[int, PlatformError]:
        if not self.up:
            return _failure(PlatformFault.UNREACHABLE)
        self.appends += 1
        fate = (
            self.append_outcomes.popleft()
            if self.append_outcomes
            else AppendOutcome.ACKNOWLEDGED
        )
        if fate is AppendOutcome.DELAYED:
            self.late.append((stream, body))
        if fate in {AppendOutcome.DELAYED, AppendOutcome.REQUEST_LOST}:
            return _failure(PlatformFault.NO_RESPONSE)
        offset = self._land(stream, body, now)
        if fate is AppendOutcome.ACK_LOST:
            return _failure(PlatformFault.NO_RESPONSE)
        return Success(offset)

    def apply_delayed(self, now: float) -> None:
        """Let the late appends take effect."""
        for stream, body in self.late:
            self._land(stream, body, now)
        self.late.clear()

    def read(
        self,
        stream: str,
        offset: int,
        now: float,
        limit: int = 1000,
    ) -> Result[LogPage, PlatformError]:
        if not self.up:
            return _failure(PlatformFault.UNREACHABLE)
        kept = self.streams[stream]
        kept.expire(now - self.retention_s)
        start = max(0, offset - kept.first)
        records = tuple(kept.records[start : start + limit])
        return Success(LogPage(records, kept.first, kept.end))

    def _land(self, stream: str, body: bytes, now: float) -> int:
        kept = self.streams[stream]
        kept.records.append(LogRecord(kept.end, now, body))
        return kept.end - 1


def _failure(fault: PlatformFault) -> Result[object, PlatformError]:
    return Failure(PlatformError(fault, fault.value))
