"""One HTTP/1.1 client connection to an endpoint or a store, over Twisted.

A connection carries one request at a time.  A response with the identifier of
another request is skipped: it is late or duplicate.  Bytes that arrive while
no request is pending close the connection, and so do too many bytes that bring
nothing of the response.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any
from typing import Protocol as Interface

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import ClientFactory, Protocol
from zope.interface import implementer

FIRST_FINAL_STATUS = 200
BODYLESS_STATUSES = frozenset((204, 304))
# The protocol gives the peer one second to accept (PROTOCOL.md, on clients).
CONNECT_TIMEOUT_S = 1.0
# Bytes in a row that bring neither a head nor a part of the body, such as a head
# without end, trailers, or responses to other requests.  A server in trouble
# may send them without end, and the parser stores some of them.
MAX_OVERHEAD_BYTES = 262_144
# A longer body is written in pieces of this size as the peer takes them, so that
# the transport holds no copy of all of it.
PIECE_BYTES = 65_536


class TransportFailure(StrEnum):
    """Why a request has no complete response.

    A call with a timeout of its own that ends before there is a connection is
    ``UNCONNECTED``.
    """

    NOT_CONNECTED = 'not_connected'
    UNCONNECTED = 'unconnected'
    CLOSED = 'closed'
    MALFORMED = 'malformed'
    TIMEOUT = 'timeout'


class ResponseLimit(StrEnum):
    """The limit that a response exceeded, for which it was ended."""

    OVERHEAD = 'overhead'


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        return next(
            (content for key, content in self.headers if key == name),
            None,
        )


class ResponseListener(Interface):
    """Receive the parts of the response to a request."""

    def head_received(self, head: ResponseHead) -> None:
        """Handle the status and headers."""

    def body_received(self, chunk: bytes) -> None:
        """Handle a chunk of the body."""

    def response_completed(self) -> None:
        """Handle the end of a complete response."""

    def response_failed(self, fault: TransportFailure) -> None:
        """Handle a failure; nothing more arrives of the response."""


class HttpConnection(Protocol):
    """Send requests and parse the responses of one connection."""

    def __init__(
        self,
        request: bytes,
        listener: ResponseListener,
        id_header: bytes = b'',
        request_id: bytes = b'',
        body: bytes = b'',
    ) -> None:
        """Store the first request until the connection is established.

        ``request`` is sent as it is, and ``body`` after it.
        ``received_bytes`` are those since the last request, and ``exceeded``
        is the limit that ended the response, if one did.
        """
        self._request = request
        self._body = body
        self._listener: ResponseListener | None = listener
        self._id_header = id_header
        self._request_id = request_id
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._in_response = False
        self._is_skipping = False
        self._is_framed = False
        self._overhead_bytes = 0
        self.received_bytes = 0
        self.exceeded: ResponseLimit | None = None
        self.is_reusable = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first request."""
        self._out.setTcpNoDelay(True)
        request, body = self._request, self._body
        self._drop_request()
        if len(body) <= PIECE_BYTES:
            self._out.write(request + body)
            return
        self._out.write(request)
        self._out.registerProducer(BodySender(self._out, body), False)

    def send(self, request: bytes, listener: ResponseListener) -> None:
        """Send another request on an idle connection."""
        self._listener = listener
        self._overhead_bytes = 0
        self.received_bytes = 0
        self.is_reusable = False
        self._out.write(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Feed received bytes to the parser."""
        if self._listener is None:
            self.abort()
            return
        self.received_bytes += len(data)
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail_malformed()
            return
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self.exceeded = ResponseLimit.OVERHEAD
            self._fail_malformed()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Notify the listener of the end of the connection.

        A clean close completes a body that has neither a length nor chunked
        encoding; otherwise the response has failed.
        """
        self.is_reusable = False
        clean = reason is not None and reason.check(ConnectionDone)
        unframed = (
            self._in_response and not self._is_framed and not self._is_skipping
        )
        if clean and unframed:
            self.on_message_complete()
        self._fail(TransportFailure.CLOSED)

    def abort(self) -> None:
        """Abort the connection without notifying the listener."""
        self._listener = None
        self.is_reusable = False
        self._drop_request()
        if self.transport is not None:
            self.transport.abortConnection()

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._headers = []
        self._is_framed = False
        self._is_skipping = False

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store one header."""
        lowered = name.lower()
        if lowered in {b'content-length', b'transfer-encoding'}:
            self._is_framed = True
        self._headers.append((lowered, content))

    def on_headers_complete(self) -> None:
        """Forward the head if it is final and answers the pending request."""
        status = self._parser.get_status_code()
        head = ResponseHead(status, tuple(self._headers))
        other = head.get(self._id_header) or self._request_id
        if status < FIRST_FINAL_STATUS or other != self._request_id:
            self._is_skipping = True
            return
        self._is_framed = self._is_framed or status in BODYLESS_STATUSES
        self._in_response = True
        self._overhead_bytes = 0
        if self._listener is not None:
            self._listener.head_received(head)

    def on_body(self, chunk: bytes) -> None:
        """Forward a chunk of the body."""
        if self._listener is not None and not self._is_skipping:
            self._overhead_bytes = 0
            self._listener.body_received(chunk)

    def on_message_complete(self) -> None:
        """Notify the listener of the complete response and become idle."""
        if self._is_skipping or not self._in_response:
            return
        self._in_response = False
        listener = self._listener
        self._listener = None
        self.is_reusable = self._is_framed and self._parser.should_keep_alive()
        if listener is not None:
            listener.response_completed()

    @property
    def is_connected(self) -> bool:
        """Return whether the peer has accepted the connection."""
        return self.transport is not None

    @property
    def is_framed(self) -> bool:
        """Return whether the response has a length or chunks."""
        return self._is_framed

    @property
    def _out(self) -> Any:
        return self.transport

    def _drop_request(self) -> None:
        """Drop the request, which may be large."""
        self._request = b''
        self._body = b''

    def _fail_malformed(self) -> None:
        self._fail(TransportFailure.MALFORMED)
        self.abort()

    def _fail(self, fault: TransportFailure) -> None:
        listener = self._listener
        self._listener = None
        if listener is not None:
            listener.response_failed(fault)


@implementer(IPullProducer)
class BodySender:
    """Write a body piece by piece, each when the one before was sent."""

    def __init__(self, transport: Any, body: bytes) -> None:
        """Start at the beginning of ``body``."""
        self._transport = transport
        self._left = memoryview(body)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next piece."""
        self._transport.write(bytes(self._left[:PIECE_BYTES]))
        self._left = self._left[PIECE_BYTES:]
        if not self._left:
            self._transport.unregisterProducer()
            self.stopProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop what is left."""
        self._left = memoryview(b'')


class HttpConnector(ClientFactory):
    """Open one connection; ``on_failure`` is called if that fails."""

    noisy = False

    def __init__(
        self,
        connection: HttpConnection,
        on_failure: Callable[[TransportFailure], None],
    ) -> None:
        """Store the protocol of the connection to open."""
        self._connection = connection
        self._on_failure = on_failure

    def buildProtocol(self, addr: Any) -> HttpConnection:  # noqa: N802
        """Return the protocol of the connection."""
        return self._connection

    def clientConnectionFailed(  # noqa: N802
        self,
        connector: Any,
        reason: Any,
    ) -> None:
        """Report that the connection failed, so nothing has been sent."""
        self._on_failure(TransportFailure.NOT_CONNECTED)


class Exchange:
    """A request on its own connection, which can be cancelled."""

    def __init__(self, connection: HttpConnection, connector: Any) -> None:
        """Store the connection and its connector."""
        self.connection = connection
        self._connector = connector

    def cancel(self) -> None:
        """Close the connection, or stop connecting, without notification."""
        self.connection.abort()
        self._connector.disconnect()


def open_exchange(
    reactor: Any,
    address: str,
    connection: HttpConnection,
    on_failure: Callable[[TransportFailure], None],
) -> Exchange:
    """Connect to ``host:port`` and send the first request of ``connection``."""
    host, _, port = address.rpartition(':')
    factory = HttpConnector(connection, on_failure)
    connector = reactor.connectTCP(
        host,
        int(port),
        factory,
        timeout=CONNECT_TIMEOUT_S,
    )
    return Exchange(connection, connector)
