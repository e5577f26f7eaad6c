"""Record of one entry: its latest announcement and its liveness."""

from dataclasses import dataclass, replace
from enum import StrEnum

from foxtailhatch.membership.entry import Entry, Liveness

SUSPICION_TIMEOUT_S = 15.0
DEAD_TTL_S = 7200.0


class MergeOutcome(StrEnum):
    """Result of merging a received announcement into the table."""

    STALE = 'stale'
    REFRESHED = 'refreshed'
    CHANGED = 'changed'


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """An entry, its liveness, and the time of its last announcement.

    ``since`` is the time of the last change of liveness or incarnation.
    """

    entry: Entry
    updated_at: float
    liveness: Liveness = Liveness.ALIVE
    since: float = 0

    def is_suspicion_over(self, now: float) -> bool:
        """Return whether it stayed suspect for ``SUSPICION_TIMEOUT_S``."""
        is_suspect = self.liveness is Liveness.SUSPECT
        return is_suspect and now >= self.since + SUSPICION_TIMEOUT_S

    def declared_dead(self, now: float) -> 'EntryRecord':
        """Return the record with liveness ``DEAD`` from ``now`` on."""
        return replace(self, liveness=Liveness.DEAD, since=now)

    def is_removable(self, now: float) -> bool:
        """Return whether a dead entry can be removed.

        It is retained for ``DEAD_TTL_S`` so that delayed announcements from
        before its death do not revive it.
        """
        is_dead = self.liveness is Liveness.DEAD
        return is_dead and now >= self.since + DEAD_TTL_S


@dataclass(frozen=True, slots=True)
class EntryChange:
    """A change of an entry's liveness or announced state."""

    entry: str
    liveness: Liveness
