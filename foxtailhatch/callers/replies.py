"""Build and send replies, and parse request headers."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from math import isfinite
from types import MappingProxyType

from returns.result import Failure, Result, Success
from twisted.web.http import Request

from foxtailhatch.callers.errors import HTTP_STATUSES, error_body, error_headers
from foxtailhatch.core import ErrorCode, Refusal

MAX_KEY_CHARS = 255
JSON_HEADERS: Mapping[str, str] = MappingProxyType(
    {
        'Content-Type': 'application/json',
    }
)


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response; ``code`` is the error code of a refusal."""

    body: bytes
    status: int = HTTPStatus.OK
    headers: Mapping[str, str] = field(default_factory=dict)
    code: ErrorCode | None = None


def json_reply(document: object, status: int = HTTPStatus.OK) -> Reply:
    """Return a reply with ``document`` as JSON."""
    body = json.dumps(document, separators=(',', ':')).encode()
    return Reply(body, status, JSON_HEADERS)


def refusal_reply(refusal: Refusal, **details: object) -> Reply:
    """Return the reply for ``refusal``.

    ``details`` are additional fields of the error, as JSON values.
    """
    return Reply(
        error_body(refusal, **details),
        HTTP_STATUSES[refusal.code],
        error_headers(refusal),
        refusal.code,
    )


def apply_headers(req: Request, reply: Reply) -> bytes:
    """Set the status and headers of ``reply`` and return its body."""
    req.setResponseCode(reply.status)
    for name, text in reply.headers.items():
        req.setHeader(name, text)
    return reply.body


def send(req: Request, reply: Reply) -> None:
    """Write the complete reply and finish the response."""
    body = apply_headers(req, reply)
    req.setHeader('Content-Length', str(len(body)))
    req.write(body)
    req.finish()


def raw_reply(refusal: Refusal) -> bytes:
    """Return a complete HTTP response with ``Connection: close``."""
    status = HTTPStatus(HTTP_STATUSES[refusal.code])
    body = error_body(refusal)
    fields = ''.join(
        f'{name}: {text}\r\n' for name, text in error_headers(refusal).items()
    )
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        f'{fields}'
        f'Content-Length: {len(body)}\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + body


def header_text(req: Request, name: bytes) -> str | None:
    """Return the last value of a header; invalid UTF-8 becomes U+FFFD."""
    header: bytes | None = req.getHeader(name)
    return None if header is None else header.decode(errors='replace')


def bearer_token(req: Request) -> Result[str, Refusal]:
    """Return the bearer token of the Authorization header."""
    header = header_text(req, b'Authorization') or ''
    scheme, _, token = header.partition(' ')
    if scheme.lower() == 'bearer' and token.strip():
        return Success(token.strip())
    return Failure(
        Refusal(ErrorCode.BAD_TOKEN, 'A bearer token is required.'),
    )


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """Call options that a caller gives in headers.

    ``first_try`` says that the caller never sent ``key`` before.
    """

    key: str | None
    deadline_s: float | None
    first_try: bool = False


def call_headers(req: Request) -> Result[CallHeaders, Refusal]:
    """Return the call options, or a refusal of an invalid header."""
    return Result.do(
        CallHeaders(key, seconds, is_first_try(req))
        for key in idempotency_key(req)
        for seconds in deadline_s(req)
    )


def read_body(req: Request) -> bytes:
    """Return the complete request body."""
    return b'' if req.content is None else bytes(req.content.read())


def idempotency_key(req: Request) -> Result[str | None, Refusal]:
    """Return the Idempotency-Key header, if there is one."""
    key = header_text(req, b'Idempotency-Key')
    if key is None:
        return Success(None)
    if 0 < len(key) <= MAX_KEY_CHARS and key.isprintable():
        return Success(key)
    message = (
        f'Idempotency-Key must have 1 to {MAX_KEY_CHARS} printable characters.'
    )
    return Failure(Refusal(ErrorCode.BAD_REQUEST, message))


def is_first_try(req: Request) -> bool:
    """Return whether the X-First-Try header says that the key is new."""
    return header_text(req, b'X-First-Try') == 'true'


def deadline_s(req: Request) -> Result[float | None, Refusal]:
    """Return the X-Deadline-Seconds header in seconds, if there is one."""
    header = header_text(req, b'X-Deadline-Seconds')
    if header is None:
        return Success(None)
    try:
        seconds = float(header)
    except ValueError:
        seconds = 0
    if isfinite(seconds) and seconds > 0:
        return Success(seconds)
    message = 'X-Deadline-Seconds must be a number of seconds above 0.'
    return Failure(Refusal(ErrorCode.BAD_REQUEST, message))
