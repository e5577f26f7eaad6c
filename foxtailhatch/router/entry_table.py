"""The entries of the system, as they tell each other of themselves."""

from dataclasses import dataclass

import orjson
from returns.result import Failure, Result, Success

# An entry that has not been heard of for this time gets no new callers.
# Source: three heartbeats.
ENTRY_TIMEOUT_S = 4.5
# Fewer entries than this in a caller's zone: others are advised as well.
ADVISED_MIN = 2
_FIELDS = 5


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """What an entry writes of itself with each heartbeat."""

    name: str
    zone: str
    region: str
    address: str
    is_ready: bool

    def encode(self) -> bytes:
        """Return the record as the log keeps it."""
        return orjson.dumps(
            [self.name, self.zone, self.region, self.address, self.is_ready],
        )


def decode_entry(raw: bytes) -> Result[EntryRecord, str]:
    """Return the entry that a record describes.

    >>> decode_entry(b'[]').failure()
    'not an entry'
    """
    try:
        fields = orjson.loads(raw)
    except ValueError as exc:
        return Failure(str(exc))
    if not isinstance(fields, list) or len(fields) != _FIELDS:
        return Failure('not an entry')
    return Success(EntryRecord(*fields))


class EntryTable:
    """Entries by name, with the time at which each was last heard of."""

    def __init__(self) -> None:
        """Start with no entry."""
        self._known: dict[str, tuple[EntryRecord, float]] = {}

    def hear(self, entry: EntryRecord, now: float) -> None:
        """Take a heartbeat."""
        self._known[entry.name] = (entry, now)

    def forget(self, name: str) -> None:
        """Drop an entry."""
        self._known.pop(name, None)

    def extend(self, seconds: float) -> None:
        """Count a time in which no heartbeat could be read as not passed."""
        self._known = {
            name: (entry, heard_at + seconds)
            for name, (entry, heard_at) in self._known.items()
        }

    def ready(self, now: float) -> list[EntryRecord]:
        """Return the entries that serve callers."""
        return [
            entry
            for entry, heard_at in self._known.values()
            if entry.is_ready and now - heard_at <= ENTRY_TIMEOUT_S
        ]

    def advised(
        self,
        region: str,
        zone: str,
        now: float,
        most: int,
    ) -> list[str]:
        """Return addresses for a caller: its zone, else its region, else all.

        A wider circle is taken while a narrow one has too few entries.
        """
        ready = self.ready(now)
        circles = (
            [entry for entry in ready if entry.zone == zone],
            [entry for entry in ready if entry.region == region],
            ready,
        )
        for circle in circles:
            if len(circle) >= ADVISED_MIN:
                return sorted(entry.address for entry in circle)[:most]
        return sorted(entry.address for entry in ready)[:most]
