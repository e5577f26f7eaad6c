"""The HTTP front end, which receives callers' requests over ``twisted.web``."""

from collections.abc import Iterable
from io import BytesIO
from typing import Any, Protocol

from returns.result import Success
from twisted.web import http

from foxtailhatch.relay.body_memory import BodyMemory
from foxtailhatch.relay.refusal_response import send_refusal
from foxtailhatch.relay.refusals import RefusalReason, RelayRefusal
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.request import CallerConnection, RelayRequest
from foxtailhatch.router.adapter import DecodeRequest
from foxtailhatch.router.caller_channel import (
    CallerChannel,
    ChannelObserver,
    RequestStage,
)

CHUNKED_VERSION = b'HTTP/1.1'
# Bodies are held for a few tenths of a second, until their requests are answered.
RETRY_AFTER_BODIES_S = 0.25

BODY_TOO_LARGE = RelayRefusal(RefusalReason.BODY_TOO_LARGE)
BODIES_TOO_LARGE = RelayRefusal(
    RefusalReason.BODIES_TOO_LARGE, RETRY_AFTER_BODIES_S
)


class FrontendHandler(ChannelObserver, Protocol):
    """Handle the requests that the front end receives."""

    @property
    def max_body_bytes(self) -> int:
        """Return the maximum size of a request body in bytes."""

    @property
    def bodies(self) -> BodyMemory:
        """Return the memory that bodies may take."""

    @property
    def decode(self) -> DecodeRequest:
        """Return the decoder of requests."""

    def start_relay(
        self,
        req: RelayRequest,
        caller: CallerConnection,
    ) -> Relay | None:
        """Start to relay; return ``None`` if the request was refused."""

    def record_refusal(self, refusal: RelayRefusal, request_id: str) -> None:
        """Record a refusal that the front end itself has made."""


class FrontendRequest(http.Request):
    """One request of a caller, and the connection for its response."""

    handler: FrontendHandler
    channel: Any

    def __init__(self, channel: Any, _: object = None) -> None:
        """Start with an empty body and no relay."""
        super().__init__(channel, parsePOSTFormSubmission=False)
        self.request_id = ''
        self.stage = RequestStage.RECEIVING
        self._body = BytesIO()
        self._held = self.handler.bodies.hold()
        self._relay: Relay | None = None
        self._refusal: RelayRefusal | None = None
        self._has_producer = False
        self.has_head = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Buffer the body in memory, unless its length exceeds a limit."""
        self.content = self._body
        self.has_head = True
        size = length or 0
        if size > self.handler.max_body_bytes:
            self._reject_body(BODY_TOO_LARGE)
        elif not self.handler.bodies.has_room(size):
            self._reject_body(BODIES_TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Buffer a chunk of the body, unless a limit is exceeded."""
        if self._refusal is not None:
            return
        size = self._body.tell() + len(data)
        if size > self.handler.max_body_bytes:
            self._reject_body(BODY_TOO_LARGE)
        elif self._held.resize(size):
            self._body.write(data)
        else:
            self._reject_body(BODIES_TOO_LARGE)

    def process(self) -> None:
        """Decode the request and relay it, or refuse it."""
        self.stage = RequestStage.RELAYING
        self.notifyFinish().addErrback(self._on_disconnect)
        decoded = self.handler.decode(
            self.method.decode('latin-1'),
            self.uri.decode('latin-1'),
            _raw_headers(self),
            self._body.getvalue(),
        )
        if not isinstance(decoded, Success):
            self._refuse(self._refusal or decoded.failure(), '')
            return
        req = decoded.unwrap()
        self.request_id = req.request_id
        if self._refusal is None:
            self._relay = self.handler.start_relay(req, self)
        else:
            self._refuse(self._refusal, req.request_id)

    def refuse_partial(self, refusal: RelayRefusal) -> None:
        """Refuse the request, as its body has not come whole."""
        method, target, version = self.channel.request_line
        self.method = method
        self.uri = target
        self.clientproto = version
        self._reject_body(refusal)
        self.process()

    def start(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> None:
        """Send status and headers of the response."""
        self.setResponseCode(status)
        for name, header_value in headers:
            self.responseHeaders.addRawHeader(name, header_value)
        if self.handler.is_stopping and not self.channel.has_more_input:
            self.responseHeaders.setRawHeaders(b'connection', [b'close'])
            self.channel.persistent = False

    def finish(self) -> None:
        """End the response as complete."""
        self.set_backpressure_source(None)
        self._held.release()
        self.stage = RequestStage.SENDING
        self.channel.request_answered(self.request_id)
        super().finish()  # type: ignore[no-untyped-call]

    def abort(self) -> None:
        """Close the connection with the response incomplete."""
        self.set_backpressure_source(None)
        self._held.release()
        if self.clientproto == CHUNKED_VERSION:
            self.channel.loseConnection()
        else:
            # Without chunks an answer ends with its connection.
            self.channel.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Release the body of a request whose connection is gone."""
        self._held.release()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def set_backpressure_source(self, transport: Any) -> None:
        """Pause and resume ``transport`` at the pace of the caller."""
        if self._has_producer:
            self._has_producer = False
            self.unregisterProducer()  # type: ignore[no-untyped-call]
        if transport is not None:
            self._has_producer = True
            self.registerProducer(transport, True)  # type: ignore[no-untyped-call]

    def _reject_body(self, refusal: RelayRefusal) -> None:
        """Drop the body, and refuse the request once all of it has come."""
        self._refusal = refusal
        self._held.release()
        self._body.seek(0)
        self._body.truncate()

    def _refuse(self, refusal: RelayRefusal, request_id: str) -> None:
        self.handler.record_refusal(refusal, request_id)
        send_refusal(self, refusal)

    def _on_disconnect(self, _: object) -> None:
        if self._relay is not None:
            self._has_producer = False
            self._relay.caller_disconnected()


class FrontendFactory(http.HTTPFactory):
    """Create the protocol for each connection of a caller."""

    noisy = False
    protocol: Any = CallerChannel

    def __init__(self, handler: FrontendHandler, idle_timeout_s: float) -> None:
        """Close connections that are idle for longer than the timeout."""
        super().__init__(timeout=idle_timeout_s)
        self._handler = handler
        self._request_type = type(
            'BoundFrontendRequest', (FrontendRequest,), {'handler': handler}
        )

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the protocol of one connection."""
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = self._request_type
        channel.observer = self._handler
        return channel


def _raw_headers(req: http.Request) -> Iterable[tuple[bytes, bytes]]:
    for name, values in req.requestHeaders.getAllRawHeaders():
        for header_value in values:
            yield name, header_value
