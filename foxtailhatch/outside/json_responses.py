"""Read the JSON documents that outside systems answer with."""

from typing import TypeVar

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.outside.http_client import OK, HttpResponse, refused
from foxtailhatch.outside.protocols import PlatformError, PlatformFault

_Document = TypeVar('_Document')


def parse_response(
    adapter: TypeAdapter[_Document],
    answer: HttpResponse,
) -> Result[_Document, PlatformError]:
    """Read an answer with status 200; any other one is an error."""
    if answer.status != OK:
        return Failure(refused(answer))
    try:
        return Success(adapter.validate_json(answer.body))
    except ValidationError as exc:
        fault = PlatformFault.INVALID_RESPONSE
        return Failure(PlatformError(fault, f'answer not understood: {exc}'))
