"""Choose the lines of a digest, within its bounds."""

from random import Random

from foxtailhatch.membership.digest import (
    Digest,
    LeaveNotice,
    Suspicion,
    Want,
)
from foxtailhatch.membership.entries import EntryTable
from foxtailhatch.membership.entry import Entry, Liveness
from foxtailhatch.membership.rumours import RumourQueue, rounds_for

ENTRIES_MAX = 4
SUSPICIONS_MAX = 8
LEAVES_MAX = 8
WELCOME_ENTRIES_MAX = 512
NEAR_SHARE = 0.5
LEAVE_KEEP_S = 30.0


class Composer:
    """Hold the news to pass on, and fill digests with it."""

    def __init__(self, table: EntryTable, random: Random) -> None:
        """Read entries from ``table``; the random source is injected."""
        self._table = table
        self._random = random
        self._entries = RumourQueue[str]()
        self._suspicions = RumourQueue[Suspicion]()
        self._leaves = RumourQueue[str]()
        self._left_at: dict[str, float] = {}

    def add_entry(self, name: str) -> None:
        """Pass on that an entry is new or has changed."""
        self._entries.add(name, name)
        self._suspicions.drop(name)

    def add_suspicion(self, entry: Entry) -> None:
        """Pass on that an entry is suspected."""
        suspicion = Suspicion(entry.name, entry.incarnation)
        self._suspicions.add(entry.name, suspicion)

    def add_leave(self, endpoint: str, observed_at: float, now: float) -> bool:
        """Pass on that an endpoint leaves; false if it is no news."""
        self._left_at = {
            name: left_at
            for name, left_at in self._left_at.items()
            if now < left_at + LEAVE_KEEP_S
        }
        is_old = now >= observed_at + LEAVE_KEEP_S
        if is_old or endpoint in self._left_at:
            return False
        self._left_at[endpoint] = observed_at
        self._leaves.add(endpoint, endpoint)
        return True

    def compose(
        self,
        receiver: Entry | None,
        want: Want,
        now: float,
        *,
        with_all: bool = False,
    ) -> Digest:
        """Return a digest for ``receiver``, or for a stranger if ``None``."""
        rounds = rounds_for(self._table.count())
        return Digest(
            sender=self._table.own,
            members=self._table.count(),
            want=want,
            entries=self._choose_entries(receiver, rounds, with_all),
            suspicions=tuple(self._suspicions.take(SUSPICIONS_MAX, rounds)),
            leaves=self._choose_leaves(rounds, now),
        )

    def _choose_entries(
        self,
        receiver: Entry | None,
        rounds: int,
        with_all: bool,
    ) -> tuple[Entry, ...]:
        peers = self._table.peers()
        if with_all:
            return peers[:WELCOME_ENTRIES_MAX]
        told = self._entries.take(ENTRIES_MAX, rounds)
        records = (self._table.record(name) for name in told)
        news = [
            record.entry
            for record in records
            if record and record.liveness is Liveness.ALIVE
        ]
        room = ENTRIES_MAX - len(news)
        return (*news, *self._sample(peers, receiver, room, told))

    def _sample(
        self,
        peers: tuple[Entry, ...],
        receiver: Entry | None,
        room: int,
        told: list[str],
    ) -> list[Entry]:
        """Choose at random, the nearer half from the receiver's own zone."""
        zone = '' if receiver is None else receiver.availability_zone
        near = [peer for peer in peers if peer.availability_zone == zone]
        near_count = min(len(near), int(room * NEAR_SHARE))
        chosen = (
            *self._random.sample(near, near_count),
            *self._random.sample(peers, min(len(peers), room - near_count)),
        )
        left_out = told if receiver is None else (*told, receiver.name)
        by_name = {entry.name: entry for entry in chosen}
        return [
            entry for name, entry in by_name.items() if name not in left_out
        ]

    def _choose_leaves(
        self,
        rounds: int,
        now: float,
    ) -> tuple[LeaveNotice, ...]:
        chosen = self._leaves.take(LEAVES_MAX, rounds)
        return tuple(
            LeaveNotice(endpoint, now - self._left_at[endpoint])
            for endpoint in chosen
            if endpoint in self._left_at
        )
