"""The table of entries, and the advice it gives to callers.

What stands here is hearsay.  It decides which addresses callers are advised
to use and whom an entry talks to, and nothing else: an entry wrongly thought
dead goes on serving, and no rule of safety reads this table.
"""

from dataclasses import replace

from foxtailhatch.callers import EntryAdvice
from foxtailhatch.core import Mark
from foxtailhatch.membership.advice import rank, spread_over_zones
from foxtailhatch.membership.entry import Entry, EntryState, Liveness
from foxtailhatch.membership.entry_record import (
    EntryChange,
    EntryRecord,
    MergeOutcome,
)

ADVICE_KEEP_S = 30.0
ADDRESSES_MAX = 4


class EntryTable:
    """Know the entries by their own accounts and by others' suspicions."""

    def __init__(
        self, own: Entry, advice_keep_s: float = ADVICE_KEEP_S
    ) -> None:
        """Start with this instance alone."""
        self._own = own
        self._advice_keep_s = advice_keep_s
        self._alive: dict[str, EntryRecord] = {}
        self._doubted: dict[str, EntryRecord] = {}
        self._marked_out: set[str] = set()
        self._turn = 0

    @property
    def own(self) -> Entry:
        """This instance's newest account of itself."""
        return self._own

    def update_own(
        self,
        *,
        load: float | None = None,
        state: EntryState | None = None,
        configuration_version: int | None = None,
    ) -> Entry:
        """Change this instance's account of itself and return it."""
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
        )
        return self._own

    def refute(self, incarnation: int) -> bool:
        """Outlive a claim about this instance's ``incarnation``."""
        if incarnation < self._own.incarnation:
            return False
        self._own = replace(self._own, incarnation=incarnation + 1)
        return True

    def merge(self, entry: Entry, now: float) -> MergeOutcome:
        """Take an account of an entry.

        An entry thought dead or suspected comes back by a higher incarnation
        only: later beats of the same one may have been given before it died.
        """
        if entry.name == self._own.name:
            return self._merge_own(entry)
        known = self.record(entry.name)
        if known is None:
            self._put(EntryRecord(entry, heard_at=now, since=now))
            return MergeOutcome.CHANGED
        if not entry.is_newer_than(known.entry):
            return MergeOutcome.OLD
        if entry.incarnation > known.entry.incarnation:
            self._put(EntryRecord(entry, heard_at=now, since=now))
        else:
            self._put(replace(known, entry=entry, heard_at=now))
        is_same = entry.announces_as(known.entry)
        return MergeOutcome.FRESHER if is_same else MergeOutcome.CHANGED

    def suspect(self, name: str, incarnation: int, now: float) -> bool:
        """Take a claim that an entry does not answer; true if it is news."""
        record = self._alive.get(name)
        if record is None or incarnation < record.entry.incarnation:
            return False
        self._put(replace(record, liveness=Liveness.SUSPECT, since=now))
        return True

    def expire(self, now: float) -> tuple[EntryChange, ...]:
        """Bury suspects that did not refute, and forget the long dead."""
        records = tuple(self._doubted.items())
        buried = tuple(
            EntryChange(name, Liveness.DEAD)
            for name, record in records
            if record.is_buried(now)
        )
        self._doubted = {
            name: record.buried(now) if record.is_buried(now) else record
            for name, record in records
            if not record.is_forgettable(now)
        }
        return buried

    def apply_mark(self, instance: str, mark: Mark) -> None:
        """Take a mark of the log: only a ``join`` undoes the others."""
        if mark is Mark.JOIN:
            self._marked_out.discard(instance)
        else:
            self._marked_out.add(instance)

    def _merge_own(self, entry: Entry) -> MergeOutcome:
        if not entry.is_newer_than(self._own):
            return MergeOutcome.OLD
        self.refute(entry.incarnation)
        return MergeOutcome.CHANGED

    def record(self, name: str) -> EntryRecord | None:
        """Return what is known of another entry."""
        return self._alive.get(name) or self._doubted.get(name)

    def count(self) -> int:
        """Return how many entries are thought alive, this one included."""
        return len(self._alive) + 1

    def peers(self) -> tuple[Entry, ...]:
        """Return the other entries that are thought alive."""
        return tuple(record.entry for record in self._alive.values())

    def dead(self) -> tuple[Entry, ...]:
        """Return the entries thought dead, for as long as they are kept."""
        return tuple(
            record.entry
            for record in self._doubted.values()
            if record.liveness is Liveness.DEAD
        )

    def members(self) -> tuple[Entry, ...]:
        """Return this entry and the others that are thought alive."""
        return (self._own, *self.peers())

    def advise(
        self,
        availability_zone: str | None,
        now: float,
    ) -> EntryAdvice:
        """Return the entries a caller should use, best first.

        Suspects are advised only after all others, and entries that leave,
        stop or are marked so never.
        """
        self._turn += 1
        alive = self._advisable(self.members())
        suspects = self._advisable(self._suspects(now))
        ranked = [
            *rank(alive, availability_zone, self._turn),
            *rank(suspects, availability_zone, self._turn),
        ]
        chosen = spread_over_zones(ranked, ADDRESSES_MAX)
        addresses = tuple(str(entry.caller_address) for entry in chosen)
        return EntryAdvice(addresses, self._advice_keep_s)

    def _put(self, record: EntryRecord) -> None:
        name = record.entry.name
        self._alive.pop(name, None)
        self._doubted.pop(name, None)
        is_alive = record.liveness is Liveness.ALIVE
        records = self._alive if is_alive else self._doubted
        records[name] = record

    def _suspects(self, now: float) -> tuple[Entry, ...]:
        return tuple(
            record.entry
            for record in self._doubted.values()
            if record.liveness is Liveness.SUSPECT and not record.is_buried(now)
        )

    def _advisable(self, entries: tuple[Entry, ...]) -> list[Entry]:
        return [
            entry
            for entry in entries
            if entry.state is EntryState.SERVING
            and entry.name not in self._marked_out
        ]
