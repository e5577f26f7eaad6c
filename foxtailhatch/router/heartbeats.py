"""Heartbeats that readers of the store write for the entries they feed."""

from collections.abc import Callable

from returns.result import Success

from foxtailhatch.fleet import Work
from foxtailhatch.fleet.estimate import WorkByEndpoint
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.adapter import PlatformAdapter
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.demand_totals import DemandTotals, encoded_sums
from foxtailhatch.router.entry_table import EntryRecord, Heartbeat
from foxtailhatch.router.keyed_log import Topic
from foxtailhatch.router.work_totals import WorkTotals, sum_work

# Entries that have sent no feed request for this time are dropped from the
# list.  It covers the waits of two feed requests and one call.
FED_ENTRY_TIMEOUT_S = 1.6
# The list is written at least this often, and at once after a change.
HEARTBEAT_S = 1.5


class Heartbeats:
    """Track the entries that are fed, and write heartbeats that list them."""

    def __init__(
        self,
        board: Blackboard,
        adapter: PlatformAdapter,
        log: StructuredLog,
        own: Callable[[], EntryRecord],
    ) -> None:
        """Start with no fed entry; ``own`` describes this entry."""
        self.totals = WorkTotals()
        self.demand = DemandTotals(board, log)
        self._board = board
        self._adapter = adapter
        self._log = log
        self._own = own
        self._fed: dict[str, tuple[EntryRecord, float]] = {}
        self._written: list[EntryRecord] = []
        self._written_at = float('-inf')

    def record_feed_request(
        self,
        entry: EntryRecord,
        work: WorkByEndpoint,
        now: float,
        demand: bytes | None = None,
    ) -> None:
        """Record that an entry requested the feed, its work and demand."""
        self._fed[entry.name] = (entry, now)
        self.totals.report(entry.name, work, now)
        self.demand.record_report(entry, demand, now)

    def current_entries(self, now: float) -> list[EntryRecord]:
        """Return this entry and those that it feeds."""
        self._fed = {
            name: (entry, requested_at)
            for name, (entry, requested_at) in self._fed.items()
            if now - requested_at <= FED_ENTRY_TIMEOUT_S
        }
        fed = [entry for entry, _ in self._fed.values()]
        return [self._own(), *sorted(fed, key=lambda entry: entry.name)]

    def work_of_others(self, entry: str, now: float) -> dict[str, Work]:
        """Return the work of all entries of all zones except ``entry``."""
        own_name = self._board.cfg.instance
        parts = [
            self.totals.excluding(entry, now),
            self._board.entries.work_of_other_readers(own_name, now),
        ]
        if entry != own_name:
            parts.append(self._board.own_work())
        return sum_work(parts)

    async def step(self, *, reads_store: bool) -> None:
        """Write the list if it has changed or is due.

        An entry that neither reads the store nor feeds others writes none.
        One that reads the store knows the demand of others by itself.
        """
        now = self._board.clock()
        if reads_store:
            # Sums are as old as the heartbeats that they are made of.
            confirmed_at = self._board.entries_confirmed_at
            as_of = now if confirmed_at is None else min(now, confirmed_at)
            self._board.update_demand(self.demand.of_others(now), as_of)
        entries = self.current_entries(now)
        is_due = now - self._written_at >= HEARTBEAT_S
        if not reads_store and len(entries) == 1:
            return
        if is_due or entries != self._written:
            await self.write(entries, now)

    async def write(self, entries: list[EntryRecord], now: float) -> None:
        """Record a heartbeat locally, and write it to the log."""
        self._written = entries
        self._written_at = now
        name = self._board.cfg.instance
        work_of_fed = self.totals.excluding(name, now)
        work = sum_work((self._board.own_work(), work_of_fed))
        demand = encoded_sums(self.demand.of_fed(now))
        heartbeat = Heartbeat(entries, work, demand)
        self._board.entries.record_heartbeat(name, heartbeat, now)
        written = await self._adapter.store.put(
            Topic.ENTRIES,
            name,
            heartbeat.encode(),
        )
        if not isinstance(written, Success):
            self._log.write('heartbeat_failed', fault=written.failure().value)
