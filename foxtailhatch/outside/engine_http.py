"""Model engines over HTTP and JSON."""

from functools import partial
from itertools import count
from typing import Final
from uuid import uuid4

from pydantic import TypeAdapter
from returns.result import Result

from foxtailhatch.core import Address, Endpoint, LoadReport
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

_loads: Final = TypeAdapter(LoadReport)
_pages: Final = TypeAdapter(CachePage)
_orders: Final = TypeAdapter(EngineOrder)
_fences: Final = TypeAdapter(dict[str, int])


class HttpEngine:
    """All engines, each at the address that its endpoint names."""

    def __init__(
        self,
        client: HttpClient,
        timing: SessionTiming | None = None,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> None:
        """Take the client, the sessions' timing and the bound on calls."""
        self._client = client
        self._timing = timing or SessionTiming()
        self._timeout_s = timeout_s
        # No engine may take a session for one of an earlier process.
        self._prefix = uuid4().hex
        self._numbers = count()

    def open_session(
        self,
        endpoint: Endpoint,
        listener: SessionListener,
    ) -> EngineSession:
        """Open a session at once; a failure is told to the listener."""
        return HttpSession(
            endpoint,
            listener,
            partial(self._link, endpoint.address),
            self._client.reactor,
            self._timing.idle_timeout_s,
        )

    async def load_report(
        self,
        endpoint: Endpoint,
    ) -> Result[LoadReport, PlatformError]:
        """Return the engine's newest report."""
        answer = await self._client.send(
            endpoint.address,
            HttpCall('GET', '/load'),
            self._timeout_s,
        )
        return answer.bind(lambda whole: parse_response(_loads, whole))

    async def order(
        self,
        endpoint: Endpoint,
        order: EngineOrder,
    ) -> Result[None, PlatformError]:
        """Send an order; ``REFUSED`` if its fencing number is old."""
        answer = await self._client.send(
            endpoint.address,
            HttpCall('POST', '/orders', _orders.dump_json(order)),
            self._timeout_s,
        )
        return answer.bind(
            lambda whole: parse_response(_fences, whole),
        ).map(lambda _: None)

    async def cache_events(
        self,
        endpoint: Endpoint,
        after: int,
    ) -> Result[CachePage, PlatformError]:
        """Return the cache events whose number is above ``after``."""
        answer = await self._client.send(
            endpoint.address,
            HttpCall('GET', f'/cache-events?after={after}'),
            self._timeout_s,
        )
        return answer.bind(lambda whole: parse_response(_pages, whole))

    def _link(self, address: Address, listener: LinkListener) -> SessionLink:
        """Open a link under a name that no other has."""
        link = SessionLink(
            listener,
            self._client.reactor,
            self._timing.heartbeat_period_s,
            self._timing.silence_timeout_s,
        )
        name = f'{self._prefix}-{next(self._numbers)}'
        link.open(self._client.streaming_agent(), address, name)
        return link
