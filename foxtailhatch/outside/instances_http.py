"""Client of the platform's instance list over HTTP and JSON."""

from collections.abc import Sequence
from typing import Final

from pydantic import BaseModel, TypeAdapter
from returns.result import Result

from foxtailhatch.core import Address
from foxtailhatch.outside.first_fault import first_fault_only
from foxtailhatch.outside.http_client import (
    RESPONSE_TIMEOUT_S,
    HttpCall,
    HttpClient,
)
from foxtailhatch.outside.json_responses import parse_response
from foxtailhatch.outside.protocols import LiveInstance, PlatformError


class InstancesDocument(BaseModel):
    """JSON document of the list."""

    instances: list[LiveInstance]


_documents: Final = first_fault_only(TypeAdapter(InstancesDocument))


class HttpInstanceList:
    """The platform's instance list, which lags behind, at one address."""

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

    async def instances(
        self,
    ) -> Result[Sequence[LiveInstance], PlatformError]:
        """Return the list as the platform currently shows it."""
        response = await self._client.send(
            self._address,
            HttpCall('GET', '/instances'),
            self._timeout_s,
        )
        return response.bind(
            lambda reply: parse_response(_documents, reply),
        ).map(lambda document: tuple(document.instances))
