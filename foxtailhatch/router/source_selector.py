"""From whom an entry learns: the store, or an entry that reads it.

The best entry of a zone reads the store, and the others are fed by it.  When
it fails, the entries of its zone ask readers of other zones, else each other,
and try the store themselves one after the other, the best first: all at once
they would bury a store that has trouble already.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from zlib import crc32

from foxtailhatch.router.entry_table import EntryRecord, EntryTable, rank

# A source that failed is left alone for this time.
SOURCE_BACKOFF_S = 2.0
# An entry that knew nothing new is asked again after this time: when the store
# is back, the first to know are those that are asked first.  Source: the wait
# of a feed, and one call.
OUTDATED_BACKOFF_S = 0.6
# Knowledge that is older than this at a peer is no better than the store's.
# Source: the longest wait of a read, and one call.
PEER_AGE_MAX_S = 2.8
# A peer of another zone that is fed itself adds a wait of its own.
INDIRECT_PEER_AGE_MAX_S = 1.8
# An entry leaves each better one this much time to read the store before it
# tries.  Source: a read of the store, and the news of it.
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
    """Choose the source of the next read."""

    def __init__(self, own: EntryRecord) -> None:
        """Start with the store as the only source."""
        self._own = own
        self._rest_until: dict[str, float] = {}
        self._unable_until: dict[str, float] = {}
        self._store_until = float(0)
        self._alone_since: float | None = None

    def choose(self, entries: EntryTable, now: float) -> Source:
        """Return where to read next."""
        readers = [
            reader
            for reader in entries.readers(now)
            if reader.name != self._own.name and not self._rests(reader, now)
        ]
        in_zone = [one for one in readers if one.zone == self._own.zone]
        if in_zone and self._is_better(in_zone[0], now):
            self._alone_since = None
            return Source(peer=in_zone[0])
        if self._alone_since is None:
            self._alone_since = now
        if self._may_read(entries, now):
            return STORE
        if readers:
            return Source(peer=self._spread(readers))
        betters = self._betters(entries, now)
        if not betters:
            # Nobody else would find out that the store is back.
            return STORE
        awake = [one for one in betters if not self._rests(one, now)]
        return Source(peer=min(awake, key=rank)) if awake else NO_SOURCE

    def store_failed(self, now: float) -> None:
        """Ask peers first for a while."""
        self._store_until = now + SOURCE_BACKOFF_S
        self._alone_since = self._store_until

    def peer_failed(self, name: str, now: float) -> None:
        """Leave a peer alone for a while."""
        self._rest_until[name] = now + SOURCE_BACKOFF_S
        self._unable_until[name] = now + SOURCE_BACKOFF_S

    def peer_outdated(
        self, name: str, now: float, *, reads_store: bool
    ) -> None:
        """Leave a peer alone that knows nothing new.

        If it reads the store, it does not reach it.
        """
        self._rest_until[name] = now + OUTDATED_BACKOFF_S
        if reads_store:
            self._unable_until[name] = now + SOURCE_BACKOFF_S

    def _is_better(self, reader: EntryRecord, now: float) -> bool:
        """Tell whether a reader should be asked rather than the store."""
        return self._store_until > now or rank(reader) < rank(self._own)

    def _may_read(self, entries: EntryTable, now: float) -> bool:
        """Tell whether it is this entry's turn to try the store."""
        if self._store_until > now or self._alone_since is None:
            return False
        betters = self._betters(entries, now)
        place = sum(
            self._unable_until.get(one.name, 0) <= now for one in betters
        )
        return now - self._alone_since >= STAGGER_S * place

    def _betters(self, entries: EntryTable, now: float) -> list[EntryRecord]:
        """Return the entries of the zone that should read before this one."""
        known = entries.known(self._own.zone, now)
        return [one for one in known if rank(one) < rank(self._own)]

    def _rests(self, entry: EntryRecord, now: float) -> bool:
        return self._rest_until.get(entry.name, 0) > now

    def _spread(self, readers: Sequence[EntryRecord]) -> EntryRecord:
        """Return one of the readers, a different one for different entries."""
        place = crc32(self._own.name.encode()) % len(readers)
        return sorted(readers, key=rank)[place]
