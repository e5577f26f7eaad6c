"""Client of model engines over HTTP and JSON."""

from functools import partial
from itertools import count
from typing import Final
from uuid import uuid4

from pydantic import TypeAdapter
from returns.result import Result

from foxtailhatch.core import Address, Endpoint, LoadReport
from foxtailhatch.outside.first_fault import first_fault_only
from foxtailhatch.outside.http_client import (
    RESPONSE_TIMEOUT_S,
    HttpCall,
    HttpClient,
)
from foxtailhatch.outside.json_responses import parse_response
from foxtailhatch.outside.protocols import (
    CachePage,
    EngineOrder,
    EngineSession,
    PlatformError,
    SessionListener,
)
from foxtailhatch.outside.session_http import HttpSession, SessionTiming
from foxtailhatch.outside.session_link import LinkListener, SessionLink

_load_report: Final = first_fault_only(TypeAdapter(LoadReport))
_cache_page: Final = first_fault_only(TypeAdapter(CachePage))
_engine_order: Final = TypeAdapter(EngineOrder)
_fences: Final = first_fault_only(TypeAdapter(dict[str, int]))


class HttpEngine:
    """Client of all engines, each at the address of its endpoint."""

    def __init__(
        self,
        client: HttpClient,
        timing: SessionTiming | None = None,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> None:
        """Create the client; ``timeout_s`` limits each call."""
        self._client = client
        self._timing = timing or SessionTiming()
        self._timeout_s = timeout_s
        # Engines must not mistake a session for one of an earlier process.
        self._name_prefix = uuid4().hex
        self._session_numbers = count()

    def open_session(
        self,
        endpoint: Endpoint,
        listener: SessionListener,
    ) -> EngineSession:
        """Open a session at once; failures are reported to the listener."""
        return HttpSession(
            endpoint,
            listener,
            partial(self._open_link, endpoint.address),
            self._client.reactor,
            self._timing.idle_timeout_s,
        )

    async def load_report(
        self,
        endpoint: Endpoint,
    ) -> Result[LoadReport, PlatformError]:
        """Return the latest load report of the engine."""
        response = await self._client.send(
            endpoint.address,
            HttpCall('GET', '/load'),
            self._timeout_s,
        )
        return response.bind(lambda reply: parse_response(_load_report, reply))

    async def order(
        self,
        endpoint: Endpoint,
        order: EngineOrder,
    ) -> Result[None, PlatformError]:
        """Send an order; fails with ``REFUSED`` if its fencing token is old."""
        response = await self._client.send(
            endpoint.address,
            HttpCall('POST', '/orders', _engine_order.dump_json(order)),
            self._timeout_s,
        )
        return response.bind(
            lambda reply: parse_response(_fences, reply),
        ).map(lambda _: None)

    async def cache_events(
        self,
        endpoint: Endpoint,
        after: int,
    ) -> Result[CachePage, PlatformError]:
        """Return the cache events with a number above ``after``."""
        response = await self._client.send(
            endpoint.address,
            HttpCall('GET', f'/cache-events?after={after}'),
            self._timeout_s,
        )
        return response.bind(lambda reply: parse_response(_cache_page, reply))

    def _open_link(
        self, address: Address, listener: LinkListener
    ) -> SessionLink:
        """Open a link with a unique session name."""
        link = SessionLink(
            listener,
            self._client.reactor,
            self._timing.heartbeat_period_s,
            self._timing.silence_timeout_s,
            self._client.bodies,
        )
        name = f'{self._name_prefix}-{next(self._session_numbers)}'
        link.open(self._client.streaming_agent(), address, name)
        return link
