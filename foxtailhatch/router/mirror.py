"""Local copy of the log, from which this entry feeds other entries."""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from foxtailhatch.router.keyed_log import KeyedRecord, LogPosition, Topic

# Records retained of each topic, and their size.  A reader that is further
# behind gets a snapshot.  The number covers some ten seconds of heartbeats of
# a hundred endpoints.
RETAINED_RECORDS = 1000
RETAINED_BYTES = 1_048_576


@dataclass(slots=True)
class TopicMirror:
    """The latest value of each key, and the last records in log order.

    ``confirmed_at`` is the time as of which the copy is known to be complete,
    and ``recent_bytes`` the size of the last records.
    """

    latest: dict[str, bytes] = field(default_factory=dict)
    recent: deque[KeyedRecord] = field(default_factory=deque)
    recent_bytes: int = 0
    end: LogPosition | None = None
    confirmed_at: float | None = None

    def reset(
        self,
        records: Iterable[KeyedRecord],
        end: LogPosition,
    ) -> None:
        """Replace the copy by a snapshot."""
        self.latest = {
            record.key: record.value
            for record in records
            if record.value is not None
        }
        self.recent.clear()
        self.recent_bytes = 0
        self.end = end

    def append(
        self,
        records: Iterable[KeyedRecord],
        end: LogPosition,
    ) -> None:
        """Append the records that follow in the log."""
        for record in records:
            self.recent.append(record)
            self.recent_bytes += record.size_bytes
            if record.value is None:
                self.latest.pop(record.key, None)
            else:
                self.latest[record.key] = record.value
            self._drop_oldest()
        self.end = end

    def since(
        self, position: LogPosition | None
    ) -> tuple[list[KeyedRecord], bool]:
        """Return the records from a position on, or a snapshot and ``True``.

        A snapshot, the latest record of each key, is returned if the records
        at the position are no longer retained, or are of another epoch.
        """
        missing = self._count_missing(position)
        if missing is None:
            latest = self.latest.items()
            return [KeyedRecord(*pair) for pair in latest], True
        return list(self.recent)[len(self.recent) - missing :], False

    def _drop_oldest(self) -> None:
        """Drop the oldest records while there are too many or too large ones."""
        while (
            len(self.recent) > RETAINED_RECORDS
            or self.recent_bytes > RETAINED_BYTES
        ):
            self.recent_bytes -= self.recent.popleft().size_bytes

    def _count_missing(self, position: LogPosition | None) -> int | None:
        """Return how many of the recent records follow a position."""
        if self.end is None or position is None:
            return None
        missing = self.end.offset - position.offset
        is_retained = 0 <= missing <= len(self.recent)
        is_same_log = position.epoch == self.end.epoch
        return missing if is_retained and is_same_log else None


class Mirror:
    """The copies of all topics, and an event for those who are fed from them.

    ``is_from_store`` is true while they are filled from the store itself
    rather than from another entry.
    """

    def __init__(self) -> None:
        """Start with empty copies."""
        self.is_from_store = True
        self.topics = {topic: TopicMirror() for topic in Topic}
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks: there are urgent records, or the copy is new.

        Telling the fed entries at once that a copy is complete up to now keeps
        the time between two reads out of the age of their data.
        """
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next notice, at most ``timeout_s`` seconds."""
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_s)
        except TimeoutError:
            return
