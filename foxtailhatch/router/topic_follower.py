"""Follow a topic of the log: first a snapshot, then the records after it."""

from collections.abc import Callable, Iterable

from returns.result import Success

from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.feed import TopicUpdate
from foxtailhatch.router.keyed_log import (
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    LogPosition,
    StoreFault,
    Topic,
)
from foxtailhatch.router.mirror import TopicMirror
from foxtailhatch.router.store_outage import StoreOutage

# Consecutive failed reads after which the store counts as unreachable.
FAILURES_MIN = 2

OnRecords = Callable[[Iterable[KeyedRecord], bool], None]


class TopicFollower:
    """Apply the records of one topic in log order.

    ``on_records`` is called with the records and whether they are a snapshot,
    in which case keys that are missing have been deleted.  The records are
    also kept in ``mirror`` for other entries; its ``confirmed_at`` is the time
    at which the last successful read was sent, so everything written before it
    is known.

    A store that returns from an older copy is in a new epoch.  Its offsets say
    nothing about those known so far, so a snapshot is read, and data of an
    earlier epoch are ignored from then on.  ``restored_at`` is the time at
    which the last new epoch was noticed, and ``failures`` counts the reads that
    failed since the last one that succeeded.
    """

    def __init__(
        self,
        store: KeyedLog,
        topic: Topic,
        mirror: TopicMirror,
        on_records: OnRecords,
        log: StructuredLog,
        outage: StoreOutage,
        clock: Callable[[], float],
    ) -> None:
        """Start without a position, so that a snapshot is read first."""
        self.restored_at: float | None = None
        self.is_lost = False
        self.failures = 0
        self._store = store
        self._topic = topic
        self._mirror = mirror
        self._on_records = on_records
        self._log = log
        self._outage = outage
        self._clock = clock
        self._position: LogPosition | None = None
        self._needs_snapshot = True
        self._is_ignoring = False

    @property
    def confirmed_at(self) -> float | None:
        """Return the time up to which all records are known."""
        return self._mirror.confirmed_at

    @property
    def position(self) -> LogPosition | None:
        """Return the position of the next record, or ``None`` at the start."""
        return self._position

    @property
    def is_snapshot_due(self) -> bool:
        """Return whether the records at the position are gone."""
        return self._needs_snapshot and self._position is not None

    async def step(self, wait_s: float = 0) -> bool:
        """Read the store up to its end; return whether there were new records.

        A page is not the end if more records had been written than it holds.
        What is known by then is applied, but not confirmed: a later record may
        withdraw it.
        """
        has_records = False
        page = await self._read_page(wait_s)
        while page is not None and page.records:
            has_records = True
            if page.is_complete:
                break
            page = await self._read_page(wait_s=0)
        return has_records

    async def _read_page(self, wait_s: float) -> KeyedPage | None:
        """Read and apply a page; return ``None`` if none could be applied."""
        sent_at = self._clock()
        position = self._position
        is_snapshot = self._needs_snapshot or position is None
        if position is None or is_snapshot:
            read = await self._store.read_latest(self._topic)
        else:
            read = await self._store.read(self._topic, position.offset, wait_s)
        if not isinstance(read, Success):
            self._read_failed(read.failure(), sent_at)
            return None
        page: KeyedPage = read.unwrap()
        if self._position != position:
            # A peer's update was applied during the read, so the page may
            # be older than what is known now.
            return None
        self._read_succeeded(sent_at)
        if not is_snapshot and not self._continues(page):
            self._needs_snapshot = True
            return None
        self._apply(page.records, page.end, is_snapshot)
        if page.is_complete:
            self._confirm(sent_at)
        return page

    def apply_update(self, update: TopicUpdate, sent_at: float) -> None:
        """Apply a peer's response to a request that was sent at ``sent_at``.

        A peer without data, or one that is behind this entry, changes nothing.
        """
        if update.age_s is None or update.end is None:
            return
        if self._position is not None and update.end < self._position:
            self._log_ignored(update)
            return
        self._is_ignoring = False
        # The store has answered a read of the peer.  An entry that is fed reads it
        # no more, and would take any later removal for a lapse.
        confirmed_at = sent_at - update.age_s
        self._outage.record_fed(confirmed_at, self._clock())
        self._apply(update.records, update.end, update.is_snapshot)
        self._confirm(confirmed_at)

    def _continues(self, page: KeyedPage) -> bool:
        """Return whether a page is of the epoch that its offset was taken from.

        In another epoch other records may have been written at the offset, and
        others before it that this entry has not seen.
        """
        known = self._position
        return known is not None and page.end.epoch == known.epoch

    def _apply(
        self,
        records: tuple[KeyedRecord, ...],
        end: LogPosition,
        is_snapshot: bool,  # noqa: FBT001
    ) -> None:
        before = self._position
        self._position = end
        self._outage.record_epoch(end.epoch, self._clock())
        if before is not None and end.epoch != before.epoch:
            self.restored_at = self._clock()
        if is_snapshot:
            self._needs_snapshot = False
            self._log_snapshot(before, end, len(records))
            self._mirror.reset(records, end)
        else:
            self._mirror.append(records, end)
        if records or is_snapshot:
            self._on_records(records, is_snapshot)

    def _log_snapshot(
        self, before: LogPosition | None, end: LogPosition, count: int
    ) -> None:
        self._log.write(
            'snapshot',
            topic=self._topic.value,
            offset=end.offset,
            epoch=end.epoch,
            before=None if before is None else before.offset,
            epoch_before=None if before is None else before.epoch,
            records=count,
        )

    def _log_ignored(self, update: TopicUpdate) -> None:
        """Write a line for the first of several updates that are ignored."""
        if not self._is_ignoring:
            self._is_ignoring = True
            self._log.write(
                'update_ignored',
                topic=self._topic.value,
                position=self._position,
                peer_position=update.end,
                age_s=update.age_s,
            )

    def _confirm(self, confirmed_at: float) -> None:
        known = self._mirror.confirmed_at
        if known is None or confirmed_at > known:
            self._mirror.confirmed_at = confirmed_at

    def _read_failed(self, fault: StoreFault, sent_at: float) -> None:
        if fault is StoreFault.HISTORY_GONE:
            # The store is reachable: continue with a snapshot.
            self._read_succeeded(sent_at)
            self._needs_snapshot = True
            self._log.write('history_gone', topic=self._topic.value)
            return
        self._outage.record_failure(sent_at)
        self.failures += 1
        if self.failures < FAILURES_MIN:
            # A healthy store may break off a long-polling read.
            self._log.write(
                'read_failed',
                topic=self._topic.value,
                fault=fault.value,
            )
        elif not self.is_lost:
            self.is_lost = True
            self._log.write(
                'store_lost',
                topic=self._topic.value,
                fault=fault.value,
                confirmed_at=self.confirmed_at,
            )

    def _read_succeeded(self, sent_at: float) -> None:
        self._outage.record_success(sent_at, self._clock())
        self.failures = 0
        if self.is_lost:
            self.is_lost = False
            self._log.write(
                'store_regained',
                topic=self._topic.value,
                position=self._position,
            )
