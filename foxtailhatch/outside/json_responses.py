"""Parse the JSON responses of external systems."""

from typing import TypeVar

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.outside.http_client import (
    MAX_MESSAGE_CHARS,
    OK,
    HttpResponse,
    error_from_response,
)
from foxtailhatch.outside.protocols import PlatformError, PlatformFault

_Document = TypeVar('_Document')


def parse_response(
    adapter: TypeAdapter[_Document],
    response: HttpResponse,
) -> Result[_Document, PlatformError]:
    """Return the document of a response; other statuses than 200 are errors."""
    if response.status != OK:
        return Failure(error_from_response(response))
    try:
        return Success(adapter.validate_json(response.body))
    except ValidationError as exc:
        fault = PlatformFault.INVALID_RESPONSE
        message = f'invalid response: {exc}'[:MAX_MESSAGE_CHARS]
        return Failure(PlatformError(fault, message))
