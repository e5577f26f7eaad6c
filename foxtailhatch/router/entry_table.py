"""The entries of the system, as announced by heartbeats.

The entries that read the store (readers) write a heartbeat there, which lists
the reader itself and the entries that it feeds.  An entry that is on no
current list serves no callers.
"""

from dataclasses import dataclass, field, replace
from itertools import chain

import cbor2
from returns.result import Failure, Result, Success

from foxtailhatch.core.cbor import decode_cbor
from foxtailhatch.fleet import Work
from foxtailhatch.fleet.estimate import WorkByEndpoint
from foxtailhatch.router.demand_messages import raw_field
from foxtailhatch.router.entry_advice import advised_addresses
from foxtailhatch.router.work_totals import decode_work, encode_work, sum_work

# Lists that have not been renewed for this time are ignored.  The time covers
# two heartbeat periods and the lag of reading them.
ENTRY_LIST_TIMEOUT_S = 4.0
# Longest time between two reads of the lists of a sound store.
MAX_LIST_GAP_S = 2.5
# Entries listed within this time still count in the order in which entries
# become readers.  The time outlasts several store outages in a row.
ENTRY_RETENTION_S = 60.0
# With fewer entries than this in a caller's zone, entries of the region are
# recommended as well.
RECOMMENDED_MIN = 2
_FIELD_COUNT = 8
_FIELD_TYPES = (str, str, str, str, str, int | float, bool, list)
# Higher link rates are taken for malformed.
_MAX_LINK_MBPS = 1e6


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """What an entry announces about itself.

    ``address`` is for callers and ``peer_address`` for other entries.
    ``cpu_cores`` is its processor share; the entries with the largest share
    of a zone read the store.  ``unreached`` names the services of which it
    reaches no endpoint.  ``load_factor`` is below 1 while the entry is
    overloaded, and ``link_mbps`` is the rate of its link, 0 if not known.
    """

    name: str
    zone: str
    region: str
    address: str
    peer_address: str
    cpu_cores: float
    is_ready: bool
    unreached: tuple[str, ...] = ()
    load_factor: float = 1
    link_mbps: float = 0

    def fields(self) -> list[object]:
        """Return the record as a list of plain values.

        The load factor and the link rate are written only if they are below 1
        and known, so that the records of other entries stay as short as before.
        """
        fields = [
            self.name,
            self.zone,
            self.region,
            self.address,
            self.peer_address,
            self.cpu_cores,
            self.is_ready,
            list(self.unreached),
        ]
        if self.link_mbps > 0:
            return [*fields, self.load_factor, self.link_mbps]
        return [*fields, self.load_factor] if self.load_factor < 1 else fields


def decode_entry(fields: object) -> Result[EntryRecord, str]:
    """Return the entry that a list of plain values describes.

    Further values are those of a later build, and are ignored.  A malformed
    load factor or link rate counts as missing.

    >>> decode_entry([]).failure()
    'expected a list of eight fields'
    """
    if not isinstance(fields, list) or len(fields) < _FIELD_COUNT:
        return Failure('expected a list of eight fields')
    known = fields[:_FIELD_COUNT]
    if not all(map(isinstance, known, _FIELD_TYPES)):
        return Failure('a field is of another type')
    record = EntryRecord(*known[:-1])
    added = fields[_FIELD_COUNT:]
    return Success(
        replace(
            record,
            unreached=tuple(map(str, known[-1])),
            load_factor=_number_at(added, 0, 1, default=1),
            link_mbps=_number_at(added, 1, _MAX_LINK_MBPS, default=0),
        )
    )


def _number_at(
    fields: list[object],
    position: int,
    upper: float,
    default: float,
) -> float:
    """Return a number above 0 and up to ``upper``, or the default."""
    field = fields[position] if position < len(fields) else None
    if isinstance(field, bool) or not isinstance(field, int | float):
        return default
    return field if 0 < field <= upper else default


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat of a reader: itself, the entries it feeds, and their work.

    ``demand`` has the encoded sums of their demand, if any service asks for it.
    """

    entries: list[EntryRecord]
    work: WorkByEndpoint = field(default_factory=dict)
    demand: bytes | None = None

    def encode(self) -> bytes:
        """Return the heartbeat as a log record."""
        listed = [entry.fields() for entry in self.entries]
        fields: list[object] = [listed, encode_work(self.work)]
        if self.demand is not None:
            fields.append(self.demand)
        return bytes(cbor2.dumps(fields))


def decode_heartbeat(raw: bytes) -> Result[Heartbeat, str]:
    """Return the heartbeat in a log record, or why it is malformed."""
    try:
        return Success(_read_heartbeat(raw))
    except (ValueError, TypeError, AttributeError) as exc:
        return Failure(f'not a heartbeat: {exc}')


def _read_heartbeat(raw: bytes) -> Heartbeat:
    listed, work, *further = decode_cbor(raw)
    decoded = map(decode_entry, listed)
    entries = [
        entry.unwrap() for entry in decoded if isinstance(entry, Success)
    ]
    return Heartbeat(entries, decode_work(work), raw_field(further))


ReceivedList = tuple[list[EntryRecord], float]


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """The entries and the encoded demand in the heartbeat of a reader."""

    reader: str
    entries: list[EntryRecord]
    demand: bytes | None
    received_at: float


class EntryTable:
    """The latest list of each reader, with the time of its reception."""

    def __init__(self) -> None:
        """Start without lists."""
        self._lists: dict[str, ReceivedList] = {}
        self._readers: dict[str, EntryRecord] = {}
        self._work: dict[str, WorkByEndpoint] = {}
        # The ready entries, and when the first list that they are on expires.
        self._ready: list[EntryRecord] = []
        self._ready_until = float('-inf')
        self._demand: dict[str, bytes | None] = {}

    def record_heartbeat(
        self,
        reader: str,
        heartbeat: Heartbeat,
        now: float,
    ) -> None:
        """Replace a reader's list and work."""
        self._ready_until = float('-inf')
        self._lists[reader] = (heartbeat.entries, now)
        self._work[reader] = heartbeat.work
        self._demand[reader] = heartbeat.demand
        self._readers.pop(reader, None)
        self._readers.update(
            (reader, entry)
            for entry in heartbeat.entries
            if entry.name == reader
        )

    def remove(self, reader: str) -> None:
        """Drop a reader's list, work and demand."""
        self._ready_until = float('-inf')
        self._lists.pop(reader, None)
        self._readers.pop(reader, None)
        self._work.pop(reader, None)
        self._demand.pop(reader, None)

    def ready(self, now: float) -> list[EntryRecord]:
        """Return the entries that serve callers.

        Each choice of a chain asks this, so the list is kept while it holds.
        """
        if now > self._ready_until:
            self._find_ready(now)
        return self._ready

    def _find_ready(self, now: float) -> None:
        """Find the entries on current lists, and until when this holds."""
        current = [
            (entries, received_at + ENTRY_LIST_TIMEOUT_S)
            for entries, received_at in self._lists.values()
            if now - received_at <= ENTRY_LIST_TIMEOUT_S
        ]
        by_name = {
            entry.name: entry
            for entry in chain.from_iterable(entries for entries, _ in current)
            if entry.is_ready
        }
        self._ready = list(by_name.values())
        self._ready_until = min(
            (expiry for _, expiry in current), default=float('inf')
        )

    def readers(self, now: float) -> list[EntryRecord]:
        """Return the entries that read the store, most preferred first.

        The time does not grow with the number of entries that they list, as
        an idle entry asks this dozens of times a second.
        """
        readers = [
            entry
            for reader, entry in self._readers.items()
            if entry.is_ready
            and now - self._lists[reader][1] <= ENTRY_LIST_TIMEOUT_S
        ]
        return sorted(readers, key=reader_rank)

    def recent_readers(self, now: float) -> list[EntryRecord]:
        """Return who read the store a short time ago, the last heard of first.

        They need not be ready, as none is in a long outage of the store.
        """
        times = {name: at for name, (_, at) in self._lists.items()}
        recent = [
            entry
            for reader, entry in self._readers.items()
            if now - times[reader] <= ENTRY_RETENTION_S
        ]
        return sorted(
            recent, key=lambda entry: (-times[entry.name], reader_rank(entry))
        )

    def work_of_other_readers(
        self,
        reader: str,
        now: float,
    ) -> dict[str, Work]:
        """Return the work that all readers except ``reader`` announced."""
        return sum_work(
            self._work[name]
            for name, (_, received_at) in self._lists.items()
            if name != reader and now - received_at <= ENTRY_LIST_TIMEOUT_S
        )

    def heartbeats_of_others(
        self, reader: str, now: float
    ) -> list[ReceivedHeartbeat]:
        """Return the current heartbeats of all readers except ``reader``."""
        return [
            ReceivedHeartbeat(name, entries, self._demand[name], received_at)
            for name, (entries, received_at) in self._lists.items()
            if name != reader and now - received_at <= ENTRY_LIST_TIMEOUT_S
        ]

    def recently_ready(self, zone: str, now: float) -> list[EntryRecord]:
        """Return the entries of a zone that were ready a short time ago."""
        retained = self._retained(now)
        return [entry for entry in retained if entry.zone == zone]

    def _retained(self, now: float) -> list[EntryRecord]:
        by_name = {
            entry.name: entry
            for entries, received_at in self._lists.values()
            if now - received_at <= ENTRY_RETENTION_S
            for entry in entries
            if entry.is_ready
        }
        return list(by_name.values())

    def recommended_addresses(
        self,
        region: str,
        zone: str,
        now: float,
        limit: int,
    ) -> list[str]:
        """Return up to ``limit`` addresses for a caller without an address."""
        scope = self.recommended_scope(region, zone, now)
        return advised_addresses(scope, '', limit)

    def recommended_scope(
        self,
        region: str,
        zone: str,
        now: float,
    ) -> list[EntryRecord]:
        """Return the entries that are considered for a caller.

        Entries of the caller's zone are preferred, then those of its region,
        then all: a wider scope is used if the narrower one has fewer than
        ``RECOMMENDED_MIN`` entries.  Those that are cut off from a service
        are left out.
        """
        # In a store outage no list is current.  The entries listed last can
        # still serve requests that need no key.
        ready = _with_reach(self.ready(now) or self._retained(now))
        scopes = (
            [entry for entry in ready if entry.zone == zone],
            [entry for entry in ready if entry.region == region],
            ready,
        )
        for scope in scopes:
            if len(scope) >= RECOMMENDED_MIN:
                return scope
        return ready


def _with_reach(entries: list[EntryRecord]) -> list[EntryRecord]:
    """Return the entries that reach all services, or all if none does."""
    return [entry for entry in entries if not entry.unreached] or entries


def reader_rank(entry: EntryRecord) -> tuple[float, str]:
    """Return the sort key of the order in which entries become readers."""
    return -entry.cpu_cores, entry.name
