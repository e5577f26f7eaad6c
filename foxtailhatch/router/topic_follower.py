"""Follow a topic of the log: its newest records first, then what comes."""

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

# Reads that fail in a row until the store counts as away.
FAILURES_MIN = 2

OnRecords = Callable[[Iterable[KeyedRecord], bool], None]


class TopicFollower:
    """Apply the records of one topic in their order.

    ``on_records`` gets the records and whether they are all newest ones, in
    which case a key that is missing is gone.  The mirror keeps them for other
    entries; its ``confirmed_at`` is when the last successful read was sent,
    so that all that was written before is known.
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
        """Start without any knowledge."""
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

    @property
    def confirmed_at(self) -> float | None:
        """Return the time as of which all is known."""
        return self._mirror.confirmed_at

    @property
    def offset(self) -> int | None:
        """Return the offset of the next record."""
        return self._offset

    async def step(self, wait_s: float = 0) -> bool:
        """Read the store once; return whether there was something new."""
        sent_at = self._clock()
        offset = self._offset
        if offset is None:
            page = await self._store.read_latest(self._topic)
        else:
            page = await self._store.read(self._topic, offset, wait_s)
        if not isinstance(page, Success):
            self._failed(page.failure())
            return False
        found = page.unwrap()
        if self._offset != offset:
            # A peer brought news meanwhile; these may be older.
            return False
        self._regained()
        self._apply(found.records, found.next_offset, offset is None)
        self._confirm(sent_at)
        return bool(found.records)

    def take(self, news: TopicUpdate, sent_at: float) -> None:
        """Apply what a peer answered to a call that was sent then."""
        if news.age_s is None or news.next_offset is None:
            return
        is_behind = self._offset is not None and (
            news.next_offset < self._offset
        )
        if is_behind:
            return
        self._apply(news.records, news.next_offset, news.is_newest)
        self._confirm(sent_at - news.age_s)

    def _apply(
        self,
        records: tuple[KeyedRecord, ...],
        next_offset: int,
        is_newest: bool,  # noqa: FBT001
    ) -> None:
        self._offset = next_offset
        if is_newest:
            self._mirror.reset(records, next_offset)
        else:
            self._mirror.append(records, next_offset)
        if records or is_newest:
            self._on_records(records, is_newest)

    def _confirm(self, moment: float) -> None:
        known = self._mirror.confirmed_at
        if known is None or moment > known:
            self._mirror.confirmed_at = moment

    def _failed(self, fault: StoreFault) -> None:
        self.failed_at = self._clock()
        if fault is StoreFault.HISTORY_GONE:
            # The store answers: read the newest records instead.
            self._regained()
            self._offset = None
            self._log.write('history_gone', topic=self._topic.value)
            return
        self._failures += 1
        if self._failures < FAILURES_MIN:
            # A read that waits for news may be cut by a sound store.
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

    def _regained(self) -> None:
        self._failures = 0
        if self.is_lost:
            self.is_lost = False
            self._log.write(
                'store_regained',
                topic=self._topic.value,
                offset=self._offset,
            )
