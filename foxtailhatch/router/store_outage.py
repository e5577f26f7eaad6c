"""How long an endpoint may be used whose record has gone from the store.

Endpoints renew their records, which expire while the store is away.  After its
return a missing record may be such a lapse, or that of an endpoint that leaves.
An endpoint that lives writes its record again in ``LAPSE_GRACE_S``.  One whose
record was deleted when the store had settled must not get work for longer than
the operators allow.
"""

from dataclasses import dataclass

from foxtailhatch.router.settings import Bounds

# Endpoints have written their records again this long after the store's return.
LAPSE_GRACE_S = 2.0
# Time until such a record is read: the pause between two reads of the list.
READ_DELAY_S = 0.6
# Longest time between two checks for endpoints whose time is over.
CHECK_PERIOD_S = 1.0
NEVER = float('-inf')


@dataclass(slots=True)
class StoreOutage:
    """The last outage of the store, as the reads of this entry show it.

    ``failed_at`` is when the last read that failed was sent: the outage had
    not ended before.  When its timeout was over says nothing about the store.
    ``returned_at`` is when the first read after it was answered.
    """

    bounds: Bounds
    failed_at: float | None = None
    returned_at: float | None = None
    epoch: int | None = None

    def record_failure(self, sent_at: float) -> None:
        """Record that a read failed that was sent at ``sent_at``."""
        if self.failed_at is None or sent_at > self.failed_at:
            self.failed_at = sent_at
            self.returned_at = None

    def record_success(self, sent_at: float, now: float) -> None:
        """Record that a read was answered."""
        if self.failed_at is None or sent_at < self.failed_at:
            return
        if self.returned_at is None:
            self.returned_at = now

    def record_epoch(self, epoch: int, now: float) -> None:
        """Record the epoch of the store; a new one is the end of an outage."""
        if self.epoch is not None and epoch > self.epoch:
            self.failed_at = now
            self.returned_at = now
        self.epoch = max(epoch, self.epoch or 0)

    def lapses_until(self, now: float) -> float:
        """Return until when an endpoint whose record is missing may be used.

        The grace of a lapse counts toward the bound on endpoints that leave:
        a record that was deleted after the store had settled, ``settling_s``
        after ``failed_at`` at the earliest, has expired ``leaving_s`` later.
        """
        if self.failed_at is None:
            return NEVER
        settled_at = self.failed_at + self.bounds.settling_s
        latest = settled_at + self.bounds.leaving_s - CHECK_PERIOD_S
        returned_at = now if self.returned_at is None else self.returned_at
        return min(returned_at + LAPSE_GRACE_S + READ_DELAY_S, latest)
