"""What all resources share: unknown paths, bad methods and who asks."""

from collections.abc import Sequence
from typing import cast

from returns.result import Result
from twisted.web.error import UnsupportedMethod
from twisted.web.http import Request
from twisted.web.resource import Resource

from foxtailhatch.callers.front import Front
from foxtailhatch.callers.replies import bearer_token, refusal_reply
from foxtailhatch.core import Caller, ErrorCode, Refusal


class UnknownPath(Resource):
    """A path at which there is nothing, and nothing below it."""

    def __init__(self) -> None:
        """Start with no path below."""
        Resource.__init__(self)

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return a resource for which nothing is known either."""
        return UnknownPath()

    def render(self, request: Request) -> bytes | int:
        """Answer that there is nothing."""
        refusal = Refusal(ErrorCode.UNKNOWN_PATH, 'There is no such path.')
        return refusal_reply(request, refusal)


class FrontResource(UnknownPath):
    """A resource that answers some methods and refuses the others."""

    def __init__(self, front: Front) -> None:
        """Keep what the resources work with."""
        super().__init__()
        self.front = front

    def render(self, request: Request) -> bytes | int:
        """Answer the request, or name the methods that are answered."""
        try:
            return cast(bytes | int, Resource.render(self, request))
        except UnsupportedMethod as exc:
            methods = cast(Sequence[bytes], exc.allowedMethods)
        allowed = ', '.join(sorted(name.decode() for name in methods))
        request.setHeader('Allow', allowed)
        message = f'This path answers {allowed}.'
        return refusal_reply(request, Refusal(ErrorCode.BAD_METHOD, message))


def caller_of(front: Front, req: Request) -> Result[Caller, Refusal]:
    """Return the caller whose bearer token ``req`` carries."""
    return bearer_token(req).bind(front.gateway.authenticate)
