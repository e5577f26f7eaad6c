"""Client for the platform's engine protocol: load reports and orders."""

from typing import Any

import orjson
from returns.result import Failure, Result, Success

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement import EngineReport
from foxtailhatch.placement.protocols import (
    REPORT_TIMEOUT_S,
    EngineFault,
    OnNotice,
    OrderOutcome,
    Reroute,
    RerouteReply,
)
from foxtailhatch.platform import names
from foxtailhatch.platform.endpoints import decode_report
from foxtailhatch.platform.requests import decode_notice
from foxtailhatch.relay.http_client import HttpCall, HttpClient, HttpResponse
from foxtailhatch.relay.http_connection import TransportFailure

ORDER_TIMEOUT_S = 0.5
STATUS_OK = 200
_OUTCOMES = {
    200: OrderOutcome.ALREADY_HELD,
    202: OrderOutcome.STARTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
}

_FAULTS = {
    TransportFailure.NOT_CONNECTED: EngineFault.NOT_CONNECTED,
    TransportFailure.UNCONNECTED: EngineFault.UNCONNECTED,
}


class HttpEngineClient:
    """Call engines over HTTP with a new connection for each call."""

    def __init__(self, reactor: Any) -> None:
        """Open connections with ``reactor``."""
        self._reactor = reactor
        self._on_notice: OnNotice | None = None

    def notify(self, on_notice: OnNotice) -> None:
        """Call ``on_notice`` with what engines say of themselves."""
        self._on_notice = on_notice

    async def report(
        self,
        endpoint: LiveEndpoint,
        timeout_s: float = REPORT_TIMEOUT_S,
    ) -> Result[EngineReport, EngineFault]:
        """Return the load report of an engine, or the fault of the call."""
        call = HttpCall('GET', names.REPORT_PATH, timeout_s=timeout_s)
        outcome = await self._call(endpoint, call)
        if not isinstance(outcome, Success):
            return Failure(
                _FAULTS.get(outcome.failure(), EngineFault.NO_RESPONSE)
            )
        response = outcome.unwrap()
        if response.status != STATUS_OK:
            return Failure(EngineFault.MALFORMED)
        return decode_report(response.body).alt(
            lambda _: EngineFault.MALFORMED,
        )

    async def place(
        self,
        endpoint: LiveEndpoint,
        layers: LayerRange,
        fence: int,
        expected_orders: int,
    ) -> OrderOutcome:
        """Order an engine to load ``layers`` and unload all others."""
        order = {
            'op': 'place',
            'from': layers.first,
            'to': layers.end,
            'drain_mode': 'wait',
            'fencing_token': fence,
            # The engine rejects the order unless it has accepted exactly this
            # number of orders so far.
            'expected': expected_orders,
        }
        outcome = await self._order(endpoint, order)
        return _outcome(outcome)

    async def reroute(
        self, head: LiveEndpoint, reroute: Reroute
    ) -> RerouteReply:
        """Order the head of a chain to continue a request on another chain."""
        parts = (
            f'{address}={first}-{end}' for address, first, end in reroute.chain
        )
        order = {
            'op': 'repath',
            'id': reroute.request_id,
            'path': ','.join(parts),
        }
        outcome = await self._order(head, order)
        if not isinstance(outcome, Success):
            reason = outcome.failure().value
            return RerouteReply(OrderOutcome.NO_ANSWER, reason=reason)
        address = _failed_address(outcome.unwrap())
        return RerouteReply(
            _outcome(outcome),
            address.unwrap() if isinstance(address, Success) else None,
            reason=address.swap().value_or(None),
        )

    async def _order(
        self,
        endpoint: LiveEndpoint,
        order: dict[str, Any],
    ) -> Result[HttpResponse, TransportFailure]:
        call = HttpCall(
            'POST',
            names.ORDER_PATH,
            orjson.dumps(order),
            ORDER_TIMEOUT_S,
        )
        return await self._call(endpoint, call)

    async def _call(
        self,
        endpoint: LiveEndpoint,
        call: HttpCall,
    ) -> Result[HttpResponse, TransportFailure]:
        http_client = HttpClient(self._reactor, endpoint.address, max_idle=0)
        outcome = await http_client.call(call)
        if self._on_notice is not None and isinstance(outcome, Success):
            self._on_notice(endpoint, decode_notice(outcome.unwrap().head))
        return outcome


def _outcome(outcome: Result[HttpResponse, TransportFailure]) -> OrderOutcome:
    if not isinstance(outcome, Success):
        return OrderOutcome.NO_ANSWER
    status = outcome.unwrap().status
    return _OUTCOMES.get(status, OrderOutcome.REFUSED)


def _failed_address(response: HttpResponse) -> Result[str | None, str]:
    """Return the failed endpoint named in a response, if any."""
    if not response.body:
        return Success(None)
    try:
        document = orjson.loads(response.body)
    except ValueError as exc:
        return Failure(f'response is not valid JSON: {exc}')
    address = document.get('address') if isinstance(document, dict) else None
    if address is None or isinstance(address, str):
        return Success(address)
    return Failure('address in the response is not a string')
