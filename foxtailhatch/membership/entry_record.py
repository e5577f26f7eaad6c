"""What is thought of one entry, and for how long."""

from dataclasses import dataclass, replace
from enum import StrEnum

from foxtailhatch.membership.entry import Entry, Liveness

SUSPICION_S = 15.0
DEAD_KEEP_S = 7200.0


class MergeOutcome(StrEnum):
    """What an account of an entry added to the table."""

    OLD = 'old'
    FRESHER = 'fresher'
    CHANGED = 'changed'


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
