"""The HTTP front: callers' requests over ``twisted.web``."""

from collections.abc import Iterable
from io import BytesIO
from typing import Any, Protocol

from returns.result import Success
from twisted.web import http

from foxtailhatch.relay.refusal_response import send_refusal
from foxtailhatch.relay.refusals import RefusalReason, RelayRefusal
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.request import CallerConnection, RelayRequest
from foxtailhatch.router.adapter import DecodeRequest


class FrontendHandler(Protocol):
    """What the front does with a request."""

    @property
    def body_limit(self) -> int:
        """Return the longest body, in bytes, that is read."""

    @property
    def is_stopping(self) -> bool:
        """Tell whether connections are to be closed after an answer."""

    @property
    def decode(self) -> DecodeRequest:
        """Return the decoder of requests."""

    def accept(
        self,
        req: RelayRequest,
        caller: CallerConnection,
    ) -> Relay | None:
        """Begin to relay; ``None`` if the request was refused."""

    def refused(self, refusal: RelayRefusal, request_id: str) -> None:
        """Note a refusal that the front made itself."""


class FrontendRequest(http.Request):
    """One request of a caller, and the caller's side of its answer."""

    door: FrontendHandler

    def __init__(self, channel: Any, _: object = None) -> None:
        """Start without a relay."""
        super().__init__(channel, parsePOSTFormSubmission=False)
        self._body = BytesIO()
        self._relay: Relay | None = None
        self._too_large = False
        self._flows = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Keep the body in memory, unless it is longer than allowed."""
        self.content = self._body
        self._too_large = length is not None and length > self.door.body_limit

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Take a part of the body."""
        size = self._body.tell() + len(data)
        self._too_large = self._too_large or size > self.door.body_limit
        if not self._too_large:
            self._body.write(data)

    def process(self) -> None:
        """Relay the request, or refuse it."""
        self.notifyFinish().addErrback(self._left)
        if self._too_large:
            self._refuse(RelayRefusal(RefusalReason.BODY_TOO_LARGE))
            return
        decoded = self.door.decode(
            self.method.decode('latin-1'),
            self.uri.decode('latin-1'),
            _raw_headers(self),
            self._body.getvalue(),
        )
        if isinstance(decoded, Success):
            self._relay = self.door.accept(decoded.unwrap(), self)
        else:
            self._refuse(decoded.failure())

    def start(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> None:
        """Send status and headers."""
        self.setResponseCode(status)
        for name, found in headers:
            self.responseHeaders.addRawHeader(name, found)
        if self.door.is_stopping:
            self.responseHeaders.setRawHeaders(b'connection', [b'close'])
            self.channel.persistent = False

    def finish(self) -> None:
        """End the answer as complete."""
        self.set_backpressure_source(None)
        super().finish()  # type: ignore[no-untyped-call]

    def abort(self) -> None:
        """Close the connection with the answer incomplete."""
        self.set_backpressure_source(None)
        self.channel.loseConnection()

    def set_backpressure_source(self, transport: Any) -> None:
        """Let the caller's reading pace slow ``transport`` down."""
        if self._flows:
            self._flows = False
            self.unregisterProducer()  # type: ignore[no-untyped-call]
        if transport is not None:
            self._flows = True
            self.registerProducer(transport, True)  # type: ignore[no-untyped-call]

    def _refuse(self, refusal: RelayRefusal) -> None:
        self.door.refused(refusal, '')
        send_refusal(self, refusal)

    def _left(self, _: object) -> None:
        if self._relay is not None:
            self._flows = False
            self._relay.caller_disconnected()


class FrontendFactory(http.HTTPFactory):
    """Serve callers' connections."""

    noisy = False

    def __init__(self, door: FrontendHandler, idle_timeout_s: float) -> None:
        """Close connections that are idle for longer than the timeout."""
        super().__init__(timeout=idle_timeout_s)
        self._request_type = type(
            'DoorRequest', (FrontendRequest,), {'door': door}
        )

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the protocol of one connection."""
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = self._request_type
        return channel


def _raw_headers(req: http.Request) -> Iterable[tuple[bytes, bytes]]:
    for name, values in req.requestHeaders.getAllRawHeaders():
        for found in values:
            yield name, found
