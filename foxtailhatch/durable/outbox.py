"""Batched appends of records to one stream.

At most one append is in flight.  Records queued meanwhile go into the next
batch, so a slow log gets fewer and larger appends.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate

from foxtailhatch.durable.claim_records import (
    Claim,
    ClaimRecord,
    Done,
    encode_batch,
)
from foxtailhatch.outside import PlatformFault

MAX_BATCH_BYTES = 256_000
RECORD_SIZE_BYTES = 200
RETRY_DELAY_S = 0.5
APPEND_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class AppendBatch:
    """Request to append ``body`` and report the result by ``batch_id``."""

    batch_id: int
    body: bytes
    record_count: int


class Outbox:
    """The records without an acknowledged append.

    A record may be appended twice if a response is lost; readers apply it
    once.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._queue: list[ClaimRecord] = []
        self._in_flight: Sequence[ClaimRecord] = ()
        self._possibly_appended: set[str] = set()
        self._batch_id = 0
        self._sent_at: float | None = None
        self._retry_at = float(0)

    def __len__(self) -> int:
        """Return the number of records that are queued or in flight."""
        return len(self._queue) + len(self._in_flight)

    def put(self, record: ClaimRecord) -> None:
        """Queue one record."""
        self._queue.append(record)

    def cancel_claim(self, claim_id: str) -> bool:
        """Remove a claim; return whether it was certainly never appended."""
        self._queue = [
            record for record in self._queue if not _is_claim(record, claim_id)
        ]
        was_in_flight = claim_id in _claim_ids(self._in_flight)
        self._in_flight = [
            record
            for record in self._in_flight
            if not _is_claim(record, claim_id)
        ]
        return not was_in_flight and claim_id not in self._possibly_appended

    def handle_claim_read(self, claim_id: str) -> None:
        """Drop a claim that was read from the log, so it isn't repeated."""
        self._queue = [
            record for record in self._queue if not _is_claim(record, claim_id)
        ]
        self._possibly_appended.discard(claim_id)

    def next_append(self, now: float) -> AppendBatch | None:
        """Return the append that is due at ``now``, if any."""
        if self._sent_at is not None:
            if now < self._sent_at + APPEND_TIMEOUT_S:
                return None
            self.handle_failure(now, self._batch_id, PlatformFault.NO_RESPONSE)
        if not self._queue or now < self._retry_at:
            return None
        count = _count_fitting(self._queue)
        self._in_flight = tuple(self._queue[:count])
        self._queue = self._queue[count:]
        self._batch_id += 1
        self._sent_at = now
        return AppendBatch(
            self._batch_id,
            encode_batch(self._in_flight),
            len(self._in_flight),
        )

    def handle_acknowledgement(self, batch_id: int) -> None:
        """Record that an append succeeded."""
        if batch_id == self._batch_id and self._sent_at is not None:
            self._possibly_appended.update(_claim_ids(self._in_flight))
            self._in_flight = ()
            self._sent_at = None

    def handle_failure(
        self, now: float, batch_id: int, fault: PlatformFault
    ) -> None:
        """Requeue a batch whose append failed or whose response was lost."""
        if batch_id != self._batch_id or self._sent_at is None:
            return
        if fault is not PlatformFault.UNREACHABLE:
            self._possibly_appended.update(_claim_ids(self._in_flight))
        self._queue = [*self._in_flight, *self._queue]
        self._in_flight = ()
        self._sent_at = None
        self._retry_at = now + RETRY_DELAY_S


def _count_fitting(records: Sequence[ClaimRecord]) -> int:
    """Return the number of leading records that fit into one append."""
    sizes = accumulate(
        RECORD_SIZE_BYTES + len(record.outcome.body)
        if isinstance(record, Done)
        else RECORD_SIZE_BYTES
        for record in records
    )
    return sum(size <= MAX_BATCH_BYTES for size in sizes)


def _is_claim(record: ClaimRecord, claim_id: str) -> bool:
    return isinstance(record, Claim) and record.claim_id == claim_id


def _claim_ids(records: Sequence[ClaimRecord]) -> set[str]:
    return {record.claim_id for record in records if isinstance(record, Claim)}
