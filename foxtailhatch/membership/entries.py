"""The table of entries, and the advice it gives to callers.

What stands here is hearsay.  It decides which addresses callers are advised
to use and whom an entry talks to, and nothing else: an entry wrongly thought
dead goes on serving, and no rule of safety reads this table.
"""

from dataclasses import dataclass, replace

from foxtailhatch.callers import EntryAdvice
from foxtailhatch.core import Mark
from foxtailhatch.membership.advice import rank, spread_over_zones
from foxtailhatch.membership.entry import Entry, EntryState, Liveness

SUSPICION_S = 5.0
DEAD_KEEP_S = 600.0
ADVICE_KEEP_S = 30.0
ADDRESSES_MAX = 4


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """An entry, what is thought of it, and when it was last heard."""

    entry: Entry
    heard_at: float
    liveness: Liveness = Liveness.ALIVE
    since: float = 0

    def is_buried(self, now: float) -> bool:
        """Tell whether it was suspected for so long that it counts as dead."""
        is_suspect = self.liveness is Liveness.SUSPECT
        return is_suspect and now >= self.since + SUSPICION_S

    def buried(self, now: float) -> 'EntryRecord':
        """Return the record of the entry as dead."""
        return replace(self, liveness=Liveness.DEAD, since=now)

    def is_forgettable(self, now: float) -> bool:
        """Tell whether late accounts of the dead entry have died out."""
        is_dead = self.liveness is Liveness.DEAD
        return is_dead and now >= self.since + DEAD_KEEP_S


@dataclass(frozen=True, slots=True)
class EntryChange:
    """An entry is thought alive, suspected or dead from now on."""

    entry: str
    liveness: Liveness


class EntryTable:
    """Know the entries by their own accounts and by others' suspicions."""

    def __init__(
        self, own: Entry, advice_keep_s: float = ADVICE_KEEP_S
    ) -> None:
        """Start with this instance alone."""
        self._own = own
        self._advice_keep_s = advice_keep_s
        self._records: dict[str, EntryRecord] = {}
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
            beat=own.beat + 1,
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

    def merge(self, entry: Entry, now: float) -> bool:
        """Take an account of an entry; true if it is news."""
        if entry.name == self._own.name:
            return entry.is_newer_than(self._own) and self.refute(
                entry.incarnation,
            )
        known = self._records.get(entry.name)
        if known is not None and not entry.is_newer_than(known.entry):
            return False
        self._records[entry.name] = EntryRecord(entry, heard_at=now, since=now)
        return True

    def suspect(self, name: str, incarnation: int, now: float) -> bool:
        """Take a claim that an entry does not answer; true if it is news."""
        record = self._records.get(name)
        if record is None or record.liveness is not Liveness.ALIVE:
            return False
        if incarnation < record.entry.incarnation:
            return False
        self._records[name] = replace(
            record,
            liveness=Liveness.SUSPECT,
            since=now,
        )
        return True

    def expire(self, now: float) -> tuple[EntryChange, ...]:
        """Bury suspects that did not refute, and forget the long dead."""
        records = tuple(self._records.items())
        buried = tuple(
            EntryChange(name, Liveness.DEAD)
            for name, record in records
            if record.is_buried(now)
        )
        self._records = {
            name: record.buried(now) if record.is_buried(now) else record
            for name, record in records
            if not record.is_forgettable(now)
        }
        return buried

    def note_mark(self, instance: str, mark: Mark) -> None:
        """Take a mark of the log: only a ``join`` undoes the others."""
        if mark is Mark.JOIN:
            self._marked_out.discard(instance)
        else:
            self._marked_out.add(instance)

    def record(self, name: str) -> EntryRecord | None:
        """Return what is known of another entry."""
        return self._records.get(name)

    def peers(self) -> tuple[Entry, ...]:
        """Return the other entries that are not thought dead."""
        return tuple(
            record.entry
            for record in self._records.values()
            if record.liveness is not Liveness.DEAD
        )

    def members(self) -> tuple[Entry, ...]:
        """Return this entry and all that are not thought dead."""
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
        ranked = [
            *rank(self._alive(now), availability_zone, self._turn),
            *rank(self._suspects(now), availability_zone, self._turn),
        ]
        chosen = spread_over_zones(ranked, ADDRESSES_MAX)
        addresses = tuple(str(entry.caller_address) for entry in chosen)
        return EntryAdvice(addresses, self._advice_keep_s)

    def _alive(self, now: float) -> list[Entry]:
        known = [self._own, *self._thought(Liveness.ALIVE, now)]
        return [entry for entry in known if self._is_advisable(entry)]

    def _suspects(self, now: float) -> list[Entry]:
        known = self._thought(Liveness.SUSPECT, now)
        return [entry for entry in known if self._is_advisable(entry)]

    def _thought(self, liveness: Liveness, now: float) -> list[Entry]:
        return [
            record.entry
            for record in self._records.values()
            if record.liveness is liveness and not record.is_buried(now)
        ]

    def _is_advisable(self, entry: Entry) -> bool:
        is_serving = entry.state is EntryState.SERVING
        return is_serving and entry.name not in self._marked_out
