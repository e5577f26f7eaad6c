"""The small HTTP sites beside the front: readiness, advice and metrics."""

from collections.abc import Callable, Mapping
from typing import Any

import orjson
from twisted.web.resource import Resource
from twisted.web.server import Site

UNAVAILABLE = 503
NOT_FOUND = 404
Answerer = Callable[[Mapping[bytes, list[bytes]]], bytes | None]


class StatusPage(Resource):
    """Answer one path with what a function returns for the query.

    ``None`` stands for a service that is not available now.
    """

    isLeaf = True  # noqa: WPS115

    def __init__(self, answerer: Answerer, content_type: bytes) -> None:
        """Answer with the content type given."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._answerer = answerer
        self._content_type = content_type

    def render_GET(self, req: Any) -> bytes:  # noqa: N802
        """Answer a request."""
        content = self._answerer(req.args)
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


def page_site(path: bytes, answerer: Answerer, content_type: bytes) -> Site:
    """Return a site that serves one page."""
    site = Site(SinglePageSite(path, StatusPage(answerer, content_type)))
    site.noisy = False
    return site


def first_query_value(args: Mapping[bytes, list[bytes]], name: bytes) -> str:
    """Return the first value of a query's field, or an empty text."""
    found = args.get(name)
    return found[0].decode('utf-8', 'replace') if found else ''


def json_bytes(document: object) -> bytes:
    """Return a document as JSON."""
    return orjson.dumps(document)
