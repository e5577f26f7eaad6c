"""Moving a stream's KV cache between engines, over HTTP."""

from typing import Final

from returns.result import Failure, Result, Success

from foxtailhatch.core import Endpoint
from foxtailhatch.outside.http_client import (
    OK,
    HttpCall,
    HttpClient,
    HttpResponse,
    build_path,
    refused,
)
from foxtailhatch.outside.protocols import PlatformError

TRANSFER_TIMEOUT_S: Final = 10.0


class HttpCacheTransfer:
    """Export the KV cache of a stream's stage and import it elsewhere."""

    def __init__(
        self,
        client: HttpClient,
        timeout_s: float = TRANSFER_TIMEOUT_S,
    ) -> None:
        """Take the client and the bound on each call."""
        self._client = client
        self._timeout_s = timeout_s

    async def export_cache(
        self,
        endpoint: Endpoint,
        stream: str,
    ) -> Result[bytes, PlatformError]:
        """Return the cache in the engines' own format."""
        call = HttpCall('GET', build_path('kv', stream))
        answer = await self._client.send(
            endpoint.address,
            call,
            self._timeout_s,
        )
        return answer.bind(_body)

    async def import_cache(
        self,
        endpoint: Endpoint,
        stream: str,
        cache: bytes,
    ) -> Result[None, PlatformError]:
        """Give an engine a cache; a stage opened next goes on with it."""
        call = HttpCall('PUT', build_path('kv', stream), cache)
        answer = await self._client.send(
            endpoint.address,
            call,
            self._timeout_s,
        )
        return answer.bind(_body).map(lambda _: None)


def _body(answer: HttpResponse) -> Result[bytes, PlatformError]:
    """Return the body of an answer with status 200."""
    if answer.status == OK:
        return Success(answer.body)
    return Failure(refused(answer))
