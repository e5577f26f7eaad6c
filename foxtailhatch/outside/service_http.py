"""Client of plain services over HTTP."""

from typing import Final

from returns.result import Result

from foxtailhatch.core import Endpoint
from foxtailhatch.outside.http_bodies import MAX_BODY_BYTES
from foxtailhatch.outside.http_client import HttpCall, HttpClient, HttpResponse
from foxtailhatch.outside.protocols import (
    PlatformError,
    ServiceCall,
    ServiceResponse,
)

KEY_HEADER: Final = 'Idempotency-Key'
FENCE_HEADER: Final = 'X-Fence'
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))


class HttpPlainService:
    """Send each call once; calls with side effects use a new connection."""

    def __init__(self, client: HttpClient) -> None:
        """Create the adapter with the client that all calls share."""
        self._client = client

    async def call(
        self,
        endpoint: Endpoint,
        call: ServiceCall,
        timeout_s: float,
    ) -> Result[ServiceResponse, PlatformError]:
        """Send a call once, without retries."""
        response = await self._client.send(
            endpoint.address,
            HttpCall(
                call.method,
                call.path,
                call.body,
                call.content_type,
                _headers(call),
                reuse=call.method in _SAFE_METHODS,
                max_bytes=MAX_BODY_BYTES,
            ),
            timeout_s,
        )
        return response.map(_service_response)


def _headers(call: ServiceCall) -> dict[str, str]:
    """Return the headers with the idempotency key and the fencing token."""
    headers = {}
    if call.key is not None:
        headers[KEY_HEADER] = call.key
    if call.fence is not None:
        headers[FENCE_HEADER] = str(call.fence)
    return headers


def _service_response(response: HttpResponse) -> ServiceResponse:
    """Return the response of a service with any status."""
    return ServiceResponse(
        response.status, response.body, response.content_type
    )
