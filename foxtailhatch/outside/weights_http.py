"""Client of the weight store over HTTP and JSON."""

from typing import Final

from pydantic import BaseModel, TypeAdapter
from returns.result import Result

from foxtailhatch.core import Address
from foxtailhatch.outside.http_client import (
    RESPONSE_TIMEOUT_S,
    HttpCall,
    HttpClient,
    build_path,
)
from foxtailhatch.outside.json_responses import parse_response
from foxtailhatch.outside.protocols import PlatformError


class LayerDocument(BaseModel):
    """JSON document on the layers of a model."""

    layer_bytes: int


_documents: Final = TypeAdapter(LayerDocument)


class HttpWeightStore:
    """The platform's weight store at one address."""

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> None:
        """Create the client; ``timeout_s`` limits each call."""
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    async def size_bytes(
        self,
        model: str,
        version: str,
    ) -> Result[int, PlatformError]:
        """Return the size of one layer's weights."""
        call = HttpCall('GET', build_path('weights', model, version))
        response = await self._client.send(self._address, call, self._timeout_s)
        return response.bind(
            lambda reply: parse_response(_documents, reply),
        ).map(lambda document: document.layer_bytes)
