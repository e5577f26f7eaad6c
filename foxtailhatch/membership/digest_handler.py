"""Apply received digests to the table, and queue updates to forward."""

from collections.abc import Iterable, Iterator

from foxtailhatch.membership.digest import Digest, LeaveNotice, Suspicion
from foxtailhatch.membership.digest_builder import DigestBuilder
from foxtailhatch.membership.entries import EntryTable
from foxtailhatch.membership.entry import Entry, EntryState, Liveness
from foxtailhatch.membership.entry_record import EntryChange, MergeOutcome
from foxtailhatch.membership.gossip_actions import (
    EndpointLeaving,
    GossipAction,
)


class DigestHandler:
    """Apply digests; ``has_urgent_update`` is set by an urgent update."""

    def __init__(self, table: EntryTable, builder: DigestBuilder) -> None:
        """Update ``table``; forward updates through ``builder``."""
        self.table = table
        self.has_urgent_update = False
        self._builder = builder

    def apply(self, digest: Digest, now: float) -> tuple[GossipAction, ...]:
        """Apply a peer's digest, and return the resulting changes."""
        return (
            *self._apply_entries((digest.sender, *digest.entries), now),
            *self._apply_suspicions(digest.suspicions, now),
            *self._apply_leaves(digest.leaves, now),
        )

    def _apply_entries(
        self,
        entries: Iterable[Entry],
        now: float,
    ) -> Iterator[GossipAction]:
        for entry in entries:
            before = self.table.record(entry.name)
            merge = self.table.merge(entry, now)
            after = self.table.record(entry.name)
            if merge is MergeOutcome.CHANGED and after is not None:
                self._builder.add_entry(entry.name)
                self.has_urgent_update |= entry.state is not EntryState.SERVING
                yield EntryChange(entry.name, after.liveness)
            elif before and before.liveness is not Liveness.ALIVE:
                # The sender does not know that this entry is suspect or dead.
                self._builder.add_suspicion(before.entry)

    def _apply_suspicions(
        self,
        suspicions: Iterable[Suspicion],
        now: float,
    ) -> Iterator[GossipAction]:
        for suspicion in suspicions:
            name = suspicion.entry
            if name == self.table.own.name:
                self.has_urgent_update |= self.table.refute(
                    suspicion.incarnation
                )
            elif self.table.suspect(name, suspicion.incarnation, now):
                record = self.table.record(name)
                if record is not None:
                    self._builder.add_suspicion(record.entry)
                yield EntryChange(name, Liveness.SUSPECT)

    def _apply_leaves(
        self,
        leaves: Iterable[LeaveNotice],
        now: float,
    ) -> Iterator[GossipAction]:
        for notice in leaves:
            observed_at = now - notice.age_s
            if self._builder.add_leave(notice.endpoint, observed_at, now):
                self.has_urgent_update = True
                yield EndpointLeaving(notice.endpoint, observed_at)
