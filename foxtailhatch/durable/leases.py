"""Leases granted by the order of a log, with fencing tokens.

The offset of the record that took a lease is its fencing token.  All readers
use only the log's timestamps, so they agree on the holder.  A holder uses its
lease for less than the lease term, counted on its own clock from before the
append, so it stops before another candidate can take the lease.
"""

from dataclasses import dataclass, replace
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from foxtailhatch.durable.claim_settings import MAX_CLOCK_SKEW_S
from foxtailhatch.outside import LogPage, LogRecord
from foxtailhatch.outside.log_offsets import epoch_of

LEASE_STREAM = 'leases'
LEASE_TERM_S = 15.0


@dataclass(frozen=True, slots=True)
class TakeLease:
    """A request to take a free lease."""

    lease: str
    wish_id: str


@dataclass(frozen=True, slots=True)
class RenewLease:
    """The holder's request to extend the lease ``fence`` by another term."""

    lease: str
    wish_id: str
    fence: int


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """The holder's release of the lease ``fence``."""

    lease: str
    fence: int


LeaseRecord = TakeLease | RenewLease | ReleaseLease
_KINDS: dict[str, type[LeaseRecord]] = {
    'take': TakeLease,
    'renew': RenewLease,
    'release': ReleaseLease,
}
_ADAPTERS: dict[str, TypeAdapter[Any]] = {
    name: TypeAdapter(kind) for name, kind in _KINDS.items()
}


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Return a lease record encoded as the body of a log record.

    >>> take = TakeLease('placement', 'entry-1:1')
    >>> decode_lease_record(encode_lease_record(take)) == take
    True
    """
    name = next(
        name for name, kind in _KINDS.items() if isinstance(record, kind)
    )
    fields = {slot: getattr(record, slot) for slot in record.__slots__}
    return cbor2.dumps([name, fields])


def decode_lease_record(body: bytes) -> LeaseRecord | None:
    """Return the lease record in ``body``, or ``None`` if it is invalid."""
    try:
        name, fields = cbor2.loads(body)
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return None
    try:
        record: LeaseRecord = _ADAPTERS[name].validate_python(fields)
    except (LookupError, TypeError, ValidationError):
        return None
    return record


@dataclass(frozen=True, slots=True)
class LeaseState:
    """A lease that was taken; ``expires_at`` is in the log's time."""

    fence: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A granted request to take or renew a lease, with its fencing token."""

    request_id: str
    fence: int


class LeaseTable:
    """The state of all leases, built from the lease stream.

    If records were lost, a lease may be held that this reader doesn't know.
    Its holder renews it within a term, and a renewal proves that its lease
    was taken.  Until a term has passed, the reader therefore regards no lease
    as free and no take as granted.
    """

    def __init__(self) -> None:
        """Start before the first record."""
        self.last_offset = -1
        self.log_time = float(0)
        self._uncertain_until = float(0)
        self._leases: dict[str, LeaseState] = {}

    @property
    def next_offset(self) -> int:
        """Return the offset to read next."""
        return self.last_offset + 1

    def state(self, lease: str) -> LeaseState | None:
        """Return the last known state of a lease, even if expired."""
        return self._leases.get(lease)

    def is_free(self, lease: str, now: float) -> bool:
        """Return whether the lease may be requested at ``now``."""
        state = self._leases.get(lease)
        expires_at = state.expires_at if state else float(0)
        return now >= max(expires_at, self._uncertain_until)

    def apply_page(self, now: float, page: LogPage) -> list[LeaseGrant]:
        """Apply a page and return the requests that were granted."""
        if page.first > self.next_offset:
            is_same_epoch = epoch_of(page.first) == epoch_of(self.next_offset)
            has_records = is_same_epoch and page.records
            first = page.records[0].time if has_records else now
            self._uncertain_until = first + LEASE_TERM_S + MAX_CLOCK_SKEW_S
            self.last_offset = page.first - 1
        granted: list[LeaseGrant | None] = []
        for logged in page.records:
            if logged.offset == self.next_offset:
                granted.append(self._apply_record(logged))
        return [grant for grant in granted if grant]

    def _apply_record(self, logged: LogRecord) -> LeaseGrant | None:
        self.last_offset = logged.offset
        self.log_time = max(self.log_time, logged.time)
        record = decode_lease_record(logged.body)
        match record:
            case TakeLease():
                return self._apply_take(logged.offset, record)
            case RenewLease():
                return self._apply_renewal(record)
            case ReleaseLease():
                self._apply_release(record)
        return None

    def _apply_take(self, offset: int, record: TakeLease) -> LeaseGrant | None:
        now = self.log_time
        expires_at = now + LEASE_TERM_S
        if now < self._uncertain_until:
            # Only a renewal can show whether this request was granted.
            self._uncertain_until = max(self._uncertain_until, expires_at)
            return None
        state = self._leases.get(record.lease)
        if state and now < state.expires_at:
            return None
        self._leases[record.lease] = LeaseState(offset, expires_at)
        return LeaseGrant(record.wish_id, offset)

    def _apply_renewal(self, record: RenewLease) -> LeaseGrant | None:
        state = self._leases.get(record.lease)
        expires_at = self.log_time + LEASE_TERM_S
        if state and state.fence == record.fence:
            self._leases[record.lease] = replace(state, expires_at=expires_at)
            return LeaseGrant(record.wish_id, record.fence)
        if state is None or record.fence > state.fence:
            self._leases[record.lease] = LeaseState(record.fence, expires_at)
        return None

    def _apply_release(self, record: ReleaseLease) -> None:
        state = self._leases.get(record.lease)
        if state and state.fence == record.fence:
            released = replace(state, expires_at=self.log_time)
            self._leases[record.lease] = released
