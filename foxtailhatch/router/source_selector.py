"""Select where an entry reads from: the store, or an entry that reads it.

The preferred entry of a zone reads the store and feeds the others.  If it
fails, the entries of its zone ask readers of other zones, else each other, and
try the store themselves one after the other in the order of preference: all at
once they would overload a store that is already in trouble.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from zlib import crc32

from foxtailhatch.router.entry_table import (
    EntryRecord,
    EntryTable,
    reader_rank,
)

# Back-off after a source failed.
SOURCE_BACKOFF_S = 1.5
# Back-off after a peer had no fresh data.  It is short, because the peers
# that are asked first learn first that the store is back; it covers the wait
# of a feed request and one call.
OUTDATED_BACKOFF_S = 0.6
# Each more preferred entry gets this much time to try the store first.  It
# covers a read of the store and one feed response.
STAGGER_S = 0.3


@dataclass(frozen=True, slots=True)
class Source:
    """Where to read next: the store, a peer, or nowhere for the moment."""

    is_store: bool = False
    peer: EntryRecord | None = None

    @property
    def name(self) -> str:
        """Return a name for logs."""
        if self.peer is not None:
            return self.peer.name
        return 'store' if self.is_store else 'none'


STORE = Source(is_store=True)
NO_SOURCE = Source()


class SourceSelector:
    """Select the source of the next read."""

    def __init__(self, own: EntryRecord) -> None:
        """Start with no back-off; ``own`` describes this entry."""
        self._own = own
        self._backoff_until: dict[str, float] = {}
        self._unable_until: dict[str, float] = {}
        self._store_backoff_until = float(0)
        self._without_reader_since: float | None = None

    def select(self, entries: EntryTable, now: float) -> Source:
        """Return where to read next."""
        readers = [
            reader
            for reader in entries.readers(now)
            if reader.name != self._own.name
            and not self._is_backed_off(reader, now)
        ]
        in_zone = [
            reader for reader in readers if reader.zone == self._own.zone
        ]
        if in_zone and self._prefers_peer(in_zone[0], now):
            self._without_reader_since = None
            return Source(peer=in_zone[0])
        if self._without_reader_since is None:
            self._without_reader_since = now
        if self._may_read_store(entries, now):
            return STORE
        if readers:
            return Source(peer=self._spread(readers))
        preferred = self._more_preferred(entries, now)
        if not preferred:
            # No other entry would notice that the store is back.
            return STORE
        available = [
            entry for entry in preferred if not self._is_backed_off(entry, now)
        ]
        return (
            Source(peer=min(available, key=reader_rank))
            if available
            else NO_SOURCE
        )

    def store_failed(self, now: float) -> None:
        """Prefer peers to the store for ``SOURCE_BACKOFF_S``."""
        self._store_backoff_until = now + SOURCE_BACKOFF_S
        self._without_reader_since = self._store_backoff_until

    def may_catch_up(self, now: float) -> bool:
        """Return whether an entry that is fed may read the store once."""
        return self._store_backoff_until <= now

    def peer_failed(self, name: str, now: float) -> None:
        """Back off from a peer whose feed failed."""
        self._backoff_until[name] = now + SOURCE_BACKOFF_S
        self._unable_until[name] = now + SOURCE_BACKOFF_S

    def peer_outdated(
        self, name: str, now: float, *, reads_store: bool
    ) -> None:
        """Back off from a peer that has no fresh data.

        A peer that reads the store and is outdated cannot reach the store.
        """
        self._backoff_until[name] = now + OUTDATED_BACKOFF_S
        if reads_store:
            self._unable_until[name] = now + SOURCE_BACKOFF_S

    def _prefers_peer(self, reader: EntryRecord, now: float) -> bool:
        """Return whether to ask a reader rather than read the store."""
        return self._store_backoff_until > now or reader_rank(
            reader
        ) < reader_rank(self._own)

    def _may_read_store(self, entries: EntryTable, now: float) -> bool:
        """Return whether the staggered time of this entry has come."""
        if (
            self._store_backoff_until > now
            or self._without_reader_since is None
        ):
            return False
        preferred = self._more_preferred(entries, now)
        position = sum(
            self._unable_until.get(entry.name, 0) <= now for entry in preferred
        )
        return now - self._without_reader_since >= STAGGER_S * position

    def _more_preferred(
        self, entries: EntryTable, now: float
    ) -> list[EntryRecord]:
        """Return the entries of the zone that should read before this one."""
        candidates = entries.recently_ready(self._own.zone, now)
        return [
            entry
            for entry in candidates
            if reader_rank(entry) < reader_rank(self._own)
        ]

    def _is_backed_off(self, entry: EntryRecord, now: float) -> bool:
        return self._backoff_until.get(entry.name, 0) > now

    def _spread(self, readers: Sequence[EntryRecord]) -> EntryRecord:
        """Return a reader by the hash of the own name, to spread the load."""
        index = crc32(self._own.name.encode()) % len(readers)
        return sorted(readers, key=reader_rank)[index]
