"""Follow a topic of the log: its newest records first, then what comes."""

from collections.abc import Callable, Iterable

from returns.result import Success

from foxtailhatch.relay.decision_log import DecisionLog
from foxtailhatch.router.keyed_log import (
    KeyedLog,
    KeyedRecord,
    StoreFault,
    Topic,
)

OnRecords = Callable[[Iterable[KeyedRecord], bool], None]


class Follower:
    """Apply the records of one topic in their order.

    ``on_records`` gets the records and whether they are all newest ones, in
    which case a key that is missing is gone.  ``confirmed_at`` is when the
    last successful read was sent: all that was written before is known.
    """

    def __init__(
        self,
        store: KeyedLog,
        topic: Topic,
        on_records: OnRecords,
        log: DecisionLog,
        clock: Callable[[], float],
        wait_s: float = 0,
    ) -> None:
        """Start without any knowledge."""
        self.confirmed_at: float | None = None
        self.failed_at: float | None = None
        self._store = store
        self._topic = topic
        self._on_records = on_records
        self._log = log
        self._clock = clock
        self._wait_s = wait_s
        self._offset: int | None = None
        self.is_lost = False

    async def step(self) -> bool:
        """Read once and apply; return whether the store answered."""
        sent_at = self._clock()
        offset = self._offset
        if offset is None:
            page = await self._store.newest(self._topic)
        else:
            page = await self._store.read(self._topic, offset, self._wait_s)
        if not isinstance(page, Success):
            self._failed(page.failure())
            return False
        found = page.unwrap()
        self._offset = found.next_offset
        self._regained()
        if found.records or offset is None:
            self._on_records(found.records, offset is None)
        self.confirmed_at = sent_at
        return True

    def _failed(self, fault: StoreFault) -> None:
        self.failed_at = self._clock()
        if fault is StoreFault.HISTORY_GONE:
            self._offset = None
        if not self.is_lost:
            self.is_lost = True
            self._log.write(
                'store_lost',
                topic=self._topic.value,
                fault=fault.value,
                confirmed_at=self.confirmed_at,
            )

    def _regained(self) -> None:
        if self.is_lost:
            self.is_lost = False
            self._log.write(
                'store_regained',
                topic=self._topic.value,
                offset=self._offset,
            )
