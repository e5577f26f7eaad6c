"""Take what a digest says into the table, and choose what to pass on."""

from collections.abc import Iterable, Iterator

from foxtailhatch.membership.composer import Composer
from foxtailhatch.membership.digest import Digest, LeaveNotice, Suspicion
from foxtailhatch.membership.entries import EntryTable
from foxtailhatch.membership.entry import Entry, EntryState, Liveness
from foxtailhatch.membership.entry_record import EntryChange, MergeOutcome
from foxtailhatch.membership.gossip_actions import (
    EndpointLeaving,
    GossipAction,
)


class Hearing:
    """Hear digests; ``is_hot`` says that something heard is urgent."""

    def __init__(self, table: EntryTable, composer: Composer) -> None:
        """Read into ``table``; news goes on through ``composer``."""
        self.table = table
        self.is_hot = False
        self._composer = composer

    def take(self, digest: Digest, now: float) -> tuple[GossipAction, ...]:
        """Take a peer's digest, and return what changed."""
        return (
            *self._take_entries((digest.sender, *digest.entries), now),
            *self._take_suspicions(digest.suspicions, now),
            *self._take_leaves(digest.leaves, now),
        )

    def _take_entries(
        self,
        entries: Iterable[Entry],
        now: float,
    ) -> Iterator[GossipAction]:
        for entry in entries:
            before = self.table.record(entry.name)
            merge = self.table.merge(entry, now)
            after = self.table.record(entry.name)
            if merge is MergeOutcome.CHANGED and after is not None:
                self._composer.add_entry(entry.name)
                self.is_hot |= entry.state is not EntryState.SERVING
                yield EntryChange(entry.name, after.liveness)
            elif before and before.liveness is not Liveness.ALIVE:
                # The sender has not heard what is thought of this entry.
                self._composer.add_suspicion(before.entry)

    def _take_suspicions(
        self,
        suspicions: Iterable[Suspicion],
        now: float,
    ) -> Iterator[GossipAction]:
        for suspicion in suspicions:
            name = suspicion.entry
            if name == self.table.own.name:
                self.is_hot |= self.table.refute(suspicion.incarnation)
            elif self.table.suspect(name, suspicion.incarnation, now):
                record = self.table.record(name)
                if record is not None:
                    self._composer.add_suspicion(record.entry)
                yield EntryChange(name, Liveness.SUSPECT)

    def _take_leaves(
        self,
        leaves: Iterable[LeaveNotice],
        now: float,
    ) -> Iterator[GossipAction]:
        for notice in leaves:
            observed_at = now - notice.age_s
            if self._composer.add_leave(notice.endpoint, observed_at, now):
                self.is_hot = True
                yield EndpointLeaving(notice.endpoint, observed_at)
