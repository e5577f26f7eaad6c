"""The weight store over HTTP and JSON."""

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
    """What the store says of each layer of a model."""

    layer_bytes: int


_documents: Final = TypeAdapter(LayerDocument)


class HttpWeightStore:
    """The platform's store of weights at one address."""

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> None:
        """Take the client, the address and the bound on each call."""
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
        answer = await self._client.send(self._address, call, self._timeout_s)
        return answer.bind(
            lambda whole: parse_response(_documents, whole),
        ).map(lambda document: document.layer_bytes)
