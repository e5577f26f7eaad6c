"""Whole replies: JSON, refusals, and reading what headers say."""

import json
from dataclasses import dataclass
from math import isfinite

from returns.result import Failure, Result, Success
from twisted.web.http import Request

from foxtailhatch.callers.errors import STATUSES, error_body, error_headers
from foxtailhatch.core import ErrorCode, Refusal

KEY_CHARACTERS = 255


def json_reply(req: Request, document: object, status: int = 200) -> bytes:
    """Set status and type of a JSON reply and return its body."""
    req.setResponseCode(status)
    req.setHeader('Content-Type', 'application/json')
    return json.dumps(document, separators=(',', ':')).encode()


def refusal_reply(req: Request, refusal: Refusal) -> bytes:
    """Set status and headers of a refusal and return its body."""
    req.setResponseCode(STATUSES[refusal.code])
    for name, text in error_headers(refusal).items():
        req.setHeader(name, text)
    return error_body(refusal)


def send(req: Request, body: bytes) -> None:
    """Write ``body`` as the whole reply and end it."""
    req.setHeader('Content-Length', str(len(body)))
    req.write(body)
    req.finish()


def bearer_token(req: Request) -> Result[str, Refusal]:
    """Return the bearer token of the Authorization header."""
    header = req.getHeader('Authorization') or ''
    scheme, _, token = header.partition(' ')
    if scheme.lower() == 'bearer' and token.strip():
        return Success(token.strip())
    return Failure(
        Refusal(ErrorCode.BAD_TOKEN, 'A bearer token is required.'),
    )


@dataclass(frozen=True, slots=True)
class CallHeaders:
    """What a caller says of one call beside its body."""

    key: str | None
    deadline_s: float | None


def call_headers(req: Request) -> Result[CallHeaders, Refusal]:
    """Return the headers that say how a call may run."""
    return Result.do(
        CallHeaders(key, seconds)
        for key in idempotency_key(req)
        for seconds in deadline_s(req)
    )


def body_of(req: Request) -> bytes:
    """Return the whole body."""
    return b'' if req.content is None else bytes(req.content.read())


def idempotency_key(req: Request) -> Result[str | None, Refusal]:
    """Return the Idempotency-Key header, if there is one."""
    key = req.getHeader('Idempotency-Key')
    if key is None:
        return Success(None)
    if 0 < len(key) <= KEY_CHARACTERS and key.isprintable():
        return Success(key)
    message = f'Idempotency-Key must have 1 to {KEY_CHARACTERS} characters.'
    return Failure(Refusal(ErrorCode.BAD_REQUEST, message))


def deadline_s(req: Request) -> Result[float | None, Refusal]:
    """Return the X-Deadline-Seconds header in seconds, if there is one."""
    header = req.getHeader('X-Deadline-Seconds')
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
