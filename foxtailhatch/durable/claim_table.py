"""The state of one claim stream: the holder and outcome of each key.

The first claim to a key in log order holds the key.  Only the holder can
release it, by an :class:`Abandon` that it writes once it will certainly not
send.  A claim of a request that arrived before the abandon was logged is
stale even if it is logged later, because callers may already have received
the reply that the request was not run.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

from returns.pipeline import is_successful

from foxtailhatch.core import RunState
from foxtailhatch.durable.claim_records import (
    Abandon,
    Claim,
    ClaimRecord,
    Done,
    KeyOwner,
    Outcome,
    decode_batch,
)
from foxtailhatch.durable.claim_settings import MAX_CLOCK_SKEW_S
from foxtailhatch.outside import LogPage, LogRecord
from foxtailhatch.outside.log_offsets import epoch_of

NO_OFFSET = -1


class ClaimStatus(StrEnum):
    """The result of a claim when it is read from the log."""

    GRANTED = 'holds'
    KEY_HELD = 'later'
    STALE = 'void'


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """A claim read from the stream, with its result."""

    claim_id: str
    status: ClaimStatus


@dataclass(frozen=True, slots=True)
class KeyState:
    """The state of one key.

    ``released_offset`` is the offset of the last abandon, and ``logged_at``
    the log's time of the newest record about the key.
    """

    holder: Claim | None
    offset: int
    logged_at: float
    outcome: Outcome | None = None
    released_offset: int = NO_OFFSET


class ClaimTable:
    """The keys of one claim stream, built from its records.

    ``mismatch_logged_at`` is the log's time of the newest claim by an entry
    that partitions keys over another number of streams, if there was one.

    If records are lost before they are read, the table is incomplete for
    keys created before that time; see :meth:`covers`.
    """

    def __init__(self, partitions: int, retention_s: float) -> None:
        """Start before the first record of one of ``partitions`` streams."""
        self.last_offset = NO_OFFSET
        self.log_time = float(0)
        self.mismatch_logged_at: float | None = None
        self._partitions = partitions
        self._retention_s = retention_s
        self._incomplete_before = float(0)
        self._has_read = False
        self._keys: dict[KeyOwner, KeyState] = {}

    def __len__(self) -> int:
        """Return the number of keys in the table."""
        return len(self._keys)

    @property
    def next_offset(self) -> int:
        """Return the offset to read next."""
        return self.last_offset + 1

    def look_up(self, owner: KeyOwner) -> KeyState | None:
        """Return the state of a key, or ``None`` without records of it."""
        return self._keys.get(owner)

    def covers(self, created_at: float) -> bool:
        """Return whether all claims to a key of that age have been read.

        A claim is never logged before its key was created, apart from clock
        skew.
        """
        return created_at - MAX_CLOCK_SKEW_S >= self._incomplete_before

    def apply_page(self, now: float, page: LogPage) -> list[ReadClaim]:
        """Apply a page and return the claims in it."""
        if page.first > self.next_offset:
            self._handle_lost_records(now, page)
        self._has_read = True
        claims: list[ReadClaim] = []
        for record in page.records:
            if record.offset == self.next_offset:
                claims.extend(self._apply_record(record))
        return claims

    def expire(self, logged_before: float) -> None:
        """Remove the keys whose newest record is older than a log time.

        From then on the table doesn't cover keys created before that time.
        This matters if this entry's clock is set back.
        """
        self._incomplete_before = max(self._incomplete_before, logged_before)
        old = [
            owner
            for owner, state in self._keys.items()
            if state.logged_at < logged_before
        ]
        for owner in old:
            self._keys.pop(owner)

    def _handle_lost_records(self, now: float, page: LogPage) -> None:
        """Skip the records before ``page.first``, which can't be read.

        At the first read, these records have expired and are older than the
        retention.  At a later read, they were lost since the last read and
        may be as recent as the first record after them.  A log that returned
        from an older copy may have lost records until now.
        """
        lost_before = now - self._retention_s
        if epoch_of(page.first) != epoch_of(self.next_offset):
            lost_before = now
        elif self._has_read:
            times = [record.time for record in page.records[:1]]
            lost_before = min([now, *times])
        self._incomplete_before = max(self._incomplete_before, lost_before)
        self.last_offset = page.first - 1

    def _apply_record(self, logged: LogRecord) -> Iterator[ReadClaim]:
        self.last_offset = logged.offset
        self.log_time = max(self.log_time, logged.time)
        batch = decode_batch(logged.body)
        if not is_successful(batch):
            return
        for record in batch.unwrap():
            status = self._apply(logged, record)
            if status is not None:
                yield ReadClaim(record.claim_id, status)

    def _apply(
        self,
        logged: LogRecord,
        record: ClaimRecord,
    ) -> ClaimStatus | None:
        match record:
            case Claim():
                return self._apply_claim(logged, record)
            case Abandon():
                self._apply_abandon(logged, record)
            case Done():
                self._apply_outcome(logged, record)
        return None

    def _apply_claim(self, logged: LogRecord, claim: Claim) -> ClaimStatus:
        if claim.partitions != self._partitions:
            self.mismatch_logged_at = logged.time
        state = self._keys.get(claim.owner)
        released_offset = state.released_offset if state else NO_OFFSET
        if state and state.holder:
            is_same_claim = state.holder.claim_id == claim.claim_id
            return (
                ClaimStatus.GRANTED if is_same_claim else ClaimStatus.KEY_HELD
            )
        if released_offset > claim.read_offset:
            return ClaimStatus.STALE
        self._keys[claim.owner] = KeyState(
            claim,
            logged.offset,
            logged.time,
            released_offset=released_offset,
        )
        return ClaimStatus.GRANTED

    def _apply_abandon(self, logged: LogRecord, abandon: Abandon) -> None:
        state = self._keys.get(abandon.owner)
        if state and state.holder:
            is_holder = state.holder.claim_id == abandon.claim_id
            if not is_holder or state.outcome:
                return
        self._keys[abandon.owner] = KeyState(
            None,
            logged.offset,
            logged.time,
            released_offset=logged.offset,
        )

    def _apply_outcome(self, logged: LogRecord, done: Done) -> None:
        state = self._keys.get(done.owner)
        if state is None or state.holder is None:
            return
        if state.holder.claim_id != done.claim_id:
            return
        if state.outcome and state.outcome.run is RunState.RAN:
            return
        self._keys[done.owner] = replace(
            state,
            outcome=done.outcome,
            logged_at=logged.time,
        )
