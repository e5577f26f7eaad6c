"""The resource that passes calls on to plain services."""

import asyncio
from dataclasses import dataclass
from functools import partial
from urllib.parse import quote, unquote

from returns.result import Failure, Result, Success
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from foxtailhatch.callers.base import UnknownPath, caller_of
from foxtailhatch.callers.front import Front
from foxtailhatch.callers.gateway import ServiceRequest
from foxtailhatch.callers.replies import (
    body_of,
    call_headers,
    refusal_reply,
    send,
)
from foxtailhatch.core import ErrorCode, InvariantBroken, Refusal, RunState
from foxtailhatch.platform import ServiceAnswer

METHODS = frozenset(
    (
        b'DELETE',
        b'GET',
        b'HEAD',
        b'OPTIONS',
        b'PATCH',
        b'POST',
        b'PUT',
    )
)
SERVICES_PATH = b'/v1/services/'
Outcome = Result[ServiceAnswer, Refusal]


@dataclass(frozen=True, slots=True)
class Target:
    """What of a service is called; ``path`` has its query with it."""

    method: str
    path: str


class ServicesResource(UnknownPath):
    """``/v1/services``, under which each service has its name."""

    def __init__(self, front: Front) -> None:
        """Keep what the resources work with."""
        super().__init__()
        self._front = front

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return the resource of one service."""
        return ServiceResource(self._front, path)


class ServiceResource(UnknownPath):
    """``/v1/services/NAME`` and all paths below it, with any method."""

    isLeaf = True

    def __init__(self, front: Front, name: bytes) -> None:
        """Stand for the service called ``name``."""
        super().__init__()
        self._front = front
        self._name = name

    def render(self, request: Request) -> bytes | int:
        """Pass one call on and answer what the service answers."""
        match self._asked(request):
            case Failure(refusal):
                self._front.observability.request_ended(refusal.code)
                return refusal_reply(request, refusal)
            case Success(asked):
                self._call(request, asked)
        return NOT_DONE_YET

    def _asked(self, req: Request) -> Result[ServiceRequest, Refusal]:
        target = Result.do(
            Target(method, path)
            for method in known_method(req.method)
            for path in service_path(req.uri)
        )
        return target.bind(lambda known: self._request(req, known))

    def _request(
        self,
        req: Request,
        target: Target,
    ) -> Result[ServiceRequest, Refusal]:
        return Result.do(
            ServiceRequest(
                request_id=self._front.new_request_id(),
                caller=caller,
                service=self._name.decode(errors='replace'),
                method=target.method,
                path=target.path,
                body=body_of(req),
                content_type=req.getHeader('Content-Type') or '',
                key=headers.key,
            )
            for caller in caller_of(self._front, req)
            for headers in call_headers(req)
        )

    def _call(self, req: Request, asked: ServiceRequest) -> None:
        req.setHeader('X-Request-Id', asked.request_id)
        gone: list[object] = []
        req.notifyFinish().addErrback(gone.append)
        call = self._front.gateway.call_service(asked)
        task = asyncio.ensure_future(call)
        task.add_done_callback(partial(self._answer, req, gone))

    def _answer(
        self,
        req: Request,
        gone: list[object],
        task: 'asyncio.Task[Outcome]',
    ) -> None:
        exc = task.exception()
        if isinstance(exc, InvariantBroken):
            self._front.observability.invariant_broken(exc)
            return
        outcome = task.result() if exc is None else Failure(internal_error())
        code = _code(outcome)
        if gone:
            code = ErrorCode.CANCELLED
        else:
            send(req, _body(req, outcome))
        self._front.observability.request_ended(code)
        if exc is not None:
            raise exc


def internal_error() -> Refusal:
    """Return the refusal for a fault of the program itself."""

    message = 'The entry failed; whether the request ran is not known.'
    return Refusal(ErrorCode.INTERNAL, message, RunState.UNKNOWN)


def known_method(method: bytes) -> Result[str, Refusal]:
    """Return the method's name, if it is one that services are called with."""
    if method in METHODS:
        return Success(method.decode())
    allowed = ', '.join(sorted(name.decode() for name in METHODS))
    message = f'Services answer {allowed}.'
    return Failure(Refusal(ErrorCode.BAD_METHOD, message))


def service_path(uri: bytes) -> Result[str, Refusal]:
    """Return what follows the service's name, in its one normal spelling.

    Selectors and services compare paths by their text, so a path that could
    be spelled in several ways must reach them in one.  Segments ``.``, ``..``
    and empty ones are refused.

    >>> service_path(b'/v1/services/desk/%62ook?reel=7').unwrap()
    '/book?reel=7'
    >>> service_path(b'/v1/services/desk/x/../book').failure().code.value
    'bad_request'
    """
    path, mark, query = uri.decode('latin-1').partition('?')
    below = path.removeprefix(SERVICES_PATH.decode())
    _, _, rest = below.partition('/')
    segments = [unquote(segment) for segment in rest.split('/')]
    if all(map(_is_plain, segments[:-1])) and _may_be_last(segments[-1]):
        spelled = '/'.join(quote(segment, safe='') for segment in segments)
        return Success(f'/{spelled}{mark}{query}')
    message = 'The path holds a segment that is empty, . or .. or holds a /.'
    return Failure(Refusal(ErrorCode.BAD_REQUEST, message))


def _is_plain(segment: str) -> bool:
    return segment not in {'', '.', '..'} and '/' not in segment


def _may_be_last(segment: str) -> bool:
    return not segment or _is_plain(segment)


def _code(outcome: Outcome) -> ErrorCode | None:
    return outcome.swap().map(_refusal_code).value_or(None)


def _refusal_code(refusal: Refusal) -> ErrorCode | None:
    return refusal.code


def _body(req: Request, outcome: Outcome) -> bytes:
    match outcome:
        case Success(answer):
            req.setResponseCode(answer.status)
            req.setHeader('Content-Type', answer.content_type)
            return bytes(answer.body)
        case Failure(refusal):
            return refusal_reply(req, refusal)
    raise AssertionError(outcome)
