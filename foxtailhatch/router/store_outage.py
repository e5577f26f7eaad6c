"""How long an endpoint may be used whose record has gone from the store.

Endpoints renew their records, which expire while the store is away.  After its
return a missing record may be such a lapse, or that of an endpoint that leaves.
An endpoint that lives writes its record again in ``LAPSE_GRACE_S``.  One whose
record was deleted when the store had settled must not get work for longer than
the operators allow.

The store may turn away one entry and serve the endpoints, so failed reads of this
entry alone do not explain a missing record.  Entries tell each other what they
have seen of the store (:mod:`.lapse_review`).
"""

from dataclasses import dataclass

from foxtailhatch.router.settings import Bounds

# Endpoints have written their records again this long after the store's return.
LAPSE_GRACE_S = 2.0
# Time until such a record is read: the pause between two reads of the list.
READ_DELAY_S = 0.6
# Longest time between two checks for endpoints whose time is over, and between
# two after which other entries have been asked.
CHECK_PERIOD_S = 1.0
REVIEW_PERIOD_S = 0.2
# Answered reads further apart than this show nothing of the time between them.
MAX_READ_GAP_S = 1.0
NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class OutageView:
    """What an entry knows of the store, in seconds of one clock.

    That entry read the store all the time from ``since`` to ``until``.  ``away_at``
    is when its last read that failed was sent, and ``back_at`` when the next one
    was answered; ``None`` if there is none.
    """

    since: float
    until: float
    away_at: float | None = None
    back_at: float | None = None

    def covers(self, time: float) -> bool:
        """Return whether an outage at ``time`` would be known.

        >>> OutageView(since=10, until=20).covers(15)
        True
        """
        return self.since < time <= self.until


@dataclass(slots=True)
class _Outage:
    """The end of an outage lies between ``failed_at`` and ``returned_at``."""

    failed_at: float
    returned_at: float | None = None

    def record_success(self, sent_at: float, now: float) -> None:
        if sent_at >= self.failed_at and self.returned_at is None:
            self.returned_at = now

    def grace_until(self, now: float, after_failure_s: float) -> float:
        """Return the end of the grace, ``after_failure_s`` at the latest."""
        returned_at = now if self.returned_at is None else self.returned_at
        latest = self.failed_at + after_failure_s
        return min(returned_at + LAPSE_GRACE_S + READ_DELAY_S, latest)


class StoreOutage:
    """The last outage of the store, by the reads of this entry and of others.

    ``failed_at`` is when the last read of this entry was sent that failed, unless
    another entry has explained it; when its timeout was over says nothing about
    the store.  ``returned_at`` is when the first read after it was answered.
    """

    def __init__(self, bounds: Bounds) -> None:
        """Start without an outage."""
        self._bounds = bounds
        # Failed reads of this entry, and an outage that others have seen.
        self._unexplained: _Outage | None = None
        self._shared: _Outage | None = None
        self._epoch: int | None = None
        self._read_since: float | None = None
        self._read_until = NEVER
        self._judged = OutageView(NEVER, NEVER)

    @property
    def failed_at(self) -> float | None:
        """Return when the last unexplained read that failed was sent."""
        outage = self._unexplained
        return None if outage is None else outage.failed_at

    @property
    def returned_at(self) -> float | None:
        """Return when the first read after ``failed_at`` was answered."""
        outage = self._unexplained
        return None if outage is None else outage.returned_at

    def record_failure(self, sent_at: float) -> None:
        """Record that a read failed that was sent at ``sent_at``."""
        if self._judged.covers(sent_at):
            return
        if self.failed_at is None or sent_at > self.failed_at:
            self._unexplained = _Outage(sent_at)

    def record_success(self, sent_at: float, now: float) -> None:
        """Record that a read of this entry was answered."""
        if sent_at - self._read_until > MAX_READ_GAP_S:
            self._read_since = sent_at
        self._read_until = max(sent_at, self._read_until)
        self.record_fed(sent_at, now)

    def record_fed(self, confirmed_at: float, now: float) -> None:
        """Record that a read of an entry that feeds this one was answered."""
        for outage in (self._unexplained, self._shared):
            if outage is not None:
                outage.record_success(confirmed_at, now)

    def record_epoch(self, epoch: int, now: float) -> None:
        """Record the epoch of the store; a new one is the end of an outage."""
        if self._epoch is not None and epoch > self._epoch:
            self._shared = _Outage(now, now)
        self._epoch = max(epoch, self._epoch or 0)

    def view(self) -> OutageView | None:
        """Return what this entry has seen, or ``None`` before its first read."""
        if self._read_since is None:
            return None
        known = filter(None, (self._unexplained, self._shared))
        last = max(known, key=lambda outage: outage.failed_at, default=None)
        if last is None:
            return OutageView(self._read_since, self._read_until)
        return OutageView(
            self._read_since,
            self._read_until,
            last.failed_at,
            last.returned_at,
        )

    def adopt(self, view: OutageView) -> bool:
        """Take over what another entry has seen.

        It explains the failures of this entry in the time that it covers: either
        the store was away for both, or only this entry was turned away.  Return
        whether it explains those that were not explained yet.
        """
        is_explained = self._is_covered(self._unexplained, view)
        if is_explained:
            self._unexplained = None
        if self._is_covered(self._shared, view):
            self._shared = None
        self._judged = view
        self._share(view)
        return is_explained

    def lapses_until(self, now: float) -> float:
        """Return until when an endpoint whose record is missing may be used.

        The grace of a lapse counts toward the bound on endpoints that leave:
        a record that was deleted after the store had settled, ``settling_s``
        after the last failure at the earliest, has expired ``leaving_s`` later.
        """
        return self._grace_until(now, self._whole_s)

    def reviewed_until(self, now: float) -> float:
        """Return the same once the other entries have been asked.

        If none of them has explained the failures, the store may have been sound
        all the time: this entry counts as settled ``settling_s`` after them, and
        the bound on endpoints that leave is then over.
        """
        settled_s = self._bounds.settling_s - REVIEW_PERIOD_S
        return self._grace_until(now, settled_s)

    @property
    def _whole_s(self) -> float:
        bounds = self._bounds
        return bounds.settling_s + bounds.leaving_s - CHECK_PERIOD_S

    def _grace_until(self, now: float, after_failure_s: float) -> float:
        own, shared = self._unexplained, self._shared
        return max(
            NEVER if own is None else own.grace_until(now, after_failure_s),
            NEVER if shared is None else shared.grace_until(now, self._whole_s),
        )

    def _is_covered(self, outage: _Outage | None, view: OutageView) -> bool:
        return outage is not None and view.covers(outage.failed_at)

    def _share(self, view: OutageView) -> None:
        """Keep the outage in a view, unless a later one is known."""
        if view.away_at is None:
            return
        if self._shared is None or view.away_at > self._shared.failed_at:
            self._shared = _Outage(view.away_at, view.back_at)
