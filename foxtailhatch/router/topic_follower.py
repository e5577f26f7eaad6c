"""Follow a topic of the log: first a snapshot, then the records after it."""

from collections.abc import Callable, Iterable

from returns.result import Success

from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.feed import TopicUpdate
from foxtailhatch.router.keyed_log import (
    KeyedLog,
    KeyedRecord,
    StoreFault,
    Topic,
)
from foxtailhatch.router.mirror import TopicMirror

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
    """

    def __init__(
        self,
        store: KeyedLog,
        topic: Topic,
        mirror: TopicMirror,
        on_records: OnRecords,
        log: StructuredLog,
        clock: Callable[[], float],
    ) -> None:
        """Start without an offset, so that a snapshot is read first."""
        self.failed_at: float | None = None
        self.is_lost = False
        self._failures = 0
        self._store = store
        self._topic = topic
        self._mirror = mirror
        self._on_records = on_records
        self._log = log
        self._clock = clock
        self._offset: int | None = None
        self._epoch = 0
        self._is_ignoring = False

    @property
    def confirmed_at(self) -> float | None:
        """Return the time up to which all records are known."""
        return self._mirror.confirmed_at

    @property
    def offset(self) -> int | None:
        """Return the offset of the next record, or ``None`` at the start."""
        return self._offset

    @property
    def epoch(self) -> int:
        """Return the epoch of the store at the last read."""
        return self._epoch

    async def step(self, wait_s: float = 0) -> bool:
        """Read the store once; return whether there were new records."""
        sent_at = self._clock()
        offset = self._offset
        if offset is None:
            read = await self._store.read_latest(self._topic)
        else:
            read = await self._store.read(self._topic, offset, wait_s)
        if not isinstance(read, Success):
            self._read_failed(read.failure())
            return False
        page = read.unwrap()
        if self._offset != offset:
            # A peer's update was applied during the read, so the page may
            # be older than what is known now.
            return False
        self._read_succeeded()
        self._epoch = page.epoch
        self._apply(page.records, page.next_offset, offset is None)
        self._confirm(sent_at)
        return bool(page.records)

    def apply_update(self, update: TopicUpdate, sent_at: float) -> None:
        """Apply a peer's response to a request that was sent at ``sent_at``.

        A peer without data, or one that is behind this entry, changes nothing.
        """
        if update.age_s is None or update.next_offset is None:
            return
        is_behind = self._offset is not None and (
            update.next_offset < self._offset
        )
        if is_behind:
            self._log_ignored(update)
            return
        self._is_ignoring = False
        self._apply(update.records, update.next_offset, update.is_snapshot)
        self._confirm(sent_at - update.age_s)

    def _apply(
        self,
        records: tuple[KeyedRecord, ...],
        next_offset: int,
        is_snapshot: bool,  # noqa: FBT001
    ) -> None:
        before = self._offset
        self._offset = next_offset
        if is_snapshot:
            self._log.write(
                'snapshot',
                topic=self._topic.value,
                offset=next_offset,
                before=before,
                epoch=self._epoch,
                records=len(records),
            )
            self._mirror.reset(records, next_offset)
        else:
            self._mirror.append(records, next_offset)
        if records or is_snapshot:
            self._on_records(records, is_snapshot)

    def _log_ignored(self, update: TopicUpdate) -> None:
        """Write a line for the first of several updates that are ignored."""
        if not self._is_ignoring:
            self._is_ignoring = True
            self._log.write(
                'update_ignored',
                topic=self._topic.value,
                offset=self._offset,
                peer_offset=update.next_offset,
                age_s=update.age_s,
            )

    def _confirm(self, confirmed_at: float) -> None:
        known = self._mirror.confirmed_at
        if known is None or confirmed_at > known:
            self._mirror.confirmed_at = confirmed_at

    def _read_failed(self, fault: StoreFault) -> None:
        self.failed_at = self._clock()
        if fault is StoreFault.HISTORY_GONE:
            # The store is reachable: continue with a snapshot.
            self._read_succeeded()
            self._offset = None
            self._log.write('history_gone', topic=self._topic.value)
            return
        self._failures += 1
        if self._failures < FAILURES_MIN:
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

    def _read_succeeded(self) -> None:
        self._failures = 0
        if self.is_lost:
            self.is_lost = False
            self._log.write(
                'store_regained',
                topic=self._topic.value,
                offset=self._offset,
            )
