"""From whom an entry learns: the store, or an entry that reads it."""

from foxtailhatch.router.entry_table import EntryRecord, EntryTable, rank

# A source that failed or was outdated is left alone for this time.
SOURCE_REST_S = 2.0
# Knowledge that is older than this at a peer is no better than the store's.
# Source: the longest wait of a read, and one call.
PEER_AGE_MAX_S = 2.8


class Sources:
    """Choose the source of the next read.

    The best entry of a zone reads the store; the others are fed by it.
    Whoever finds its source failing takes the next: the store, then any
    other reader of the zone.
    """

    def __init__(self, own: EntryRecord) -> None:
        """Start with the store as the only source."""
        self._own = own
        self._rest_until: dict[str, float] = {}
        self._store_until = float(0)

    def peer(self, entries: EntryTable, now: float) -> EntryRecord | None:
        """Return the entry to ask, or ``None`` for the store."""
        readers = [
            reader
            for reader in entries.readers(self._own.zone, now)
            if reader.name != self._own.name
            and self._rest_until.get(reader.name, 0) <= now
        ]
        best = next(iter(readers), None)
        if best is None:
            return None
        is_store_well = self._store_until <= now
        if is_store_well and rank(self._own) < rank(best):
            return None
        return best

    def store_failed(self, now: float) -> None:
        """Ask peers first for a while."""
        self._store_until = now + SOURCE_REST_S

    def peer_failed(self, name: str, now: float) -> None:
        """Leave a peer alone for a while."""
        self._rest_until[name] = now + SOURCE_REST_S
