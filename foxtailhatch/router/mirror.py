"""What this entry knows of the log, kept for the entries that it feeds."""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from foxtailhatch.router.keyed_log import KeyedRecord, Topic

# Records kept of each topic; who is further behind gets the newest of each
# key.  Source: some ten seconds of heartbeats of a hundred endpoints.
RECORDS_KEPT = 1000


@dataclass(slots=True)
class TopicMirror:
    """The newest value of each key, and the last records in their order."""

    newest: dict[str, bytes] = field(default_factory=dict)
    recent: deque[KeyedRecord] = field(default_factory=deque)
    next_offset: int | None = None
    confirmed_at: float | None = None

    def reset(
        self,
        records: Iterable[KeyedRecord],
        next_offset: int,
    ) -> None:
        """Begin anew with the newest records of all keys."""
        self.newest = {
            one.key: one.value for one in records if one.value is not None
        }
        self.recent.clear()
        self.next_offset = next_offset

    def append(
        self,
        records: Iterable[KeyedRecord],
        next_offset: int,
    ) -> None:
        """Take the records that come next."""
        for record in records:
            self.recent.append(record)
            if record.value is None:
                self.newest.pop(record.key, None)
            else:
                self.newest[record.key] = record.value
        while len(self.recent) > RECORDS_KEPT:
            self.recent.popleft()
        self.next_offset = next_offset

    def since(self, offset: int | None) -> tuple[list[KeyedRecord], bool]:
        """Return what a reader at ``offset`` lacks.

        The flag tells that it is the newest record of each key instead.
        """
        end = self.next_offset or 0
        first = end - len(self.recent)
        if offset is None or not first <= offset <= end:
            newest = self.newest.items()
            return [KeyedRecord(*pair) for pair in newest], True
        return list(self.recent)[offset - first :], False


class Mirror:
    """The mirrors of all topics, and a signal for urgent news.

    ``is_from_store`` tells that they are filled from the store itself.
    """

    def __init__(self) -> None:
        """Start without any knowledge."""
        self.is_from_store = True
        self.topics = {topic: TopicMirror() for topic in Topic}
        self._changed = asyncio.Event()

    def signal(self) -> None:
        """Wake those that wait for urgent news."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, seconds: float) -> None:
        """Wait for urgent news, or for a time."""
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), seconds)
        except TimeoutError:
            return
