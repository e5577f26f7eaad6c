"""Base classes of resources: path, method and token checks."""

from typing import cast

from returns.result import Result
from twisted.web.http import Request
from twisted.web.resource import Resource

from foxtailhatch.callers.api_context import ApiContext
from foxtailhatch.callers.replies import (
    Reply,
    apply_headers,
    bearer_token,
    refusal_reply,
)
from foxtailhatch.core import Caller, ErrorCode, Refusal


class UnknownPath(Resource):
    """A resource that answers 404 at its path and at all paths below it."""

    def __init__(self, context: ApiContext) -> None:
        """Create the resource for ``context``."""
        Resource.__init__(self)
        self.context = context

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return the 404 resource for a path without a resource."""
        return UnknownPath(self.context)

    def render(self, request: Request) -> bytes | int:
        """Handle the request; count it here if it is refused at once."""
        reply = self.reply(request)
        if isinstance(reply, int):
            return reply
        if reply.code is not None:
            self.context.observability.record_request_outcome(reply.code)
        return apply_headers(request, reply)

    def reply(self, req: Request) -> Reply | int:
        """Return the reply, or ``NOT_DONE_YET`` if it is written later."""
        refusal = Refusal(ErrorCode.UNKNOWN_PATH, 'There is no such path.')
        return refusal_reply(refusal)


class ApiResource(UnknownPath):
    """A resource that implements the HTTP methods in ``methods``."""

    methods: tuple[bytes, ...] = (b'GET', b'HEAD')

    def reply(self, req: Request) -> Reply | int:
        """Dispatch on the method; refuse any that is not in ``methods``."""
        if req.method in self.methods:
            return cast(Reply | int, Resource.render(self, req))
        return bad_method(req, self.methods)


def bad_method(req: Request, methods: tuple[bytes, ...]) -> Reply:
    """Return a refusal with the allowed methods, and set ``Allow``."""
    allowed = ', '.join(method.decode() for method in methods)
    req.setHeader('Allow', allowed)
    message = f'The methods allowed on this path are {allowed}.'
    return refusal_reply(Refusal(ErrorCode.BAD_METHOD, message))


def authenticate_caller(
    context: ApiContext, req: Request
) -> Result[Caller, Refusal]:
    """Return the caller that the bearer token of ``req`` identifies."""
    return bearer_token(req).bind(context.gateway.authenticate)
