"""Decode the endpoint records of the store and the engines' reports."""

import re
from dataclasses import replace
from functools import lru_cache
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointState, LiveEndpoint
from foxtailhatch.placement import EngineReport, StalledRequest

# Numbers beyond these are of no endpoint.  Records are passed on as JSON numbers,
# which are exact up to 53 bits, and sizes are used as such.
MAX_COUNT = 9_007_199_254_740_992
MAX_SLOTS = 1_000_000
MAX_LAYERS = 1_000_000
MAX_PORT = 65_535
LAST_LATIN = 255
# Most records of an endpoint differ from the last one only in the number of the
# heartbeat.  Put in the place of that number, this one gives them equal bytes.
_ANY_HEARTBEAT = MAX_COUNT - 1
_HEARTBEAT = re.compile(rb'"seq": ?(0|[1-9][0-9]{0,14})(?=[,}])')
# Records that are kept decoded: some for each of the endpoints at the target size.
KEPT_RECORDS = 4096
_Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]
_STATES = {
    'ready': EndpointState.READY,
    'draining': EndpointState.DRAINING,
}


class _Document(BaseModel):
    """A platform document; types are not converted, unknown fields ignored."""

    model_config = ConfigDict(extra='ignore', frozen=True, strict=True)


class _EndpointRecord(_Document):
    """What an endpoint says of itself; one without a listed field is another's."""

    service: str
    address: str
    zone: str
    # The version of its software.
    version: str | _Count
    slots: Annotated[int, Field(ge=0, le=MAX_SLOTS)]
    state: str
    cold_left_ms: Annotated[float, Field(ge=0)]
    born: _Count = 0
    # Number of the heartbeat that wrote the record; in a report the same name
    # holds the number of accepted orders.
    seq: _Count
    layers: Any = None
    # Accelerator kind; in a route the same name says whether requests may
    # be repeated.
    route_kind: str = ''


class _StalledRequest(_Document):
    id: str
    address: str


class _Report(_Document):
    busy: bool = False
    # Number of accepted orders; an order repeats it as ``expected``.
    seq: _Count = 0
    born: _Count = 0
    queued: _Count = 0
    active: _Count = 0
    # Both in tokens times layers.
    kv_used: float = 0
    kv_total: float = 0
    layers: Any = None
    stalled: tuple[_StalledRequest, ...] = ()


def decode_endpoint(name: str, raw: bytes) -> Result[LiveEndpoint, str]:
    """Return the endpoint described by a record of the endpoint topic."""
    numbers = _HEARTBEAT.findall(raw)
    if len(numbers) == 1:
        usual = _HEARTBEAT.sub(b'"seq":%d' % _ANY_HEARTBEAT, raw)
        decoded = _decode_usual(name, usual)
        if decoded is not None:
            return Success(replace(decoded, heartbeats=int(numbers[0])))
    return _decode_record(name, raw)


@lru_cache(maxsize=KEPT_RECORDS)
def _decode_usual(name: str, raw: bytes) -> LiveEndpoint | None:
    """Return the endpoint in a sound record without its own heartbeat number."""
    decoded = _decode_record(name, raw).value_or(None)
    # The number may be that of another object within the record.
    is_numbered = decoded and decoded.heartbeats == _ANY_HEARTBEAT
    return decoded if is_numbered else None


def _decode_record(name: str, raw: bytes) -> Result[LiveEndpoint, str]:
    try:
        record = _EndpointRecord.model_validate_json(raw)
    except ValidationError as exc:
        return Failure(_first_error(exc))
    fault = _fault(name, record)
    if fault is not None:
        return Failure(fault)
    return Success(
        LiveEndpoint(
            name=name,
            service=record.service,
            address=record.address,
            zone=record.zone,
            slots=record.slots,
            state=_STATES[record.state],
            layers=_layers(record.layers),
            accelerator_kind=record.route_kind,
            incarnation=record.born,
            heartbeats=record.seq,
        )
    )


def _fault(name: str, record: _EndpointRecord) -> str | None:
    """Return what no endpoint says of itself, if anything is."""
    if not _is_header_text(name):
        return f'name: expected printable Latin-1, got {name!r}'
    if record.state not in _STATES:
        return f'state: expected ready or draining, got {record.state!r}'
    if not _is_host_port(record.address):
        return f'address: expected host:port, got {record.address!r}'
    if not _has_plain_layers(record.layers):
        return f'layers: expected a range, got {record.layers!r}'
    return None


def decode_report(raw: bytes) -> Result[EngineReport, str]:
    """Return the load report of an engine."""
    try:
        report = _Report.model_validate_json(raw, strict=False)
    except ValidationError as exc:
        return Failure(_first_error(exc))
    return Success(
        EngineReport(
            is_busy=report.busy,
            orders=report.seq,
            layers=_layers(report.layers),
            waiting=report.queued,
            running=report.active,
            kv_used=report.kv_used,
            kv_total=report.kv_total,
            stalled=tuple(
                StalledRequest(request.id, request.address)
                for request in report.stalled
            ),
            incarnation=report.born,
        )
    )


def _is_header_text(name: str) -> bool:
    """Return whether a name may stand in a header of a request."""
    return name.isprintable() and all(
        ord(letter) <= LAST_LATIN for letter in name
    )


def _layers(document: Any) -> LayerRange | None:
    """Return the layer range from ``from`` to ``to`` (exclusive), if valid."""
    if not isinstance(document, dict) or not _has_plain_layers(document):
        return None
    first, end = document.get('from'), document.get('to')
    if first is None or end is None:
        return None
    return LayerRange(first, end) if end > first else None


def _has_plain_layers(document: Any) -> bool:
    """Return whether the bounds of layers, if there are any, are in range."""
    if not isinstance(document, dict):
        return True
    bounds = (document.get('from', 0), document.get('to', 0))
    return all(
        isinstance(bound, int)
        and not isinstance(bound, bool)
        and 0 <= bound <= MAX_LAYERS
        for bound in bounds
    )


def _is_host_port(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    is_number = port.isascii() and port.isdigit()
    return is_number and 0 < int(port[:6]) <= MAX_PORT


def _first_error(exc: ValidationError) -> str:
    error = exc.errors()[0]
    location = '.'.join(str(part) for part in error['loc'])
    return f'{location}: {error["msg"]}'
