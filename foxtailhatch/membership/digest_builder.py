"""Select the contents of gossip digests, within their size limits."""

from random import Random

from foxtailhatch.membership.broadcast_queue import (
    BroadcastQueue,
    transmit_limit,
)
from foxtailhatch.membership.digest import (
    Digest,
    LeaveNotice,
    RequestedReply,
    Suspicion,
)
from foxtailhatch.membership.entries import EntryTable
from foxtailhatch.membership.entry import Entry, Liveness

ENTRIES_MAX = 4
SUSPICIONS_MAX = 8
LEAVES_MAX = 8
FULL_DIGEST_ENTRIES_MAX = 512
ZONE_SHARE = 0.5
LEAVE_TTL_S = 30.0


class DigestBuilder:
    """Queue membership updates and build digests from them."""

    def __init__(self, table: EntryTable, random: Random) -> None:
        """Take entries from ``table``; ``random`` selects the sampled ones."""
        self._table = table
        self._random = random
        self._entries = BroadcastQueue[str]()
        self._suspicions = BroadcastQueue[Suspicion]()
        self._leaves = BroadcastQueue[str]()
        self._observed_leave_at: dict[str, float] = {}

    def add_entry(self, name: str) -> None:
        """Queue an entry that is new or has changed; drop its suspicion."""
        self._entries.add(name, name)
        self._suspicions.drop(name)

    def add_suspicion(self, entry: Entry) -> None:
        """Queue a suspicion about the incarnation of ``entry``."""
        suspicion = Suspicion(entry.name, entry.incarnation)
        self._suspicions.add(entry.name, suspicion)

    def add_leave(self, endpoint: str, observed_at: float, now: float) -> bool:
        """Queue a notice that an endpoint leaves.

        Return false, and queue nothing, if the notice is older than
        ``LEAVE_TTL_S`` or the endpoint was announced within that time.
        """
        self._observed_leave_at = {
            name: left_at
            for name, left_at in self._observed_leave_at.items()
            if now < left_at + LEAVE_TTL_S
        }
        is_old = now >= observed_at + LEAVE_TTL_S
        if is_old or endpoint in self._observed_leave_at:
            return False
        self._observed_leave_at[endpoint] = observed_at
        self._leaves.add(endpoint, endpoint)
        return True

    def build(
        self,
        receiver: Entry | None,
        requested_reply: RequestedReply,
        now: float,
        *,
        with_all: bool = False,
    ) -> Digest:
        """Return a digest for ``receiver``.

        ``None`` stands for a receiver of which only the address is known.
        With ``with_all`` the digest lists all live entries, up to
        ``FULL_DIGEST_ENTRIES_MAX``.
        """
        max_transmissions = transmit_limit(self._table.count())
        return Digest(
            sender=self._table.own,
            members=self._table.count(),
            requested_reply=requested_reply,
            entries=self._choose_entries(receiver, max_transmissions, with_all),
            suspicions=tuple(
                self._suspicions.take_next(SUSPICIONS_MAX, max_transmissions)
            ),
            leaves=self._choose_leaves(max_transmissions, now),
        )

    def _choose_entries(
        self,
        receiver: Entry | None,
        max_transmissions: int,
        with_all: bool,
    ) -> tuple[Entry, ...]:
        others = self._table.peers()
        if with_all:
            return others[:FULL_DIGEST_ENTRIES_MAX]
        selected = self._entries.take_next(ENTRIES_MAX, max_transmissions)
        records = (self._table.record(name) for name in selected)
        updates = [
            record.entry
            for record in records
            if record and record.liveness is Liveness.ALIVE
        ]
        free_slots = ENTRIES_MAX - len(updates)
        return (*updates, *self._sample(others, receiver, free_slots, selected))

    def _sample(
        self,
        others: tuple[Entry, ...],
        receiver: Entry | None,
        free_slots: int,
        selected: list[str],
    ) -> list[Entry]:
        """Return a random sample, half of it drawn from the receiver's zone."""
        zone = '' if receiver is None else receiver.availability_zone
        in_zone = [peer for peer in others if peer.availability_zone == zone]
        in_zone_count = min(len(in_zone), int(free_slots * ZONE_SHARE))
        chosen = (
            *self._random.sample(in_zone, in_zone_count),
            *self._random.sample(
                others, min(len(others), free_slots - in_zone_count)
            ),
        )
        excluded = selected if receiver is None else (*selected, receiver.name)
        by_name = {entry.name: entry for entry in chosen}
        return [
            entry for name, entry in by_name.items() if name not in excluded
        ]

    def _choose_leaves(
        self,
        max_transmissions: int,
        now: float,
    ) -> tuple[LeaveNotice, ...]:
        chosen = self._leaves.take_next(LEAVES_MAX, max_transmissions)
        return tuple(
            LeaveNotice(endpoint, now - self._observed_leave_at[endpoint])
            for endpoint in chosen
            if endpoint in self._observed_leave_at
        )
