"""Decode what endpoints write to the store and report when asked."""

from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointState, LiveEndpoint
from foxtailhatch.placement import EngineReport, StalledRequest

_STATES = {
    'ready': EndpointState.READY,
    'draining': EndpointState.DRAINING,
}


class _Document(BaseModel):
    """A document of another writer; types are not converted."""

    model_config = ConfigDict(extra='ignore', frozen=True, strict=True)


class _Listed(_Document):
    service: str
    address: str
    zone: str
    slots: int = 0
    state: str
    born: int = 0
    layers: Any = None
    # Here the kind of the accelerator; in a route, what may be repeated.
    route_kind: str = ''


class _Stalled(_Document):
    id: str
    address: str


class _Report(_Document):
    busy: bool = False
    # The number of orders accepted, which an order names as ``expected``.
    seq: int = 0
    born: int = 0
    queued: int = 0
    active: int = 0
    # Tokens times layers, as is the total.
    kv_used: float = 0
    kv_total: float = 0
    layers: Any = None
    stalled: tuple[_Stalled, ...] = ()


def decode_endpoint(name: str, raw: bytes) -> Result[LiveEndpoint, str]:
    """Return the endpoint that a record of the list describes."""
    try:
        listed = _Listed.model_validate_json(raw)
    except ValidationError as exc:
        return Failure(_first_fault(exc))
    state = _STATES.get(listed.state)
    if state is None:
        return Failure(f'state {listed.state!r} is not known')
    if not _is_address(listed.address):
        return Failure(f'address {listed.address!r} is not host:port')
    return Success(
        LiveEndpoint(
            name=name,
            service=listed.service,
            address=listed.address,
            zone=listed.zone,
            slots=listed.slots,
            state=state,
            layers=_layers(listed.layers),
            accelerator_kind=listed.route_kind,
            incarnation=listed.born,
        )
    )


def decode_report(raw: bytes) -> Result[EngineReport, str]:
    """Return what an engine reports of itself."""
    try:
        report = _Report.model_validate_json(raw, strict=False)
    except ValidationError as exc:
        return Failure(_first_fault(exc))
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
                StalledRequest(one.id, one.address) for one in report.stalled
            ),
        )
    )


def _layers(found: Any) -> LayerRange | None:
    """Return the range of ``from`` (included) to ``to`` (not included)."""
    if not isinstance(found, dict):
        return None
    first, end = found.get('from'), found.get('to')
    if not isinstance(first, int) or not isinstance(end, int):
        return None
    return LayerRange(first, end) if end > first else None


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    return bool(host) and port.isdigit()


def _first_fault(exc: ValidationError) -> str:
    fault = exc.errors()[0]
    place = '.'.join(str(part) for part in fault['loc'])
    return f'{place}: {fault["msg"]}'
