"""A small blocking HTTP client for the command line."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException, HTTPResponse

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

CALL_TIMEOUT_S = 10.0
OK = 200


class EntryError(BaseModel):
    """What an entry says of a failure; further fields are kept as they are."""

    model_config = {'extra': 'allow'}

    code: str
    message: str
    run: str
    retry_after_s: float | None = None
    address: str | None = None


class ErrorEnvelope(BaseModel):
    """The JSON around an error."""

    error: EntryError


@dataclass(frozen=True, slots=True)
class Call:
    """One call of an entry."""

    method: str
    path: str
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No whole answer came; the call may or may not have been carried out."""

    address: str
    message: str

    def __str__(self) -> str:
        """Return one line for an operator."""
        return f'{self.address}: {self.message}'


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of an entry."""

    status: int
    body: bytes

    def is_ok(self) -> bool:
        """Tell whether the call succeeded."""
        return self.status == OK

    def document(self) -> object:
        """Return the body's JSON, or ``None`` if it holds none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    def error(self) -> EntryError:
        """Return the error in the body."""
        return error_in(self.body)


def error_in(raw: bytes) -> EntryError:
    """Return the error that ``raw`` tells of, or one that shows ``raw``."""
    try:
        return ErrorEnvelope.model_validate_json(raw).error
    except ValidationError:
        shown = raw.decode(errors='replace')
        return EntryError(code='unreadable', message=shown, run='unknown')


def open_call(
    address: str,
    call: Call,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Result[HTTPResponse, Unreachable]:
    """Send one call and return the response with its body still unread."""
    try:
        return Success(_send(address, call, timeout_s))
    except (OSError, HTTPException) as exc:
        return Failure(Unreachable(address, str(exc) or type(exc).__name__))


def make_call(
    address: str,
    call: Call,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Result[Answer, Unreachable]:
    """Send one call and return the whole answer."""
    match open_call(address, call, timeout_s):
        case Success(response):
            return _read(address, response)
        case Failure(unreachable):
            return Failure(unreachable)
    raise AssertionError(call)


def bearer(token: str) -> dict[str, str]:
    """Return the header that carries ``token``."""
    return {'Authorization': f'Bearer {token}'}


def _send(address: str, call: Call, timeout_s: float) -> HTTPResponse:
    conn = HTTPConnection(address, timeout=timeout_s)
    conn.request(call.method, call.path, call.body, dict(call.headers))
    return conn.getresponse()


def _read(
    address: str,
    response: HTTPResponse,
) -> Result[Answer, Unreachable]:
    try:
        with response:
            return Success(Answer(response.status, response.read()))
    except (OSError, HTTPException) as exc:
        return Failure(Unreachable(address, str(exc) or type(exc).__name__))
