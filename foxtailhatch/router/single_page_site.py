"""HTTP sites with a single page: readiness, advice and metrics."""

from collections.abc import Callable, Mapping
from typing import Any

import orjson
from twisted.web.resource import Resource
from twisted.web.server import Site

from foxtailhatch.router.counted_channel import CountedSite

UNAVAILABLE = 503
NOT_FOUND = 404
PageHandler = Callable[[Mapping[bytes, list[bytes]], str], bytes | None]


class StatusPage(Resource):
    """Serve the content that a handler returns for a query and its caller.

    The handler is told the host of the connection.

    If it returns ``None``, the response is 503 (service unavailable).
    """

    isLeaf = True  # noqa: WPS115

    def __init__(self, handler: PageHandler, content_type: bytes) -> None:
        """Serve the content of ``handler`` as ``content_type``."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._handler = handler
        self._content_type = content_type

    def render_GET(self, req: Any) -> bytes:  # noqa: N802
        """Respond to a GET request."""
        content = self._handler(req.args, req.getClientAddress().host)
        if content is None:
            req.setResponseCode(UNAVAILABLE)
            return b''
        req.setHeader(b'content-type', self._content_type)
        return content


class SinglePageSite(Resource):
    """A site with a single page."""

    def __init__(self, path: bytes, page: StatusPage) -> None:
        """Serve the page at ``path``."""
        super().__init__()  # type: ignore[no-untyped-call]
        self.putChild(path.strip(b'/'), page)  # type: ignore[arg-type]


def page_site(path: bytes, handler: PageHandler, content_type: bytes) -> Site:
    """Return a site that serves one page."""
    page = SinglePageSite(path, StatusPage(handler, content_type))
    return CountedSite(page)  # type: ignore[no-untyped-call]


def first_query_value(args: Mapping[bytes, list[bytes]], name: bytes) -> str:
    """Return the first value of a query parameter, or an empty string."""
    values = args.get(name)
    return values[0].decode('utf-8', 'replace') if values else ''


def encode_json(document: object) -> bytes:
    """Return a document as JSON bytes."""
    return orjson.dumps(document)
