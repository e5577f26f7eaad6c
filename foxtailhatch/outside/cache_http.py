"""Transfer of a stream's KV cache between engines over HTTP."""

from typing import Final

from returns.result import Failure, Result, Success

from foxtailhatch.core import Endpoint
from foxtailhatch.outside.http_bodies import MAX_BODY_BYTES
from foxtailhatch.outside.http_client import (
    OK,
    HttpCall,
    HttpClient,
    HttpResponse,
    build_path,
    error_from_response,
)
from foxtailhatch.outside.protocols import PlatformError

TRANSFER_TIMEOUT_S: Final = 10.0


class HttpCacheTransfer:
    """Export the KV cache of a stream from an engine, or import it."""

    def __init__(
        self,
        client: HttpClient,
        timeout_s: float = TRANSFER_TIMEOUT_S,
    ) -> None:
        """Create the adapter; ``timeout_s`` limits each call."""
        self._client = client
        self._timeout_s = timeout_s

    async def export_cache(
        self,
        endpoint: Endpoint,
        stream: str,
    ) -> Result[bytes, PlatformError]:
        """Return the cache in the format of the engines."""
        call = HttpCall(
            'GET', build_path('kv', stream), max_bytes=MAX_BODY_BYTES
        )
        response = await self._client.send(
            endpoint.address,
            call,
            self._timeout_s,
        )
        return response.bind(_body)

    async def import_cache(
        self,
        endpoint: Endpoint,
        stream: str,
        cache: bytes,
    ) -> Result[None, PlatformError]:
        """Store a cache in an engine for the next stage of the stream."""
        call = HttpCall('PUT', build_path('kv', stream), cache)
        response = await self._client.send(
            endpoint.address,
            call,
            self._timeout_s,
        )
        return response.bind(_body).map(lambda _: None)


def _body(response: HttpResponse) -> Result[bytes, PlatformError]:
    """Return the body of a response with status 200."""
    if response.status == OK:
        return Success(response.body)
    return Failure(error_from_response(response))
