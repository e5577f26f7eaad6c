"""One HTTP/1.1 connection to an endpoint or a store, over Twisted.

A connection carries one request at a time.  An answer that bears another
request's identifier is skipped: it is a late or surplus answer of the other
end.  Bytes that arrive while no request waits end the connection.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any
from typing import Protocol as Interface

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

FIRST_FINAL_STATUS = 200
BODYLESS = frozenset((204, 304))
# The other end gets one second to accept (PROTOCOL.md, on clients).
CONNECT_TIMEOUT_S = 1.0


class TransportFailure(StrEnum):
    """Why a request has no whole answer."""

    NOT_CONNECTED = 'not_connected'
    CLOSED = 'closed'
    MALFORMED = 'malformed'
    TIMEOUT = 'timeout'


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer; header names are lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return next(
            (found for key, found in self.headers if key == name),
            None,
        )


class ResponseListener(Interface):
    """Who hears what becomes of a request."""

    def head_received(self, head: ResponseHead) -> None:
        """Take the status and headers of the answer."""

    def body_received(self, piece: bytes) -> None:
        """Take a piece of the body."""

    def response_completed(self) -> None:
        """Note that the answer is whole."""

    def response_failed(self, loss: TransportFailure) -> None:
        """Note that no more will come of an answer that is not whole."""


class HttpConnection(Protocol):
    """Parse the answers of one connection."""

    def __init__(
        self,
        request: bytes,
        listener: ResponseListener,
        id_header: bytes = b'',
        request_id: bytes = b'',
    ) -> None:
        """Keep the first request until the connection is made."""
        self._request = request
        self._listener: ResponseListener | None = listener
        self._id_header = id_header
        self._request_id = request_id
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._in_answer = False
        self._skipping = False
        self._framed = False
        self.is_reusable = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first request."""
        self._out.setTcpNoDelay(True)
        self._out.write(self._request)

    def send(self, request: bytes, listener: ResponseListener) -> None:
        """Send another request on a connection that is free."""
        self._listener = listener
        self.is_reusable = False
        self._out.write(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Feed the parser."""
        if self._listener is None:
            self.drop()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._lose(TransportFailure.MALFORMED)
            self.drop()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Tell the listener, unless the end of the connection ends a body."""
        self.is_reusable = False
        clean = reason is not None and reason.check(ConnectionDone)
        unframed = self._in_answer and not self._framed and not self._skipping
        if clean and unframed:
            self.on_message_complete()
        self._lose(TransportFailure.CLOSED)

    def drop(self) -> None:
        """End the connection at once and hear no more of it."""
        self._listener = None
        self.is_reusable = False
        if self.transport is not None:
            self.transport.abortConnection()

    def on_message_begin(self) -> None:
        """Start to collect headers."""
        self._headers = []
        self._framed = False
        self._skipping = False

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep one header."""
        lowered = name.lower()
        if lowered in {b'content-length', b'transfer-encoding'}:
            self._framed = True
        self._headers.append((lowered, content))

    def on_headers_complete(self) -> None:
        """Pass the head on, if it belongs to the request that waits."""
        status = self._parser.get_status_code()
        head = ResponseHead(status, tuple(self._headers))
        other = head.get(self._id_header) or self._request_id
        if status < FIRST_FINAL_STATUS or other != self._request_id:
            self._skipping = True
            return
        self._framed = self._framed or status in BODYLESS
        self._in_answer = True
        if self._listener is not None:
            self._listener.head_received(head)

    def on_body(self, piece: bytes) -> None:
        """Pass a piece of the body on."""
        if self._listener is not None and not self._skipping:
            self._listener.body_received(piece)

    def on_message_complete(self) -> None:
        """Tell that the answer is whole; the connection is free again."""
        if self._skipping or not self._in_answer:
            return
        self._in_answer = False
        listener = self._listener
        self._listener = None
        self.is_reusable = self._framed and self._parser.should_keep_alive()
        if listener is not None:
            listener.response_completed()

    @property
    def _out(self) -> Any:
        return self.transport

    def _lose(self, loss: TransportFailure) -> None:
        listener = self._listener
        self._listener = None
        if listener is not None:
            listener.response_failed(loss)


class HttpConnector(ClientFactory):
    """Open one connection; a failure to connect goes to the listener."""

    noisy = False

    def __init__(
        self,
        connection: HttpConnection,
        on_failure: Callable[[TransportFailure], None],
    ) -> None:
        """Prepare to connect."""
        self._connection = connection
        self._on_failure = on_failure

    def buildProtocol(self, addr: Any) -> HttpConnection:  # noqa: N802
        """Return the connection's protocol."""
        return self._connection

    def clientConnectionFailed(  # noqa: N802
        self,
        connector: Any,
        reason: Any,
    ) -> None:
        """Tell that no connection was made: nothing has been sent."""
        self._on_failure(TransportFailure.NOT_CONNECTED)


class Exchange:
    """A request on a connection of its own."""

    def __init__(self, connection: HttpConnection, connector: Any) -> None:
        """Keep what ends the exchange."""
        self.connection = connection
        self._connector = connector

    def cancel(self) -> None:
        """Close the connection, made or not, and hear no more of it."""
        self.connection.drop()
        self._connector.disconnect()


def open_exchange(
    reactor: Any,
    address: str,
    connection: HttpConnection,
    on_failure: Callable[[TransportFailure], None],
) -> Exchange:
    """Connect to ``host:port`` and send the connection's first request."""
    host, _, port = address.rpartition(':')
    factory = HttpConnector(connection, on_failure)
    connector = reactor.connectTCP(
        host,
        int(port),
        factory,
        timeout=CONNECT_TIMEOUT_S,
    )
    return Exchange(connection, connector)
