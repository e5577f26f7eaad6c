"""The entries of the system, as they tell each other of themselves.

Some entries read the store; they write a heartbeat there that lists
themselves and the entries that they feed.  An entry that is on no current
list serves no callers.
"""

from dataclasses import dataclass, field
from itertools import chain

import cbor2
from returns.result import Failure, Result, Success

from foxtailhatch.core.cbor import read_cbor
from foxtailhatch.fleet import Work
from foxtailhatch.fleet.estimate import WorkByEndpoint
from foxtailhatch.router.work_totals import decode_work, encode_work, sum_work

# A list that has not been renewed for this time does not count.  Source:
# two heartbeats, and the lag of reading them.
ENTRY_LIST_TIMEOUT_S = 4.0
# Who was listed within this time counts in the order of readers.  Source: some
# outages of the store on end.
ENTRY_RETENTION_S = 60.0
# Fewer entries than this in a caller's zone: others are advised as well.
ADVISED_MIN = 2
_FIELDS = 7


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """What an entry says of itself.

    ``peer_address`` is where other entries reach it.  ``strength`` is its
    processor share in cores; the strongest entries of a zone read the store.
    """

    name: str
    zone: str
    region: str
    address: str
    peer_address: str
    cpu_cores: float
    is_ready: bool

    def fields(self) -> list[object]:
        """Return the record as a list of plain values."""
        return [
            self.name,
            self.zone,
            self.region,
            self.address,
            self.peer_address,
            self.cpu_cores,
            self.is_ready,
        ]


def decode_entry(fields: object) -> Result[EntryRecord, str]:
    """Return the entry that a list of plain values describes.

    >>> decode_entry([]).failure()
    'not an entry'
    """
    if not isinstance(fields, list) or len(fields) != _FIELDS:
        return Failure('not an entry')
    return Success(EntryRecord(*fields))


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a reader writes: itself, those it feeds, and the work of all."""

    entries: list[EntryRecord]
    work: WorkByEndpoint = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the heartbeat as the log keeps it."""
        listed = [entry.fields() for entry in self.entries]
        return bytes(cbor2.dumps([listed, encode_work(self.work)]))


def decode_heartbeat(raw: bytes) -> Result[Heartbeat, str]:
    """Return the heartbeat that a record holds."""
    try:
        return Success(_read_heartbeat(raw))
    except (ValueError, TypeError, AttributeError) as exc:
        return Failure(f'not a heartbeat: {exc}')


def _read_heartbeat(raw: bytes) -> Heartbeat:
    listed, work = read_cbor(raw)
    found = map(decode_entry, listed)
    entries = [one.unwrap() for one in found if isinstance(one, Success)]
    return Heartbeat(entries, decode_work(work))


HeardList = tuple[list[EntryRecord], float]


class EntryTable:
    """The newest list of each reader, with the time at which it was heard."""

    def __init__(self) -> None:
        """Start with no list."""
        self._lists: dict[str, HeardList] = {}
        self._work: dict[str, WorkByEndpoint] = {}

    def record_heartbeat(
        self,
        reader: str,
        heartbeat: Heartbeat,
        now: float,
    ) -> None:
        """Take a heartbeat."""
        self._lists[reader] = (heartbeat.entries, now)
        self._work[reader] = heartbeat.work

    def remove(self, reader: str) -> None:
        """Drop a reader's list."""
        self._lists.pop(reader, None)
        self._work.pop(reader, None)

    def ready(self, now: float) -> list[EntryRecord]:
        """Return the entries that serve callers."""
        current = chain.from_iterable(
            entries
            for entries, heard_at in self._lists.values()
            if now - heard_at <= ENTRY_LIST_TIMEOUT_S
        )
        found = {entry.name: entry for entry in current if entry.is_ready}
        return list(found.values())

    def readers(self, now: float) -> list[EntryRecord]:
        """Return the entries that read the store, best first."""
        found = [
            entry
            for reader, (entries, heard_at) in self._lists.items()
            if now - heard_at <= ENTRY_LIST_TIMEOUT_S
            for entry in entries
            if entry.name == reader and entry.is_ready
        ]
        return sorted(found, key=rank)

    def work_of_other_readers(self, reader: str, now: float) -> dict[str, Work]:
        """Return the work that all readers but one have told."""
        return sum_work(
            self._work[name]
            for name, (_, heard_at) in self._lists.items()
            if name != reader and now - heard_at <= ENTRY_LIST_TIMEOUT_S
        )

    def known(self, zone: str, now: float) -> list[EntryRecord]:
        """Return the entries of a zone that were ready not long ago."""
        listed = self._listed_last(now)
        return [entry for entry in listed if entry.zone == zone]

    def _listed_last(self, now: float) -> list[EntryRecord]:
        found = {
            entry.name: entry
            for entries, heard_at in self._lists.values()
            if now - heard_at <= ENTRY_RETENTION_S
            for entry in entries
            if entry.is_ready
        }
        return list(found.values())

    def recommended_addresses(
        self,
        region: str,
        zone: str,
        now: float,
        limit: int,
    ) -> list[str]:
        """Return addresses for a caller: its zone, else its region, else all.

        A wider circle is taken while a narrow one has too few entries.
        """
        # While nobody can list entries, those listed last serve what they can.
        ready = self.ready(now) or self._listed_last(now)
        circles = (
            [entry for entry in ready if entry.zone == zone],
            [entry for entry in ready if entry.region == region],
            ready,
        )
        for circle in circles:
            if len(circle) >= ADVISED_MIN:
                return sorted(entry.address for entry in circle)[:limit]
        return sorted(entry.address for entry in ready)[:limit]


def rank(entry: EntryRecord) -> tuple[float, str]:
    """Return the order in which entries become readers."""
    return -entry.cpu_cores, entry.name
