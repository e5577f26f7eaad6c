"""The resource that passes calls on to plain services."""

from urllib.parse import quote, unquote_to_bytes

from returns.result import Failure, Result, Success
from twisted.web.http import Request
from twisted.web.resource import Resource

from foxtailhatch.callers.api_context import ApiContext
from foxtailhatch.callers.async_reply import reply_later
from foxtailhatch.callers.base import (
    UnknownPath,
    authenticate_caller,
    bad_method,
)
from foxtailhatch.callers.gateway import ServiceRequest
from foxtailhatch.callers.replies import (
    Reply,
    call_headers,
    header_text,
    is_first_try,
    read_body,
    refusal_reply,
)
from foxtailhatch.callers.unclaimed_refusals import refusal_without_claim
from foxtailhatch.core import ErrorCode, Refusal

METHODS = (
    b'DELETE',
    b'GET',
    b'HEAD',
    b'OPTIONS',
    b'PATCH',
    b'POST',
    b'PUT',
)
# An empty one before the first slash, then v1, services and the name.
SEGMENTS_TO_NAME = 4
PATH_SAFE = "!$&'()*+,;=:@"
QUERY_SAFE = f'{PATH_SAFE}/?%'


class ServicesResource(UnknownPath):
    """``/v1/services``, under which each service has its name."""

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return the resource of one service."""
        return ServiceResource(self.context, path)


class ServiceResource(UnknownPath):
    """``/v1/services/NAME`` and all paths below it, with any method."""

    isLeaf = True

    def __init__(self, context: ApiContext, name: bytes) -> None:
        """Stand for the service called ``name``."""
        super().__init__(context)
        self._name = name

    def reply(self, req: Request) -> Reply | int:
        """Pass one call on and answer what the service answers."""
        if req.method not in METHODS:
            return bad_method(req, METHODS)
        match self._asked(req):
            case Failure(refusal):
                key = header_text(req, b'Idempotency-Key')
                first_try = is_first_try(req)
                told = refusal_without_claim(refusal, key, first_try)
                return refusal_reply(told)
            case Success(asked):
                req.setHeader('X-Request-Id', asked.request_id)
                return reply_later(self.context, req, self._call(asked))
        raise AssertionError(req)

    def _asked(self, req: Request) -> Result[ServiceRequest, Refusal]:
        return service_path(req.uri).bind(
            lambda path: self._request(req, path),
        )

    def _request(
        self,
        req: Request,
        path: str,
    ) -> Result[ServiceRequest, Refusal]:
        return Result.do(
            ServiceRequest(
                request_id=self.context.new_request_id(),
                caller=caller,
                service=self._name.decode(errors='replace'),
                method=req.method.decode(),
                path=path,
                body=read_body(req),
                content_type=header_text(req, b'Content-Type') or '',
                key=headers.key,
                first_try=headers.first_try,
            )
            for caller in authenticate_caller(self.context, req)
            for headers in call_headers(req)
        )

    async def _call(self, asked: ServiceRequest) -> Reply:
        match await self.context.gateway.call_service(asked):
            case Success(answer):
                headers = {'Content-Type': answer.content_type}
                return Reply(answer.body, answer.status, headers)
            case Failure(refusal):
                return refusal_reply(refusal)
        raise AssertionError(asked)


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
    path, mark, query = uri.partition(b'?')
    below = path.split(b'/')[SEGMENTS_TO_NAME:] or [b'']
    segments = [unquote_to_bytes(segment) for segment in below]
    if all(map(_is_plain, segments[:-1])) and _may_be_last(segments[-1]):
        spelled = '/'.join(quote(segment, PATH_SAFE) for segment in segments)
        asked = f'{mark.decode()}{quote(query, QUERY_SAFE)}'
        return Success(f'/{spelled}{asked}')
    message = 'The path holds a segment that is empty, . or .. or holds a /.'
    return Failure(Refusal(ErrorCode.BAD_REQUEST, message))


def _is_plain(segment: bytes) -> bool:
    return segment not in {b'', b'.', b'..'} and b'/' not in segment


def _may_be_last(segment: bytes) -> bool:
    return not segment or _is_plain(segment)
