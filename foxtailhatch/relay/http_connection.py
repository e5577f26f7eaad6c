"""One HTTP/1.1 client connection to an endpoint or a store, over Twisted.

A connection carries one request at a time.  A response with the identifier of
another request is skipped: it is late or duplicate.  Bytes that arrive while
no request is pending close the connection, and so do too many bytes or header
fields that bring nothing of the response.

What is read at once is parsed in slices, as a read may hold thousands of chunks.
All connections share an allowance for each turn of the loop.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any
from typing import Protocol as Interface

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer, IPushProducer
from twisted.internet.protocol import ClientFactory, Protocol
from zope.interface import implementer

from foxtailhatch.core import InvariantViolation
from foxtailhatch.relay.body_memory import HeldBody
from foxtailhatch.relay.response_intake import ResponseIntake, intake_of

FIRST_INTERIM_STATUS = 100
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
LAST_FINAL_STATUS = 599
BODYLESS_STATUSES = frozenset((204, 304))
# The protocol gives the peer one second to accept (PROTOCOL.md, on clients).
CONNECT_TIMEOUT_S = 1.0
# Bytes in a row that bring neither a head nor a part of the body, such as a head
# without end, trailers, or responses to other requests.  A server in trouble
# may send them without end, and the parser stores some of them.
MAX_OVERHEAD_BYTES = 262_144
# Limits on the fields of a head, trailers and skipped responses in a row.
MAX_HEADER_FIELDS = 256
MAX_FIELDS_BYTES = 65_536
# What a parsed field takes besides its name and value.
FIELD_MEMORY_BYTES = 200
# A slice grows while it brings few callbacks, as those of a long body do.
MIN_SLICE_BYTES = 512
MAX_SLICE_BYTES = 16_384
FEW_CALLBACKS = 16
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
    HEADER_FIELDS = 'header fields'
    MEMORY = 'memory of all responses'


class UnusableResponseError(Exception):
    """Stop the parser, as the response cannot be used."""


class LimitExceededError(UnusableResponseError):
    """Stop the parser, as the response exceeds a limit."""


class InvalidStatusError(UnusableResponseError):
    """Stop the parser, as no response may have the status."""


@dataclass(slots=True)
class _Overhead:
    """What has arrived in a row without a part of the response."""

    received_bytes: int = 0
    fields: int = 0
    fields_bytes: int = 0

    @property
    def memory_bytes(self) -> int:
        """Return what the parser and the parsed fields take."""
        return self.received_bytes + self.fields * FIELD_MEMORY_BYTES


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


@implementer(IPushProducer)
class HttpConnection(Protocol):
    """Send requests and parse the responses of one connection.

    It is a push producer, which a slow reader of the body may pause.
    """

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
        is the limit that ended the response, if one did.  ``invalid_status`` is
        the status for which it was ended.
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
        self._overhead = _Overhead()
        self._unparsed = b''
        self._pieces: list[bytes] = []
        self._callbacks = 0
        self._slice_bytes = MIN_SLICE_BYTES
        self._head_memory_bytes = 0
        self._intake: ResponseIntake | None = None
        self._held: HeldBody | None = None
        self._is_held_back = False
        self._is_waiting = False
        self._is_paused = False
        self._is_closed = False
        self._is_clean = False
        self.received_bytes = 0
        self.exceeded: ResponseLimit | None = None
        self.invalid_status: int | None = None
        self.is_reusable = False

    def share(self, intake: ResponseIntake) -> None:
        """Count what responses take toward the limits of ``intake``."""
        self._intake = intake
        self._held = intake.memory.hold()

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
        self._overhead = _Overhead()
        self.received_bytes = 0
        self.is_reusable = False
        self._out.write(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Feed received bytes to the parser."""
        if self._listener is None:
            self.abort()
            return
        self.received_bytes += len(data)
        self._unparsed += data
        is_small = len(self._unparsed) <= MIN_SLICE_BYTES
        if self._is_waiting or self._is_held_back:
            return
        if is_small or not self._is_used_up:
            self._parse()
        else:
            self._wait()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading until the reader of the body can take more."""
        self._is_held_back = True
        self._apply_pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on, as the reader of the body can take more."""
        self._is_held_back = False
        if self._unparsed and not self._is_waiting:
            self._wait()
        self._apply_pause()

    def stopProducing(self) -> None:  # noqa: N802
        """Close the connection, as the reader of the body is gone."""
        self._out.stopProducing()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Notify the listener of the end, once all that came is parsed.

        A clean close completes a body that has neither a length nor chunked
        encoding; otherwise the response has failed.
        """
        self.is_reusable = False
        self._is_closed = True
        self._is_clean = reason is not None and bool(
            reason.check(ConnectionDone)
        )
        if not self._is_waiting:
            self._parse()
            self._finish_loss()

    def abort(self) -> None:
        """Abort the connection without notifying the listener."""
        self._listener = None
        self.is_reusable = False
        self._is_closed = True
        self._unparsed = b''
        self._release()
        self._drop_request()
        if self.transport is not None:
            self.transport.abortConnection()

    def on_message_begin(self) -> None:
        """Reset the state for a new response.

        One that begins behind a complete response would be taken for that to
        the next request, so the connection has none.
        """
        self._callbacks += 1
        if self._listener is None:
            self.is_reusable = False
        self._headers = []
        self._is_framed = False
        self._is_skipping = False

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store one header, unless there are too many."""
        self._callbacks += 1
        self._count_field(len(name) + len(content))
        lowered = name.lower()
        if lowered in {b'content-length', b'transfer-encoding'}:
            self._is_framed = True
        self._headers.append((lowered, content))

    def on_headers_complete(self) -> None:
        """Forward the head if it is final and answers the pending request."""
        self._callbacks += 1
        status = self._parser.get_status_code()
        if not is_valid_status(status):
            self.invalid_status = status
            raise InvalidStatusError(str(status))
        head = ResponseHead(status, tuple(self._headers))
        other = head.get(self._id_header) or self._request_id
        if status < FIRST_FINAL_STATUS or other != self._request_id:
            self._is_skipping = True
            return
        self._is_framed = self._is_framed or status in BODYLESS_STATUSES
        self._in_response = True
        self._head_memory_bytes = self._overhead.memory_bytes
        self._overhead = _Overhead()
        if self._listener is not None:
            self._listener.head_received(head)

    def on_body(self, chunk: bytes) -> None:
        """Keep a chunk of the body until the slice is parsed."""
        self._callbacks += 1
        if self._listener is not None and not self._is_skipping:
            self._overhead = _Overhead()
            self._pieces.append(chunk)

    def on_message_complete(self) -> None:
        """Notify the listener of the complete response and become idle."""
        if self._is_skipping or not self._in_response:
            return
        self._forward_body()
        self._in_response = False
        self._release()
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
    def has_unread(self) -> bool:
        """Return whether bytes may have arrived that are not forwarded yet.

        The reader of the body is slow, or the parser waits for its turn.
        """
        return self._is_held_back or self._is_waiting

    @property
    def is_framed(self) -> bool:
        """Return whether the response has a length or chunks."""
        return self._is_framed

    @property
    def _out(self) -> Any:
        return self.transport

    @property
    def _is_used_up(self) -> bool:
        return self._intake is not None and self._intake.allowance.is_used_up

    def _parse(self) -> None:
        """Parse what has arrived, as far as the allowance goes."""
        raw = self._unparsed
        self._unparsed = b''
        begin = 0
        while begin < len(raw):
            end = begin + self._slice_bytes
            self._parse_slice(raw[begin:end])
            begin = end
            is_cut = begin < len(raw)
            if is_cut and self._listener is None:
                self.abort()
                return
            if is_cut and self._is_used_up:
                self._unparsed = raw[begin:]
                self._wait()
                return
        self._apply_pause()

    def _parse_slice(self, piece: bytes) -> None:
        self._overhead.received_bytes += len(piece)
        self._callbacks = 0
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as exc:
            error = exc.__context__
            if isinstance(error, InvariantViolation):
                raise error from exc
            self._forward_body()
            self._fail_malformed()
            if error is None or isinstance(error, UnusableResponseError):
                return
            # An error of a listener is none of the peer's.
            raise error from exc
        finally:
            self._count_callbacks()
        self._forward_body()
        self._check_limits()

    def _count_callbacks(self) -> None:
        if self._intake is not None:
            self._intake.allowance.spend(self._callbacks)
        is_dense = self._callbacks > FEW_CALLBACKS
        self._slice_bytes = (
            MIN_SLICE_BYTES
            if is_dense
            else min(2 * self._slice_bytes, MAX_SLICE_BYTES)
        )

    def _count_field(self, size: int) -> None:
        overhead = self._overhead
        overhead.fields += 1
        overhead.fields_bytes += size
        too_many = overhead.fields > MAX_HEADER_FIELDS
        if too_many or overhead.fields_bytes > MAX_FIELDS_BYTES:
            self.exceeded = ResponseLimit.HEADER_FIELDS
            raise LimitExceededError(self.exceeded.value)

    def _check_limits(self) -> None:
        """End a response that takes too much, alone or with all others."""
        if self._listener is None:
            return
        overhead = self._overhead
        memory_bytes = self._head_memory_bytes + overhead.memory_bytes
        if overhead.received_bytes > MAX_OVERHEAD_BYTES:
            self.exceeded = ResponseLimit.OVERHEAD
        elif self._held is not None and not self._held.resize(memory_bytes):
            self.exceeded = ResponseLimit.MEMORY
        else:
            return
        self._fail_malformed()

    def _forward_body(self) -> None:
        """Forward the chunks of a slice together."""
        pieces = self._pieces
        if not pieces:
            return
        self._pieces = []
        if self._listener is not None:
            self._listener.body_received(b''.join(pieces))

    def _wait(self) -> None:
        """Go on with the rest in a later turn of the loop."""
        if self._intake is not None:
            self._is_waiting = True
            self._intake.allowance.wait(self._parse_rest)
        self._apply_pause()

    def _parse_rest(self) -> None:
        self._is_waiting = False
        if self._is_closed or not self._is_held_back:
            self._parse()
        if self._is_closed:
            self._finish_loss()

    def _finish_loss(self) -> None:
        """End the response of a closed connection, unless a part waits."""
        if self._is_waiting:
            return
        unframed = (
            self._in_response and not self._is_framed and not self._is_skipping
        )
        if self._is_clean and unframed:
            self.on_message_complete()
        self._fail(TransportFailure.CLOSED)

    def _apply_pause(self) -> None:
        """Read only while nothing waits and the reader takes more."""
        should_pause = self._is_held_back or self._is_waiting
        if self._is_closed or should_pause == self._is_paused:
            return
        self._is_paused = should_pause
        if should_pause:
            self._out.pauseProducing()
        else:
            self._out.resumeProducing()

    def _release(self) -> None:
        """Give back the memory of a response that is over."""
        self._head_memory_bytes = 0
        if self._held is not None:
            self._held.release()

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
        self._release()
        if listener is not None:
            listener.response_failed(fault)


def is_valid_status(status: int) -> bool:
    """Return whether a response may have this status.

    No request asks to switch protocols.

    >>> [is_valid_status(status) for status in (0, 99, 101, 103, 599, 600)]
    [False, False, False, True, True, False]
    """
    if status == SWITCHING_PROTOCOLS:
        return False
    return FIRST_INTERIM_STATUS <= status <= LAST_FINAL_STATUS


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
    connection.share(intake_of(reactor))
    host, _, port = address.rpartition(':')
    factory = HttpConnector(connection, on_failure)
    connector = reactor.connectTCP(
        host,
        int(port),
        factory,
        timeout=CONNECT_TIMEOUT_S,
    )
    return Exchange(connection, connector)
