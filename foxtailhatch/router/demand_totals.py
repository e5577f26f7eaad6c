"""Sum the demand that all entries report, by zone.

An entry that reads the store adds up the reports of the entries that it feeds,
and the sums in the heartbeats of the other readers.  An entry that reports
nothing is of an earlier build and counts as one with mean demand.
"""

from collections import Counter

from foxtailhatch.fleet.demand import (
    DEMAND_TTL_S,
    DemandByService,
    DemandByZone,
    DemandSum,
    ServiceDemand,
)
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.demand_messages import (
    MAX_NUMBER,
    DemandReceiver,
    Report,
    encode_report,
    encode_response,
    encode_sums,
)
from foxtailhatch.router.entry_table import EntryRecord, ReceivedHeartbeat

# Heartbeats are written every 1.75 s at the latest and read every 0.5 s, so the
# next one is known after 2.25 s and two calls to the store.
HEARTBEAT_DEMAND_TTL_S = 2.5
# Sums are kept for this long: a reader responds to dozens of requests a second,
# and each entry reports twice a second.
SUM_PERIOD_S = 0.2
# Reports that an entry remembers: more than it sends while a reader uses one.
REMEMBERED_REPORTS = 32


class _Sums:
    """Sums of all entries, with the reports that they hold.

    ``counted`` is the number of entries with a report, ``missing`` that of the
    others, and ``overdue`` that of those whose reader has not written in time,
    by zone.
    """

    def __init__(self) -> None:
        self.zones: dict[str, dict[str, ServiceDemand]] = {}
        self.counted: Counter[str] = Counter()
        self.missing: Counter[str] = Counter()
        self.overdue: Counter[str] = Counter()
        self._parts: dict[str, dict[str, DemandSum]] = {}
        self._reports: dict[str, tuple[str, DemandByService]] = {}
        self._numbers: dict[str, int | None] = {}
        self._encoded: bytes | None = None

    def add_report(
        self,
        name: str,
        zone: str,
        demand: DemandByService,
        number: int | None = None,
    ) -> None:
        self._reports[name] = (zone, demand)
        self._numbers[name] = number
        self.add(zone, demand, 1)

    def add(
        self,
        zone: str,
        demand: DemandByService,
        entries: int,
        factor: float = 1,
    ) -> None:
        parts = self._parts.setdefault(zone, {})
        for service, of_service in demand.items():
            parts.setdefault(service, DemandSum()).add(of_service, factor)
        self.counted[zone] += entries

    @property
    def is_complete(self) -> bool:
        """Return whether something is known of each zone with ready entries."""
        return all(self.counted[zone] for zone in self.overdue)

    def finish(self) -> None:
        """Compute the sums.

        Each entry without a report adds the mean demand of the others: those
        of its zone, or those of all zones where none of its zone reports.
        """
        self.zones = self._results()
        missing = self.missing + self.overdue
        if not missing:
            return
        reported = dict(self.zones)
        counts = self.counted.copy()
        for zone, count in missing.items():
            if counts[zone]:
                share = count / counts[zone]
                self.add(zone, reported.get(zone, {}), 0, share)
            elif counts.total():
                share = count / counts.total()
                for demand in reported.values():
                    self.add(zone, demand, 0, share)
        self.zones = self._results()

    def encode_for(self, name: str) -> bytes:
        """Return the sums, with the number of an entry's report in them."""
        if self._encoded is None:
            self._encoded = encode_sums(self.zones)
        return encode_response(self._encoded, self._numbers.get(name))

    def excluding(self, name: str) -> DemandByZone:
        """Return the sums without the report of one entry."""
        if name not in self._reports:
            return self.zones
        return subtract_report(self.zones, *self._reports[name])

    def _results(self) -> dict[str, dict[str, ServiceDemand]]:
        return {
            zone: {service: part.result() for service, part in parts.items()}
            for zone, parts in self._parts.items()
        }


class DemandTotals:
    """The demand that each fed entry last reported, and its sums."""

    def __init__(self, board: Blackboard, log: StructuredLog) -> None:
        """Start without reports."""
        self._board = board
        self._receiver = DemandReceiver(board.known_services, log)
        self._reports: dict[str, tuple[EntryRecord, Report | None, float]] = {}
        self._parts: dict[str, tuple[bytes, DemandByZone | None]] = {}
        self._sums = _Sums()
        self._summed_at = float('-inf')

    def record_report(
        self, entry: EntryRecord, raw: bytes | None, now: float
    ) -> None:
        """Replace the report of an entry; ``None`` is a missing one."""
        report = None
        if self._board.features.reporting_services:
            report = self._receiver.report(raw, entry.name, now)
        self._reports[entry.name] = (entry, report, now)

    def of_fed(self, now: float) -> DemandByZone | None:
        """Return the sums of this entry and those that it feeds.

        It is ``None`` if no service asks for them.
        """
        own = self._board.own_demand_report()
        if own is None:
            return None
        sums = _Sums()
        self._add_reports(sums, own, now)
        sums.finish()
        return sums.zones

    def of_others(self, now: float) -> DemandByZone | None:
        """Return the sums of all entries except this one.

        It is ``None`` if no service asks for them, or if they are not valid:
        the heartbeats of the other readers have not been read in time, or the
        only one of a zone that is still listed has not been written in time.
        """
        sums = self._valid_sums(now)
        own_name = self._board.cfg.instance
        return None if sums is None else sums.excluding(own_name)

    def response_to(self, name: str, now: float) -> bytes | None:
        """Return the sums for another entry, encoded, if they are valid."""
        sums = self._valid_sums(now)
        return None if sums is None else sums.encode_for(name)

    def _valid_sums(self, now: float) -> _Sums | None:
        board = self._board
        confirmed_at = board.entries_confirmed_at
        is_confirmed = (
            confirmed_at is not None and now - confirmed_at <= DEMAND_TTL_S
        )
        if not board.features.reporting_services or not is_confirmed:
            return None
        if now - self._summed_at > SUM_PERIOD_S:
            self._sums = self._add_up(now)
            self._summed_at = now
        return self._sums if self._sums.is_complete else None

    def _add_up(self, now: float) -> _Sums:
        """Return the sums of all entries.

        An entry that has just changed its reader may be in two heartbeats, or
        in one and among those fed here.  Its latest report is kept, and the
        older heartbeat counts for its other entries only.
        """
        board = self._board
        sums = _Sums()
        self._add_reports(sums, board.own_demand_report() or {}, now)
        seen = {board.cfg.instance, *self._reports}
        heartbeats = sorted(
            board.entries.heartbeats_of_others(board.cfg.instance, now),
            key=lambda one: one.received_at,
            reverse=True,
        )
        for heartbeat in heartbeats:
            self._add_heartbeat(sums, heartbeat, seen, now)
        sums.finish()
        readers = {one.reader for one in heartbeats}
        self._parts = {
            reader: part
            for reader, part in self._parts.items()
            if reader in readers
        }
        return sums

    def _add_reports(
        self, sums: _Sums, own: DemandByService, now: float
    ) -> None:
        cfg = self._board.cfg
        sums.add_report(cfg.instance, cfg.zone, own)
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report[2] <= DEMAND_TTL_S
        }
        for name, (entry, report, _) in self._reports.items():
            if report is not None:
                demand, number = report
                sums.add_report(name, entry.zone, demand, number)
            elif entry.is_ready:
                sums.missing[entry.zone] += 1

    def _add_heartbeat(
        self,
        sums: _Sums,
        heartbeat: ReceivedHeartbeat,
        seen: set[str],
        now: float,
    ) -> None:
        listed_count = Counter(entry.zone for entry in heartbeat.entries)
        new = [entry for entry in heartbeat.entries if entry.name not in seen]
        seen.update(entry.name for entry in new)
        new_count = Counter(entry.zone for entry in new)
        ready_count = Counter(entry.zone for entry in new if entry.is_ready)
        if now - heartbeat.received_at > HEARTBEAT_DEMAND_TTL_S:
            sums.overdue.update(ready_count)
            return
        part = self._decode_part(heartbeat, now)
        if part is None:
            sums.missing.update(ready_count)
            return
        for zone in sorted({*part, *new_count}):
            share = 1.0
            if listed_count[zone]:
                share = new_count[zone] / listed_count[zone]
            sums.add(zone, part.get(zone, {}), new_count[zone], share)

    def _decode_part(
        self, heartbeat: ReceivedHeartbeat, now: float
    ) -> DemandByZone | None:
        """Return the sums in a heartbeat, which are decoded once."""
        raw = heartbeat.demand
        if raw is None:
            return None
        known = self._parts.get(heartbeat.reader)
        if known is None or known[0] is not raw:
            sums = self._receiver.sums(raw, heartbeat.reader, now)
            known = (raw, sums)
            self._parts[heartbeat.reader] = known
        return known[1]


class SentReports:
    """Encode the reports of this entry, and take them off the sums."""

    def __init__(self, zone: str) -> None:
        """Start without reports; this entry stands in ``zone``."""
        self._zone = zone
        self._number = 0
        self._sent: dict[int, DemandByService] = {}

    def encode(self, report: DemandByService | None) -> bytes | None:
        """Return a report as it is sent; ``None`` if there is none."""
        if report is None:
            return None
        self._number = (self._number + 1) % MAX_NUMBER
        self._sent[self._number] = report
        if len(self._sent) > REMEMBERED_REPORTS:
            self._sent.pop(next(iter(self._sent)))
        return encode_report(report, self._number)

    def exclude(self, sums: DemandByZone, number: int | None) -> DemandByZone:
        """Return sums without the report of that number, which they include.

        One that is not remembered was sent before a restart; the latest is the
        best estimate of it.
        """
        if number is None:
            return sums
        report = self._sent.get(number, self._sent.get(self._number, {}))
        return subtract_report(sums, self._zone, report)


def subtract_report(
    sums: DemandByZone, zone: str, report: DemandByService
) -> DemandByZone:
    """Return sums without the report of an entry of a zone."""
    others = {
        service: demand.without(report[service])
        if service in report
        else demand
        for service, demand in sums.get(zone, {}).items()
    }
    return {**sums, zone: others} if others else sums


def encoded_sums(sums: DemandByZone | None) -> bytes | None:
    """Return sums as they are sent, or ``None`` if there are none."""
    return None if sums is None else encode_sums(sums)
