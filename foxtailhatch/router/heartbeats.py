"""Heartbeats of the entries that read the store, for those they feed."""

from collections.abc import Callable

from returns.result import Success

from foxtailhatch.fleet import Work
from foxtailhatch.fleet.estimate import WorkByEndpoint
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.entry_table import EntryRecord, Heartbeat
from foxtailhatch.router.keyed_log import Topic
from foxtailhatch.router.router_state import RouterState
from foxtailhatch.router.work_totals import WorkTotals, sum_work

# Who has not asked for this time is listed no more.  Source: two waits of a
# feed, and one call.
FED_ENTRY_TIMEOUT_S = 1.6
# A list is written at least this often, and at once when it has changed.
HEARTBEAT_S = 1.5


class Heartbeats:
    """Know who is fed, and write the list while this entry reads."""

    def __init__(
        self,
        board: RouterState,
        adapter: PlatformAdapter,
        log: StructuredLog,
        own: Callable[[], EntryRecord],
    ) -> None:
        """Start with nobody fed and nothing written."""
        self.totals = WorkTotals()
        self._board = board
        self._adapter = adapter
        self._log = log
        self._own = own
        self._fed: dict[str, tuple[EntryRecord, float]] = {}
        self._written: list[EntryRecord] = []
        self._written_at = float('-inf')

    def record_feed_request(
        self, entry: EntryRecord, work: WorkByEndpoint, now: float
    ) -> None:
        """Note that an entry has asked for news, and its work."""
        self._fed[entry.name] = (entry, now)
        self.totals.tell(entry.name, work, now)

    def listed(self, now: float) -> list[EntryRecord]:
        """Return this entry and those that it feeds."""
        self._fed = {
            name: (entry, asked_at)
            for name, (entry, asked_at) in self._fed.items()
            if now - asked_at <= FED_ENTRY_TIMEOUT_S
        }
        fed = [entry for entry, _ in self._fed.values()]
        return [self._own(), *sorted(fed, key=lambda entry: entry.name)]

    def work_of_others(self, entry: str, now: float) -> dict[str, Work]:
        """Return the work of all entries but one, of other zones as well."""
        own_name = self._board.cfg.instance
        parts = [
            self.totals.of_others(entry, now),
            self._board.entries.work_of_other_readers(own_name, now),
        ]
        if entry != own_name:
            parts.append(self._board.loads.in_progress())
        return sum_work(parts)

    async def step(self, *, reads_store: bool) -> None:
        """Write the list if it has changed or is due."""
        now = self._board.clock()
        entries = self.listed(now)
        is_due = now - self._written_at >= HEARTBEAT_S
        if not reads_store and len(entries) == 1:
            return
        if is_due or entries != self._written:
            await self.write(entries, now)

    async def write(self, entries: list[EntryRecord], now: float) -> None:
        """Write a list to the log, and take it as heard."""
        self._written = entries
        self._written_at = now
        name = self._board.cfg.instance
        told = self.totals.of_others(name, now)
        work = sum_work((self._board.loads.in_progress(), told))
        heartbeat = Heartbeat(entries, work)
        self._board.entries.record_heartbeat(name, heartbeat, now)
        written = await self._adapter.store.put(
            Topic.ENTRIES,
            name,
            heartbeat.encode(),
        )
        if not isinstance(written, Success):
            self._log.write('heartbeat_failed', fault=written.failure().value)
