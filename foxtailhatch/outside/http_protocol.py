"""HTTP connection with limits on what it accepts as a response.

The head is bounded, its status is one of the protocol, and nothing may follow
the response.
"""

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
_HTTP: Final = b'HTTP/'
_STATUS_LINE: Final = re.compile(rb'HTTP/1\.[01] [1-5][0-9]{2}(?: .*)?\r?')


class ResponseHeadTooLarge(Exception):
    """Raised when the head of a response exceeds its limits."""


class InvalidStatus(Exception):
    """Raised when a response has a status that the protocol does not have."""


class StatusLine:
    r"""The first line of a response, as far as it has come.

    The parser takes what reads as a number for a status, whatever its range.  It
    refuses a line of another protocol itself.

    >>> line = StatusLine()
    >>> line.is_invalid(b'HTTP/1.1 6'), line.is_invalid(b'00 X\r\n')
    (False, True)
    """

    def __init__(self) -> None:
        """Start with an empty line."""
        self._line = b''
        self._is_read = False

    def is_invalid(self, chunk: bytes) -> bool:
        """Return whether the line ends in ``chunk`` and is malformed."""
        if self._is_read:
            return False
        begin, newline, _ = chunk.partition(b'\n')
        self._line += begin
        self._is_read = bool(newline)
        is_http = self._line.startswith(_HTTP)
        return self._is_read and is_http and not self._is_valid()

    def _is_valid(self) -> bool:
        return _STATUS_LINE.fullmatch(self._line) is not None


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
    """A client connection that ends with a reason at the first invalid byte."""

    def __init__(self, *args: Any) -> None:
        """Start without a request."""
        untyped: Any = super()
        untyped.__init__(*args)
        self._head: HeadLimit | None = None
        self._status = StatusLine()
        self._excess: ResponseHeadTooLarge | InvalidStatus | None = None
        self._sent: Any = None
        self._received: Any = None

    def request(self, request: Request) -> 'Deferred[IResponse]':
        """Send a request; its response starts with an empty head."""
        self._head = HeadLimit()
        self._status = StatusLine()
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
        if head is not None and not self._allows(head, data):
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

    def _allows(self, head: HeadLimit, chunk: bytes) -> bool:
        """Return whether a head may go on; end the connection if it may not."""
        if not head.allows(chunk):
            self._end_connection(
                ResponseHeadTooLarge(
                    'the head of the response has more than '
                    f'{MAX_HEAD_BYTES} bytes or {MAX_HEAD_LINES} lines',
                )
            )
            return False
        if self._status.is_invalid(chunk):
            self._end_connection(
                InvalidStatus('the response has an invalid status')
            )
            return False
        return True

    def _end_connection(
        self, excess: ResponseHeadTooLarge | InvalidStatus
    ) -> None:
        self._excess = excess
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
