"""A blocking HTTP client for requests to an entry."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from http.client import (
    HTTPConnection,
    HTTPException,
    HTTPResponse,
    IncompleteRead,
)

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

REQUEST_TIMEOUT_S = 10.0
HTTP_OK = 200
MAX_RESPONSE_BYTES = 67_108_864
MAX_QUOTED_BYTES = 1000


class EntryError(BaseModel):
    """An error response of an entry; additional fields are preserved."""

    model_config = {'extra': 'allow'}

    code: str
    message: str
    run: str
    retry_after_s: float | None = None
    address: str | None = None


class ErrorEnvelope(BaseModel):
    """The JSON document that holds an error."""

    error: EntryError


@dataclass(frozen=True, slots=True)
class EntryRequest:
    """An HTTP request to an entry."""

    method: str
    path: str
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No complete response arrived; the request may have been executed."""

    address: str
    message: str

    def __str__(self) -> str:
        """Return the address and the message on one line."""
        return f'{self.address}: {self.message}'


@dataclass(frozen=True, slots=True)
class EntryResponse:
    """A complete HTTP response of an entry."""

    status: int
    body: bytes

    def is_ok(self) -> bool:
        """Return whether the status is 200."""
        return self.status == HTTP_OK

    def json_document(self) -> object:
        """Return the decoded JSON body, or ``None`` if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    def error(self) -> EntryError:
        """Return the error that the body describes."""
        return parse_error(self.body)


def parse_error(raw: bytes) -> EntryError:
    """Return the error in ``raw``; if there is none, one that quotes ``raw``."""
    try:
        return ErrorEnvelope.model_validate_json(raw).error
    except ValidationError:
        text = raw[:MAX_QUOTED_BYTES].decode(errors='replace')
        return EntryError(code='unreadable', message=text, run='unknown')


def open_request(
    address: str,
    entry_request: EntryRequest,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> Result[HTTPResponse, Unreachable]:
    """Send a request and return the response with an unread body."""
    try:
        return Success(_send_request(address, entry_request, timeout_s))
    except (OSError, HTTPException) as exc:
        return Failure(Unreachable(address, str(exc) or type(exc).__name__))


def send_request(
    address: str,
    entry_request: EntryRequest,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> Result[EntryResponse, Unreachable]:
    """Send a request and return the complete response."""
    match open_request(address, entry_request, timeout_s):
        case Success(response):
            return _read_response(address, response)
        case Failure(unreachable):
            return Failure(unreachable)
    raise AssertionError(entry_request)


def read_body(response: HTTPResponse) -> bytes:
    """Return a whole body; raise :class:`HTTPException` if it isn't one.

    A read of limited size doesn't itself notice that a body was cut.
    """
    body = response.read(MAX_RESPONSE_BYTES + 1)
    if len(body) > MAX_RESPONSE_BYTES:
        raise HTTPException('the response is too large')
    if response.length:
        raise IncompleteRead(body, response.length)
    return body


def bearer_header(token: str) -> dict[str, str]:
    """Return the ``Authorization`` header for ``token``."""
    return {'Authorization': f'Bearer {token}'}


def _send_request(
    address: str, entry_request: EntryRequest, timeout_s: float
) -> HTTPResponse:
    conn = HTTPConnection(address, timeout=timeout_s)
    conn.request(
        entry_request.method,
        entry_request.path,
        entry_request.body,
        dict(entry_request.headers),
    )
    return conn.getresponse()


def _read_response(
    address: str,
    response: HTTPResponse,
) -> Result[EntryResponse, Unreachable]:
    try:
        with response:
            body = read_body(response)
    except (OSError, HTTPException) as exc:
        return Failure(Unreachable(address, str(exc) or type(exc).__name__))
    return Success(EntryResponse(response.status, body))
