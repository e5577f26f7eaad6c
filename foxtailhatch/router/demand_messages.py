"""Wire format of reports and sums of demand.

Both are CBOR within a byte string, a further field of a message between
entries.  So a malformed one, however deeply nested, does not affect the rest of
the message, and its size is checked before it is decoded.

Sums are ``{service: {zone: demand}}``, where demand is ``[[[rank, waiting,
running, starts, refusals, tokens], ...], crossings, {account: running
tokens}]``.  Starts, refusals and crossings are in tenths a second.  A report is
``[{service: demand}, number]``, and the demand in a response ``[sums, number]``:
the sums of all entries as a byte string, and the number of the asking entry's
report that they include, which it takes off itself.  So a reader encodes the
sums once for all entries.  Fields after these are those of a later build, and
are ignored.
"""

from collections.abc import Callable, Container, Iterator, Mapping
from dataclasses import dataclass, field
from operator import truediv
from typing import Any, TypeVar

import cbor2

from foxtailhatch.core.cbor import decode_cbor
from foxtailhatch.fleet.demand import (
    MAX_REPORTED_ACCOUNTS,
    DemandByService,
    DemandByZone,
    RankDemand,
    ServiceDemand,
    largest_accounts,
)
from foxtailhatch.relay.structured_log import StructuredLog

# Size of what this build sends.
MAX_SENT_BYTES = 600
# Bounds on what is accepted of other entries, which may be later builds.
MAX_RECEIVED_BYTES = 4096
MAX_VALUE = 1e9
MAX_SERVICES = 64
MAX_ZONES = 64
MAX_RANKS = 16
MAX_ACCOUNTS = 64
# A sender repeats its faults with each message, twice a second.
FAULT_LOG_PERIOD_S = 60.0
MAX_LOGGED_SENDERS = 1024
MAX_LOGGED_FAULTS = 4
MAX_SHOWN_LENGTH = 60
# What stands for a further field that is no byte string; it is not readable.
UNREADABLE = b''

# Accounts of all zones in sums, and of one zone.
MAX_SENT_ACCOUNTS = 16
MAX_ZONE_ACCOUNTS = 8
# Bytes of a response or report around the demand, at most.
FRAME_BYTES = 16
MAX_NUMBER = 4_294_967_296

# Parts of the accounts, and numbers of ranks that are sent, the first that fit.
_DETAILS = (
    (1.0, MAX_RANKS),
    (0.5, MAX_RANKS),
    (0, MAX_RANKS),
    (0, 4),
    (0, 1),
)
_TENTHS = 10
_RANK_FIELDS = 6
_DEMAND_FIELDS = 3
_FRAME_FIELDS = 2

Encoded = list[Any]
# Demand with the number of a report.
Report = tuple[dict[str, ServiceDemand], int | None]
Sums = tuple[dict[str, dict[str, ServiceDemand]], int | None]
_PartT = TypeVar('_PartT')
_FieldsT = TypeVar('_FieldsT', dict[Any, Any], list[Any])


def raw_field(further: list[Any]) -> bytes | None:
    """Return the demand in the fields after those that each message has.

    It is ``None`` if the sender reports nothing.
    """
    first = further[0] if further else None
    if first is None or isinstance(first, bytes):
        return first
    return UNREADABLE


def encode_report(report: DemandByService, number: int = 0) -> bytes:
    """Return the report of an entry, in less detail if it is large."""
    return _encode_that_fits(
        report,
        lambda kept, detail: [
            {
                service: encode_demand(
                    kept[service], MAX_REPORTED_ACCOUNTS * detail[0], detail[1]
                )
                for service in kept
            },
            number,
        ],
        lambda demand: demand.total.tokens_per_s,
    )


def encode_sums(sums: DemandByZone) -> bytes:
    """Return the sums of zones, in less detail if they are large."""
    per_zone = max(1, MAX_SENT_ACCOUNTS // max(1, len(sums)))
    per_zone = min(per_zone, MAX_ZONE_ACCOUNTS)
    by_service: dict[str, dict[str, ServiceDemand]] = {}
    for zone, services in sums.items():
        for service, demand in services.items():
            by_service.setdefault(service, {})[zone] = demand
    return _encode_that_fits(
        by_service,
        lambda kept, detail: {
            name: _encode_zones(zones, per_zone * detail[0], detail[1])
            for name, zones in kept.items()
        },
        _tokens_per_s,
    )


def encode_response(sums: bytes, number: int | None) -> bytes:
    """Return encoded sums with the number of the report they include."""
    return bytes(cbor2.dumps([sums, number]))


def _encode_zones(
    zones: Mapping[str, ServiceDemand], max_accounts: float, max_ranks: int
) -> dict[str, Encoded]:
    return {
        zone: encode_demand(demand, max_accounts, max_ranks)
        for zone, demand in zones.items()
    }


def _tokens_per_s(zones: Mapping[str, ServiceDemand]) -> float:
    return sum(demand.total.tokens_per_s for demand in zones.values())


def _encode_that_fits(
    parts: Mapping[str, _PartT],
    encode: Callable[[Mapping[str, _PartT], tuple[float, int]], Any],
    size_of: Callable[[_PartT], float],
) -> bytes:
    """Return the first encoding that leaves room for the frame of a response.

    Details are left out first, then the services with the least demand.
    """
    for detail in _DETAILS:
        raw = bytes(cbor2.dumps(encode(parts, detail)))
        if len(raw) <= MAX_SENT_BYTES - FRAME_BYTES:
            return raw
    by_size = sorted(parts, key=lambda name: size_of(parts[name]))
    kept = dict(parts)
    for name in by_size:
        kept.pop(name)
        raw = bytes(cbor2.dumps(encode(kept, _DETAILS[-1])))
        if len(raw) <= MAX_SENT_BYTES - FRAME_BYTES:
            return raw
    return raw


def encode_demand(
    demand: ServiceDemand, max_accounts: float, max_ranks: int
) -> Encoded:
    """Return demand as plain values, with limits on accounts and ranks.

    Ranks beyond the limit are added to the last one.
    """
    ranks = _limited_ranks(demand.ranks, max_ranks)
    accounts = largest_accounts(demand.accounts, int(max_accounts))
    return [
        [_encode_rank(rank, one) for rank, one in ranks.items()],
        round(demand.crossings_per_s * _TENTHS),
        {name: round(tokens) for name, tokens in accounts.items()},
    ]


def _limited_ranks(
    ranks: Mapping[int, RankDemand], limit: int
) -> dict[int, RankDemand]:
    kept = {rank: one for rank, one in ranks.items() if rank < limit}
    beyond = [one for rank, one in ranks.items() if rank >= limit]
    for one in beyond:
        kept[limit - 1] = one.plus(kept.get(limit - 1, RankDemand()))
    return kept


def _encode_rank(rank: int, demand: RankDemand) -> list[int]:
    return [
        rank,
        round(demand.waiting),
        round(demand.running),
        round(demand.starts_per_s * _TENTHS),
        round(demand.refusals_per_s * _TENTHS),
        round(demand.tokens_per_s),
    ]


@dataclass(slots=True)
class DemandDecoder:
    """Decode one message; what is malformed is left out and noted.

    Only services in ``known`` are accepted.
    """

    known: Container[str]
    faults: list[str] = field(default_factory=list)

    def report(self, raw: bytes) -> Report | None:
        """Return the report of an entry; ``None`` if it is not readable."""
        framed = self._decode(raw, list)
        if framed is None or len(framed) < _FRAME_FIELDS:
            self._note_unreadable()
            return None
        services, number = framed[:_FRAME_FIELDS]
        demand = {
            service: of_service
            for service, fields in self._entries(services, MAX_SERVICES)
            if self._is_known(service)
            and (of_service := self._demand(fields, service)) is not None
        }
        return demand, self._number(number)

    def response(self, raw: bytes) -> Sums | None:
        """Return the sums of a response, and the number of a report."""
        framed = self._decode(raw, list)
        if framed is None or len(framed) < _FRAME_FIELDS:
            self._note_unreadable()
            return None
        encoded, number = framed[:_FRAME_FIELDS]
        if not isinstance(encoded, bytes):
            self._note_unreadable()
            return None
        sums = self.sums(encoded)
        return None if sums is None else (sums, self._number(number))

    def sums(self, raw: bytes) -> dict[str, dict[str, ServiceDemand]] | None:
        """Return the sums of all zones; ``None`` if they are not readable."""
        services = self._decode(raw, dict)
        if services is None:
            self._note_unreadable()
            return None
        sums: dict[str, dict[str, ServiceDemand]] = {}
        for service, zones in self._entries(services, MAX_SERVICES):
            for zone, demand in self._zones(service, zones):
                sums.setdefault(zone, {})[service] = demand
        return sums

    def _zones(
        self, service: Any, fields: Any
    ) -> Iterator[tuple[str, ServiceDemand]]:
        if not self._is_known(service):
            return
        for zone, of_zone in self._entries(fields, MAX_ZONES):
            demand = self._demand(of_zone, service)
            if not isinstance(zone, str):
                self.faults.append(f'zone {_shown(zone)}')
            elif demand is not None:
                yield zone, demand

    def _decode(self, raw: bytes, kind: type[_FieldsT]) -> _FieldsT | None:
        if len(raw) > MAX_RECEIVED_BYTES:
            self.faults.append(f'{len(raw)} bytes')
            return None
        decoded = decode_cbor(raw)
        return decoded if isinstance(decoded, kind) else None

    def _note_unreadable(self) -> None:
        if not self.faults:
            self.faults.append('not readable')

    def _number(self, number: Any) -> int | None:
        """Return the number of a report, or ``None`` if there is none."""
        is_number = isinstance(number, int) and not isinstance(number, bool)
        if is_number and 0 <= number < MAX_NUMBER:
            return int(number)
        if number is not None:
            self.faults.append(f'number {_shown(number)}')
        return None

    def _entries(self, fields: Any, limit: int) -> list[tuple[Any, Any]]:
        """Return the entries of a map; none if it is no map or too large."""
        if isinstance(fields, dict) and len(fields) <= limit:
            return list(fields.items())
        size = len(fields) if isinstance(fields, dict) else 'no map'
        self.faults.append(f'{size} instead of at most {limit} entries')
        return []

    def _is_known(self, service: Any) -> bool:
        if isinstance(service, str) and service in self.known:
            return True
        self.faults.append(f'unknown service {_shown(service)}')
        return False

    def _demand(self, fields: Any, service: str) -> ServiceDemand | None:
        if not isinstance(fields, list) or len(fields) < _DEMAND_FIELDS:
            self.faults.append(f'no demand for {service}')
            return None
        ranks, crossings, accounts = fields[:_DEMAND_FIELDS]
        crossings_are_valid = _is_number(crossings)
        if not crossings_are_valid:
            self.faults.append(f'crossings {_shown(crossings)}')
        return ServiceDemand(
            self._ranks(ranks),
            self._accounts(accounts),
            crossings / _TENTHS if crossings_are_valid else 0,
        )

    def _ranks(self, fields: Any) -> dict[int, RankDemand]:
        if not isinstance(fields, list) or len(fields) > MAX_RANKS:
            self.faults.append(f'no list of at most {MAX_RANKS} ranks')
            return {}
        ranks = {}
        for numbers in fields:
            decoded = _decode_rank(numbers)
            if decoded is None or decoded[0] in ranks:
                self.faults.append(f'rank {_shown(numbers)}')
            else:
                rank, demand = decoded
                ranks[rank] = demand
        return ranks

    def _accounts(self, fields: Any) -> dict[str, float]:
        accounts = {}
        for name, tokens in self._entries(fields, MAX_ACCOUNTS):
            if isinstance(name, str) and _is_number(tokens):
                accounts[name] = tokens
            else:
                self.faults.append(f'account {_shown(name)}: {_shown(tokens)}')
        return accounts


def _decode_rank(fields: Any) -> tuple[int, RankDemand] | None:
    if not isinstance(fields, list) or len(fields) < _RANK_FIELDS:
        return None
    rank, *numbers = fields[:_RANK_FIELDS]
    if not _is_rank(rank) or not all(map(_is_number, numbers)):
        return None
    scales = (1, 1, _TENTHS, _TENTHS, 1)
    return rank, RankDemand(*map(truediv, numbers, scales))


def _is_number(number: Any) -> bool:
    """Return whether a value is a number that demand can have."""
    if isinstance(number, bool) or not isinstance(number, int | float):
        return False
    return 0 <= number <= MAX_VALUE


def _shown(received: Any) -> str:
    """Return the beginning of a received value for the log."""
    try:
        return repr(received)[:MAX_SHOWN_LENGTH]
    except ValueError:
        # Integers of thousands of digits are not converted to text.
        return 'a large number'


def _is_rank(rank: Any) -> bool:
    if isinstance(rank, bool) or not isinstance(rank, int):
        return False
    return 0 <= rank < MAX_RANKS


class DemandReceiver:
    """Decode the demand that other entries send, and log what is malformed."""

    def __init__(
        self, known: Callable[[], Container[str]], log: StructuredLog
    ) -> None:
        """Accept the services that ``known`` returns."""
        self._known = known
        self._log = log
        self._logged_at: dict[str, float] = {}

    def report(
        self, raw: bytes | None, sender: str, now: float
    ) -> Report | None:
        """Return the report of an entry; ``None`` if it reports nothing."""
        if raw is None:
            return None
        decoder = DemandDecoder(self._known())
        report = decoder.report(raw)
        self._note(decoder.faults, sender, now)
        return report

    def response(
        self, raw: bytes | None, sender: str, now: float
    ) -> Sums | None:
        """Return the sums in a response; ``None`` if it has none."""
        if raw is None:
            return None
        decoder = DemandDecoder(self._known())
        sums = decoder.response(raw)
        self._note(decoder.faults, sender, now)
        return sums

    def sums(
        self, raw: bytes | None, sender: str, now: float
    ) -> dict[str, dict[str, ServiceDemand]] | None:
        """Return the sums that another entry sent; ``None`` if it sent none."""
        if raw is None:
            return None
        decoder = DemandDecoder(self._known())
        sums = decoder.sums(raw)
        self._note(decoder.faults, sender, now)
        return sums

    def _note(self, faults: list[str], sender: str, now: float) -> None:
        """Log the first faults, once in ``FAULT_LOG_PERIOD_S`` for a sender."""
        if not faults:
            return
        if len(self._logged_at) > MAX_LOGGED_SENDERS:
            self._logged_at.clear()
        logged_at = self._logged_at.get(sender, float('-inf'))
        if now - logged_at < FAULT_LOG_PERIOD_S:
            return
        self._logged_at[sender] = now
        self._log.write(
            'demand_dropped',
            peer=sender,
            count=len(faults),
            why=faults[:MAX_LOGGED_FAULTS],
        )
