"""What all resources share: unknown paths, bad methods and who asks."""

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
    """A path at which there is nothing, and nothing below it."""

    def __init__(self, context: ApiContext) -> None:
        """Keep what the resources work with."""
        Resource.__init__(self)
        self.context = context

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return a resource for which nothing is known either."""
        return UnknownPath(self.context)

    def render(self, request: Request) -> bytes | int:
        """Answer the request and count it if it is refused."""
        reply = self.reply(request)
        if isinstance(reply, int):
            return reply
        if reply.code is not None:
            self.context.observability.record_request_outcome(reply.code)
        return apply_headers(request, reply)

    def reply(self, req: Request) -> Reply | int:
        """Return the reply, or ``NOT_DONE_YET`` if it comes later."""
        refusal = Refusal(ErrorCode.UNKNOWN_PATH, 'There is no such path.')
        return refusal_reply(refusal)


class ApiResource(UnknownPath):
    """A resource that answers some methods and refuses the others."""

    methods: tuple[bytes, ...] = (b'GET', b'HEAD')

    def reply(self, req: Request) -> Reply | int:
        """Answer by the method, or name the methods that are answered."""
        if req.method in self.methods:
            return cast(Reply | int, Resource.render(self, req))
        return bad_method(req, self.methods)


def bad_method(req: Request, methods: tuple[bytes, ...]) -> Reply:
    """Return a refusal that names the methods of the path."""
    allowed = ', '.join(method.decode() for method in methods)
    req.setHeader('Allow', allowed)
    message = f'This path answers {allowed}.'
    return refusal_reply(Refusal(ErrorCode.BAD_METHOD, message))


def authenticate_caller(
    context: ApiContext, req: Request
) -> Result[Caller, Refusal]:
    """Return the caller whose bearer token ``req`` carries."""
    return bearer_token(req).bind(context.gateway.authenticate)
