"""Resource that forwards calls to plain services."""

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
# The empty segment before the first slash, then v1, services and the name.
PREFIX_SEGMENTS = 4
PATH_SAFE = "!$&'()*+,;=:@"
QUERY_SAFE = f'{PATH_SAFE}/?%'


class ServicesResource(UnknownPath):
    """``/v1/services``, whose children are the services by name."""

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return the resource of one service."""
        return ServiceResource(self.context, path)


class ServiceResource(UnknownPath):
    """``/v1/services/NAME`` and all paths below it."""

    isLeaf = True

    def __init__(self, context: ApiContext, name: bytes) -> None:
        """Create the resource of the service called ``name``."""
        super().__init__(context)
        self._name = name

    def reply(self, req: Request) -> Reply | int:
        """Forward one call, and reply with the response of the service."""
        if req.method not in METHODS:
            return bad_method(req, METHODS)
        match self._parse_request(req):
            case Failure(refusal):
                key = header_text(req, b'Idempotency-Key')
                first_try = is_first_try(req)
                unclaimed = refusal_without_claim(refusal, key, first_try)
                return refusal_reply(unclaimed)
            case Success(call):
                req.setHeader('X-Request-Id', call.request_id)
                return reply_later(self.context, req, self._forward(call))
        raise AssertionError(req)

    def _parse_request(self, req: Request) -> Result[ServiceRequest, Refusal]:
        return service_path(req.uri).bind(
            lambda path: self._build_request(req, path),
        )

    def _build_request(
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

    async def _forward(self, call: ServiceRequest) -> Reply:
        match await self.context.gateway.call_service(call):
            case Success(response):
                headers = {'Content-Type': response.content_type}
                return Reply(response.body, response.status, headers)
            case Failure(refusal):
                return refusal_reply(refusal)
        raise AssertionError(call)


def service_path(uri: bytes) -> Result[str, Refusal]:
    """Return the part of the URI after the service name, normalized.

    Selectors and services compare paths as text, so equivalent paths must
    reach them in the same form.  Empty segments, ``.`` and ``..`` are
    refused.

    >>> service_path(b'/v1/services/desk/%62ook?reel=7').unwrap()
    '/book?reel=7'
    >>> service_path(b'/v1/services/desk/x/../book').failure().code.value
    'bad_request'
    """
    path, separator, query = uri.partition(b'?')
    quoted = path.split(b'/')[PREFIX_SEGMENTS:] or [b'']
    segments = [unquote_to_bytes(segment) for segment in quoted]
    if all(map(_is_valid, segments[:-1])) and _is_valid_last(segments[-1]):
        normalized = '/'.join(quote(segment, PATH_SAFE) for segment in segments)
        normalized_query = f'{separator.decode()}{quote(query, QUERY_SAFE)}'
        return Success(f'/{normalized}{normalized_query}')
    message = (
        'A path segment must not be empty, be . or .., or contain a slash.'
    )
    return Failure(Refusal(ErrorCode.BAD_REQUEST, message))


def _is_valid(segment: bytes) -> bool:
    return segment not in {b'', b'.', b'..'} and b'/' not in segment


def _is_valid_last(segment: bytes) -> bool:
    return not segment or _is_valid(segment)
