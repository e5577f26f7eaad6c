"""Table of entries, and the entry addresses recommended to callers.

The table is eventually consistent: it is filled from gossip and may be wrong.
It only decides which addresses are recommended to callers and which peers an
entry gossips with.  An entry wrongly considered dead continues to serve, and
no safety property depends on this table.
"""

from dataclasses import replace

from foxtailhatch.callers import EntryRecommendation
from foxtailhatch.core import Mark
from foxtailhatch.membership.entry import Entry, EntryState, Liveness
from foxtailhatch.membership.entry_record import (
    EntryChange,
    EntryRecord,
    MergeOutcome,
)
from foxtailhatch.membership.ranking import rank, spread_over_zones

ADVICE_TTL_S = 30.0
ADDRESSES_MAX = 4


class EntryTable:
    """Track entries from their announcements and from suspicions of peers."""

    def __init__(self, own: Entry, advice_ttl_s: float = ADVICE_TTL_S) -> None:
        """Create a table that holds the local entry ``own`` only."""
        self._own = own
        self._advice_ttl_s = advice_ttl_s
        self._alive: dict[str, EntryRecord] = {}
        self._suspect_or_dead: dict[str, EntryRecord] = {}
        self._excluded: set[str] = set()
        self._rotation = 0

    @property
    def own(self) -> Entry:
        """Latest record of the local entry."""
        return self._own

    def update_own(
        self,
        *,
        load: float | None = None,
        state: EntryState | None = None,
        configuration_version: int | None = None,
        failed_requests: tuple[str, ...] | None = None,
    ) -> Entry:
        """Update the local entry, raise its heartbeat, and return it."""
        own = self._own
        version = configuration_version
        self._own = replace(
            own,
            heartbeat=own.heartbeat + 1,
            load=own.load if load is None else load,
            state=own.state if state is None else state,
            configuration_version=(
                own.configuration_version if version is None else version
            ),
            failed_requests=(
                own.failed_requests
                if failed_requests is None
                else failed_requests
            ),
        )
        return self._own

    def has_failed(self, request: str) -> bool:
        """Return whether an entry lost several endpoints under a request."""
        return any(
            request in entry.failed_requests
            for entry in (self._own, *self.peers())
        )

    def refute(self, incarnation: int) -> bool:
        """Refute a claim that the local entry's ``incarnation`` is dead.

        Raise the local incarnation above the claimed one; return false if it
        is higher already.
        """
        if incarnation < self._own.incarnation:
            return False
        self._own = replace(self._own, incarnation=incarnation + 1)
        return True

    def merge(self, entry: Entry, now: float) -> MergeOutcome:
        """Merge a received record of an entry.

        Only a higher incarnation revives a suspected or dead entry: newer
        heartbeats of the same incarnation may have been sent before it died.
        """
        if entry.name == self._own.name:
            return self._merge_own(entry)
        known = self.record(entry.name)
        if known is None:
            self._put(EntryRecord(entry, updated_at=now, since=now))
            return MergeOutcome.CHANGED
        if not entry.is_newer_than(known.entry):
            return MergeOutcome.STALE
        if entry.incarnation > known.entry.incarnation:
            self._put(EntryRecord(entry, updated_at=now, since=now))
        else:
            self._put(replace(known, entry=entry, updated_at=now))
        is_same = entry.equals_in_announced_fields(known.entry)
        return MergeOutcome.REFRESHED if is_same else MergeOutcome.CHANGED

    def suspect(self, name: str, incarnation: int, now: float) -> bool:
        """Mark a live entry as suspect; return whether this changed it."""
        record = self._alive.get(name)
        if record is None or incarnation < record.entry.incarnation:
            return False
        self._put(replace(record, liveness=Liveness.SUSPECT, since=now))
        return True

    def expire(self, now: float) -> tuple[EntryChange, ...]:
        """Declare timed-out suspects dead, and remove old dead entries.

        Return the entries that were declared dead.
        """
        records = tuple(self._suspect_or_dead.items())
        declared_dead = tuple(
            EntryChange(name, Liveness.DEAD)
            for name, record in records
            if record.is_suspicion_over(now)
        )
        self._suspect_or_dead = {
            name: record.declared_dead(now)
            if record.is_suspicion_over(now)
            else record
            for name, record in records
            if not record.is_removable(now)
        }
        return declared_dead

    def apply_mark(self, instance: str, mark: Mark) -> None:
        """Apply a mark of the log: ``join`` includes, all others exclude."""
        if mark is Mark.JOIN:
            self._excluded.discard(instance)
        else:
            self._excluded.add(instance)

    def _merge_own(self, entry: Entry) -> MergeOutcome:
        if not entry.is_newer_than(self._own):
            return MergeOutcome.STALE
        self.refute(entry.incarnation)
        return MergeOutcome.CHANGED

    def record(self, name: str) -> EntryRecord | None:
        """Return the record of another entry, ``None`` if it is unknown."""
        return self._alive.get(name) or self._suspect_or_dead.get(name)

    def count(self) -> int:
        """Return the number of live entries, the local one included."""
        return len(self._alive) + 1

    def peers(self) -> tuple[Entry, ...]:
        """Return the other entries that are considered alive."""
        return tuple(record.entry for record in self._alive.values())

    def dead(self) -> tuple[Entry, ...]:
        """Return the dead entries that are still retained."""
        return tuple(
            record.entry
            for record in self._suspect_or_dead.values()
            if record.liveness is Liveness.DEAD
        )

    def members(self) -> tuple[Entry, ...]:
        """Return the local entry and the live peers."""
        return (self._own, *self.peers())

    def advise(
        self,
        availability_zone: str | None,
        now: float,
    ) -> EntryRecommendation:
        """Return the entry addresses recommended to a caller, best first.

        Suspects come after all live entries.  Entries that are leaving,
        stopping or excluded by a mark are never recommended.
        """
        self._rotation += 1
        alive = self._advisable(self.members())
        suspects = self._advisable(self._suspects(now))
        ranked = [
            *rank(alive, availability_zone, self._rotation),
            *rank(suspects, availability_zone, self._rotation),
        ]
        chosen = spread_over_zones(ranked, ADDRESSES_MAX)
        addresses = tuple(str(entry.caller_address) for entry in chosen)
        return EntryRecommendation(addresses, self._advice_ttl_s)

    def _put(self, record: EntryRecord) -> None:
        name = record.entry.name
        self._alive.pop(name, None)
        self._suspect_or_dead.pop(name, None)
        is_alive = record.liveness is Liveness.ALIVE
        records = self._alive if is_alive else self._suspect_or_dead
        records[name] = record

    def _suspects(self, now: float) -> tuple[Entry, ...]:
        return tuple(
            record.entry
            for record in self._suspect_or_dead.values()
            if record.liveness is Liveness.SUSPECT
            and not record.is_suspicion_over(now)
        )

    def _advisable(self, entries: tuple[Entry, ...]) -> list[Entry]:
        return [
            entry
            for entry in entries
            if entry.state is EntryState.SERVING
            and entry.name not in self._excluded
        ]
