"""A minimal JSON-over-HTTP application for stand-ins."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import unquote

from pydantic import TypeAdapter
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

OK: Final = 200
BAD_REQUEST: Final = 400
NOT_FOUND: Final = 404
CONFLICT: Final = 409
UNAVAILABLE: Final = 503


@dataclass(frozen=True, slots=True)
class Call:
    """A complete HTTP request; header names are in lower case."""

    method: str
    path: tuple[str, ...]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def number(self, name: str, default: int = 0) -> int:
        """Return an integer query parameter."""
        return int(self.query.get(name, default))


@dataclass(frozen=True, slots=True)
class Reply:
    """The response to a call."""

    status: int
    body: bytes


CallHandler = Callable[[Call], Reply | None]
_json_adapter: Final[TypeAdapter[Any]] = TypeAdapter(Any)


def reply(document: object, status: int = OK) -> Reply:
    """Return a reply with ``document``, such as a data class, as JSON."""
    return Reply(status, _json_adapter.dump_json(document))


def read_call(req: Any) -> Call:
    """Convert a completed Twisted request."""
    path = req.path.decode().strip('/').split('/')
    return Call(
        method=req.method.decode(),
        path=tuple(unquote(segment) for segment in path),
        query={
            name.decode(): values[-1].decode()
            for name, values in req.args.items()
        },
        headers={
            name.decode().lower(): values[-1].decode()
            for name, values in req.requestHeaders.getAllRawHeaders()
        },
        body=req.content.read(),
    )


class JsonApp(Resource):
    """Respond to calls through one handler; ``None`` means no response."""

    isLeaf = True

    def __init__(self, answer: CallHandler) -> None:
        """Store the handler of all calls."""
        Resource.__init__(self)
        self.answer = answer

    def render(self, req: Any) -> bytes | int:
        """Send the JSON response, with status 400 on ``ValueError``."""
        try:
            response = self.answer(read_call(req))
        except ValueError as exc:
            response = reply({'error': str(exc)}, BAD_REQUEST)
        if response is None:
            return NOT_DONE_YET
        req.setResponseCode(response.status)
        req.setHeader(b'content-type', b'application/json')
        req.setHeader(b'content-length', str(len(response.body)).encode())
        return response.body
