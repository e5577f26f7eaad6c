"""Records on their way into one stream, many to an append.

At most one append is in flight.  What is put in meanwhile goes with the next
one, so a slow log gets fewer and larger appends.
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
RECORD_BYTES = 200
RETRY_S = 0.5
APPEND_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class AppendBatch:
    """Append ``body`` and report how it went under ``batch``."""

    batch: int
    body: bytes
    records: int


class Outbox:
    """The records that are not known to have landed.

    A record may be appended twice when an answer is lost; its readers count
    it once.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._queue: list[ClaimRecord] = []
        self._flying: Sequence[ClaimRecord] = ()
        self._flown: set[str] = set()
        self._batch = 0
        self._asked_at: float | None = None
        self._retry_at = float(0)

    def __len__(self) -> int:
        """Return how many records wait or are in flight."""
        return len(self._queue) + len(self._flying)

    def put(self, record: ClaimRecord) -> None:
        """Queue one record."""
        self._queue.append(record)

    def withdraw(self, claim_id: str) -> bool:
        """Drop a claim; return whether it certainly never landed."""
        self._queue = [
            record for record in self._queue if not _is_claim(record, claim_id)
        ]
        flying = claim_id in _claim_ids(self._flying)
        self._flying = [
            record for record in self._flying if not _is_claim(record, claim_id)
        ]
        return not flying and claim_id not in self._flown

    def read_back(self, claim_id: str) -> None:
        """Learn that a claim is in the log; it need not be sent again."""
        self._queue = [
            record for record in self._queue if not _is_claim(record, claim_id)
        ]
        self._flown.discard(claim_id)

    def next_append(self, now: float) -> AppendBatch | None:
        """Return the append that is due at ``now``, if any."""
        if self._asked_at is not None:
            if now < self._asked_at + APPEND_TIMEOUT_S:
                return None
            self.failed(now, self._batch, PlatformFault.NO_RESPONSE)
        if not self._queue or now < self._retry_at:
            return None
        fitting = _fitting(self._queue)
        self._flying = tuple(self._queue[:fitting])
        self._queue = self._queue[fitting:]
        self._batch += 1
        self._asked_at = now
        return AppendBatch(
            self._batch,
            encode_batch(self._flying),
            len(self._flying),
        )

    def landed(self, batch: int) -> None:
        """Learn that an append is in the log."""
        if batch == self._batch and self._asked_at is not None:
            self._flown.update(_claim_ids(self._flying))
            self._flying = ()
            self._asked_at = None

    def failed(self, now: float, batch: int, fault: PlatformFault) -> None:
        """Learn that an append failed, or that its answer was lost."""
        if batch != self._batch or self._asked_at is None:
            return
        if fault is not PlatformFault.UNREACHABLE:
            self._flown.update(_claim_ids(self._flying))
        self._queue = [*self._flying, *self._queue]
        self._flying = ()
        self._asked_at = None
        self._retry_at = now + RETRY_S


def _fitting(records: Sequence[ClaimRecord]) -> int:
    """Return how many of the first records fit into one append."""
    sizes = accumulate(
        RECORD_BYTES + len(record.outcome.body)
        if isinstance(record, Done)
        else RECORD_BYTES
        for record in records
    )
    return sum(size <= MAX_BATCH_BYTES for size in sizes)


def _is_claim(record: ClaimRecord, claim_id: str) -> bool:
    return isinstance(record, Claim) and record.claim_id == claim_id


def _claim_ids(records: Sequence[ClaimRecord]) -> set[str]:
    return {record.claim_id for record in records if isinstance(record, Claim)}
