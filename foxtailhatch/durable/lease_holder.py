"""Take, renew and release one lease, as one of several candidates."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from foxtailhatch.durable.append_attempt import AppendRecord
from foxtailhatch.durable.leases import (
    LEASE_STREAM,
    LEASE_TERM_S,
    LeaseGrant,
    LeaseRecord,
    LeaseTable,
    ReleaseLease,
    RenewLease,
    TakeLease,
    encode_lease_record,
)

HELD_TERM_S = 10.0
RENEW_AFTER_S = 4.0
MAX_TAKE_DELAY_S = 5.0
RETRY_DELAY_S = 2.0


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A held lease, valid until ``expires_at`` on this entry's clock."""

    fence: int
    expires_at: float


class LeaseHolder:
    """One candidate for one lease.

    ``run_id`` is unique to each start.  Pass the grants that
    :meth:`LeaseTable.apply_page` returns to :meth:`apply_grants`.
    """

    def __init__(self, lease: str, run_id: str, rng: random.Random) -> None:
        """Start without the lease."""
        self.lease = lease
        self._run_id = run_id
        self._rng = rng
        self._count = 0
        self._lease: HeldLease | None = None
        self._requested_at: dict[str, float] = {}
        self._next_request_at = float(0)
        self._take_at: float | None = None

    def current_lease(self, now: float) -> HeldLease | None:
        """Return the lease if it is valid at ``now``."""
        if self._lease and now < self._lease.expires_at:
            return self._lease
        return None

    def step(self, now: float, table: LeaseTable) -> AppendRecord | None:
        """Return the append that requests or renews the lease, if due."""
        self._drop_expired_requests(now)
        if now < self._next_request_at:
            return None
        held = self.current_lease(now)
        if held:
            if now < held.expires_at - HELD_TERM_S + RENEW_AFTER_S:
                return None
            record = RenewLease(
                self.lease, self._new_request_id(now), held.fence
            )
            return _append_record(record)
        if not self._may_take(now, table):
            return None
        return _append_record(TakeLease(self.lease, self._new_request_id(now)))

    def apply_grants(self, grants: Iterable[LeaseGrant]) -> None:
        """Apply the grants that were read from the stream.

        The local term starts when the request was made, since the log can't
        have granted it earlier.
        """
        for grant in grants:
            requested_at = self._requested_at.pop(grant.request_id, None)
            if requested_at is not None:
                self._lease = HeldLease(grant.fence, requested_at + HELD_TERM_S)

    def release(self, now: float) -> AppendRecord | None:
        """Return the append that releases the lease, if it is held."""
        held = self.current_lease(now)
        self._lease = None
        self._requested_at.clear()
        if held is None:
            return None
        return _append_record(ReleaseLease(self.lease, held.fence))

    def _may_take(self, now: float, table: LeaseTable) -> bool:
        """Return whether to request the lease.

        A random delay keeps candidates from requesting it all at once.
        """
        if not table.is_free(self.lease, now):
            self._take_at = None
            return False
        if self._take_at is None:
            self._take_at = now + self._rng.uniform(0, MAX_TAKE_DELAY_S)
        return now >= self._take_at

    def _new_request_id(self, now: float) -> str:
        self._count += 1
        self._next_request_at = now + RETRY_DELAY_S
        request_id = f'{self._run_id}:{self._count}'
        self._requested_at[request_id] = now
        return request_id

    def _drop_expired_requests(self, now: float) -> None:
        """Drop requests whose grant would have expired by now."""
        self._requested_at = {
            request_id: requested_at
            for request_id, requested_at in self._requested_at.items()
            if now < requested_at + LEASE_TERM_S
        }


def _append_record(record: LeaseRecord) -> AppendRecord:
    return AppendRecord(LEASE_STREAM, encode_lease_record(record))
