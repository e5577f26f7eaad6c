"""HTTP connection that accepts a bounded head and nothing behind a response."""

import re
from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, Request
from twisted.web.client import HTTPConnectionPool
from twisted.web.iweb import IResponse

# Interim responses count toward the head of the response that they precede.
MAX_HEAD_BYTES: Final = 16_384
# A parsed header takes about a hundred times the memory of the shortest line.
MAX_HEAD_LINES: Final = 128
_HEAD_END: Final = re.compile(rb'\n\r?\n')
_HEAD_END_BYTES: Final = 3


class ResponseHeadTooLarge(Exception):
    """Raised when the head of a response exceeds its limits."""


class HeadLimit:
    r"""The size of a head so far, before any of it is parsed.

    >>> head = HeadLimit()
    >>> head.allows(b'HTTP/1.1 200 OK\r\nServer: a\r\n')
    True
    >>> head.allows(b'a:b\n' * 200), head.allows(b'x' * 20_000)
    (False, False)
    """

    def __init__(self) -> None:
        """Start with an empty head."""
        self._bytes = 0
        self._lines = 0
        self._tail = b''

    def allows(self, chunk: bytes) -> bool:
        """Return whether the head may go on with ``chunk``, or end in it."""
        joined = self._tail + chunk
        end = _HEAD_END.search(joined)
        head = joined[: end.end()] if end else joined
        size = self._bytes + len(head)
        lines = self._lines + head.count(b'\n')
        return size <= MAX_HEAD_BYTES and lines <= MAX_HEAD_LINES

    def add(self, chunk: bytes) -> None:
        """Add bytes in which the head did not end."""
        self._bytes += len(chunk)
        self._lines += chunk.count(b'\n')
        self._tail = (self._tail + chunk)[-_HEAD_END_BYTES:]


class BoundedClientProtocol(HTTP11ClientProtocol):
    """A client connection that ends with a reason at the first excess byte."""

    def __init__(self, *args: Any) -> None:
        """Start without a request."""
        untyped: Any = super()
        untyped.__init__(*args)
        self._head: HeadLimit | None = None
        self._excess: ResponseHeadTooLarge | None = None
        self._sent: Any = None
        self._received: Any = None

    def request(self, request: Request) -> 'Deferred[IResponse]':
        """Send a request; its response starts with an empty head."""
        self._head = HeadLimit()
        self._sent = request
        self._received = None
        response: Any = super().request(request)
        response.addCallbacks(self._head_received, self._explain)
        return response  # type: ignore[no-any-return]

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Parse received bytes, unless they exceed what may follow."""
        untyped: Any = super()
        if self._excess is not None:
            return
        if self.state == 'QUIESCENT':
            # Bytes that no request asked for are the beginning of no response.
            untyped.abort()
            return
        head = self._head
        if head is not None and not head.allows(data):
            self._end_connection()
            return
        untyped.dataReceived(data)
        if head is not None and head is self._head:
            head.add(data)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Tell the reader of a body why the connection ended."""
        if self._received is not None and not reason.check(ConnectionDone):
            self._received.lost_by = reason
        untyped: Any = super()
        untyped.connectionLost(reason)

    def _finishResponse(self, rest: bytes) -> None:  # noqa: N802
        """Close a connection on which bytes follow a complete response.

        They would become the beginning of the next response.
        """
        if rest:
            self._sent.persistent = False
        untyped: Any = super()
        untyped._finishResponse(rest)

    def _end_connection(self) -> None:
        self._excess = ResponseHeadTooLarge(
            'the head of the response has more than '
            f'{MAX_HEAD_BYTES} bytes or {MAX_HEAD_LINES} lines',
        )
        transport: Any = self.transport
        transport.abortConnection()

    def _head_received(self, response: Any) -> Any:
        self._head = None
        response.lost_by = None
        self._received = response
        return response

    def _explain(self, failure: Failure) -> Failure:
        """Return the reason for which this side ended the connection."""
        self._head = None
        return failure if self._excess is None else Failure(self._excess)


class _Factory(Factory):
    """Factory of the connections of a pool."""

    noisy = False

    def __init__(self, quiescent_callback: Any, metadata: str) -> None:
        """Keep the callback that returns an idle connection to its pool."""
        self._quiescent_callback = quiescent_callback
        self._metadata = metadata

    def __repr__(self) -> str:
        """Return what the connections are for."""
        return f'BoundedClientFactory({self._metadata})'

    def buildProtocol(self, _: Any) -> BoundedClientProtocol:  # noqa: N802
        """Return the protocol of a new connection."""
        return BoundedClientProtocol(self._quiescent_callback)


class BoundedConnectionPool(HTTPConnectionPool):
    """Pool of connections with bounded heads."""

    _factory: Any = _Factory
