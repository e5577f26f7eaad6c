"""One connection of a caller, and what is still owed on it.

An answer that is written to the transport has not reached its caller yet, and a
request that is read behind another one has not begun.  Both show here only.
"""

from enum import StrEnum
from typing import Any, Protocol

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.web import http
from zope.interface import implementer

from foxtailhatch.relay.refusals import RelayRefusal

# Time for a caller to close its end of a connection after an answer, as a close
# with unread bytes would reset the connection and could drop the answer.
LINGER_S = 1.0


class RequestStage(StrEnum):
    """How far the exchange of a request has come.

    A request is ``RECEIVING`` until its body is whole, then ``RELAYING`` until
    its answer is complete, and then ``SENDING`` until the transport has handed
    all of the answer to the system.
    """

    RECEIVING = 'receiving'
    RELAYING = 'relaying'
    SENDING = 'sending'


class ChannelObserver(Protocol):
    """Follow the connections of callers."""

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop was requested."""

    def channel_opened(self, channel: 'CallerChannel') -> None:
        """Record a new connection."""

    def channel_closed(self, channel: 'CallerChannel') -> None:
        """Record the end of a connection."""

    def record_undelivered(self, request_id: str) -> None:
        """Record that a connection ended before all of an answer was sent."""


@implementer(IHalfCloseableProtocol)
class CallerChannel(http.HTTPChannel):
    """The HTTP/1.1 connection of a caller."""

    observer: ChannelObserver
    transport: Any
    _path: Any

    def __init__(self) -> None:
        """Start without a request."""
        super().__init__()  # type: ignore[no-untyped-call]
        self.is_closing = False
        self._is_lingering = False
        self._is_delivered = False
        self._was_idle = False
        self._answered_id: str | None = None

    @property
    def has_more_input(self) -> bool:
        """Return whether bytes were read behind the current request."""
        return any(self._dataBuffer)

    @property
    def request_line(self) -> tuple[bytes, bytes, bytes]:
        """Return method, target and version of the request being received."""
        return self._command, self._path, self._version

    @property
    def is_outstanding(self) -> bool:
        """Return whether a request or a part of an answer may be pending.

        After an answer this holds until the connection is closed, as only then
        all of it is known to be handed over.
        """
        return bool(
            self.requests or self.is_closing or self._answered_id is not None
        )

    def pending_requests(self) -> list[tuple[str, RequestStage]]:
        """Return the requests without a delivered answer, with their stages."""
        pending = [(req.request_id, req.stage) for req in self.requests]
        if self.is_closing and not self._is_delivered:
            answered_id = self._answered_id
            if answered_id is not None:
                pending.append((answered_id, RequestStage.SENDING))
        return pending

    def request_answered(self, request_id: str) -> None:
        """Record that the answer of a request was written."""
        self._answered_id = request_id

    def close_if_idle(self) -> None:
        """Close a connection that was idle in two calls in a row."""
        is_idle = not self.requests and not self.is_closing
        if is_idle and self._was_idle:
            # Without a half-close: a request that crosses it must stay unread.
            self.is_closing = True
            self._networkProducer.unregisterProducer()
            self.transport.loseConnection()
        self._was_idle = is_idle

    def refuse_partial(self, refusal: RelayRefusal) -> None:
        """Refuse a request whose body is incomplete."""
        if self.requests and not self.is_closing:
            self.requests[-1].refuse_partial(refusal)

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection."""
        super().connectionMade()  # type: ignore[no-untyped-call]
        self.observer.channel_opened(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Record an answer that was not sent completely."""
        is_paused = self._waitingForTransport and not self._is_delivered
        is_cut = self._is_lingering and not self._is_delivered
        if self._answered_id is not None and (is_paused or is_cut):
            self.observer.record_undelivered(self._answered_id)
        self.observer.channel_closed(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Drop what follows an answer that ends the connection."""
        if self._is_lingering and self._transferDecoder is None:
            self.resetTimeout()  # type: ignore[no-untyped-call]
            return
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def allContentReceived(self) -> None:  # noqa: N802
        """Handle a request, unless it was refused before it was whole."""
        if self._is_lingering:
            self._transferDecoder = None
            return
        super().allContentReceived()  # type: ignore[no-untyped-call]

    def loseConnection(self) -> None:  # noqa: N802
        """Send what is written, and close the connection.

        In a planned stop, or within the body of a request, only this end is
        closed first.
        """
        if self.is_closing:
            return
        self.is_closing = True
        is_partial = self._transferDecoder is not None
        if not is_partial and not self.observer.is_stopping:
            super().loseConnection()  # type: ignore[no-untyped-call]
            return
        self._is_lingering = True
        self.setTimeout(None)  # type: ignore[no-untyped-call]
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Wait for the caller to close its end, as all was handed over."""
        self._is_delivered = True
        self.setTimeout(LINGER_S)  # type: ignore[no-untyped-call]

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection, as the caller has closed its end."""
        if self._is_delivered:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close an idle connection, or one that the caller leaves open."""
        if self._is_lingering:
            self.transport.loseConnection()
        else:
            super().timeoutConnection()  # type: ignore[no-untyped-call]

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        if self._is_lingering:
            self.transport.abortConnection()
            return
        super()._respondToBadRequestAndDisconnect()  # type: ignore[no-untyped-call]
