"""An in-memory log with retention, outages and lost acknowledgements."""

from collections import defaultdict, deque
from dataclasses import dataclass, field, replace
from enum import StrEnum

from returns.result import Failure, Result, Success

from foxtailhatch.outside import (
    LogPage,
    LogRecord,
    PlatformError,
    PlatformFault,
)
from foxtailhatch.outside.log_offsets import (
    epoch_of,
    offset_in_epoch,
    ordered_offset,
)


class AppendOutcome(StrEnum):
    """The outcome of an append.

    ``DELAYED`` is applied by the next call of :meth:`FakeLog.apply_delayed`.
    """

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
    """The log; each append consumes one of ``append_outcomes``."""

    retention_s: float = 1e9
    up: bool = True
    append_outcomes: deque[AppendOutcome] = field(default_factory=deque)
    streams: dict[str, FakeStream] = field(
        default_factory=lambda: defaultdict(FakeStream),
    )
    delayed_appends: list[tuple[str, bytes]] = field(default_factory=list)
    appends: int = 0
    epoch: int = 0

    def append(
        self,
        stream: str,
        body: bytes,
        now: float,
    ) -> Result[int, PlatformError]:
        if not self.up:
            return _failure(PlatformFault.UNREACHABLE)
        self.appends += 1
        outcome = (
            self.append_outcomes.popleft()
            if self.append_outcomes
            else AppendOutcome.ACKNOWLEDGED
        )
        if outcome is AppendOutcome.DELAYED:
            self.delayed_appends.append((stream, body))
        if outcome in {AppendOutcome.DELAYED, AppendOutcome.REQUEST_LOST}:
            return _failure(PlatformFault.NO_RESPONSE)
        offset = self._apply_append(stream, body, now)
        if outcome is AppendOutcome.ACK_LOST:
            return _failure(PlatformFault.NO_RESPONSE)
        return Success(offset)

    def restore(self, lost: int) -> None:
        """Return from a copy without the latest records of each stream."""
        self.epoch += 1
        for state in self.streams.values():
            del state.records[max(0, len(state.records) - lost) :]

    def apply_delayed(self, now: float) -> None:
        """Apply the delayed appends."""
        for stream, body in self.delayed_appends:
            self._apply_append(stream, body, now)
        self.delayed_appends.clear()

    def read(
        self,
        stream: str,
        offset: int,
        now: float,
        limit: int = 1000,
    ) -> Result[LogPage, PlatformError]:
        if not self.up:
            return _failure(PlatformFault.UNREACHABLE)
        state = self.streams[stream]
        state.expire(now - self.retention_s)
        start = max(0, offset_in_epoch(offset) - state.first)
        records = tuple(
            replace(record, offset=ordered_offset(self.epoch, record.offset))
            for record in state.records[start : start + limit]
        )
        return Success(
            LogPage(
                records if epoch_of(offset) == self.epoch else (),
                ordered_offset(self.epoch, state.first),
                ordered_offset(self.epoch, state.end),
            )
        )

    def _apply_append(self, stream: str, body: bytes, now: float) -> int:
        state = self.streams[stream]
        state.records.append(LogRecord(state.end, now, body))
        return state.end - 1


def _failure(fault: PlatformFault) -> Result[object, PlatformError]:
    return Failure(PlatformError(fault, fault.value))
