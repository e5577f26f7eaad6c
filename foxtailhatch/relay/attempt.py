"""One send of a request to an endpoint or a chain."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailhatch.relay.context import RelayContext, SelectedChain
from foxtailhatch.relay.event_stream import EventSplitter
from foxtailhatch.relay.http_connection import (
    Exchange,
    HttpConnection,
    ResponseHead,
    TransportFailure,
    open_exchange,
)
from foxtailhatch.relay.request import Dispatch, EndpointResponse, RelayRequest


class AttemptOwner(Protocol):
    """Who decides what follows from the events of an attempt."""

    def attempt_head_received(
        self, attempt: 'Attempt', head: ResponseHead
    ) -> None:
        """Take the head of the answer."""

    def attempt_body_received(self, attempt: 'Attempt', piece: bytes) -> None:
        """Take a piece of the body."""

    def attempt_completed(self, attempt: 'Attempt') -> None:
        """Take the end of a whole answer."""

    def attempt_failed(
        self, attempt: 'Attempt', loss: TransportFailure
    ) -> None:
        """Take the loss of the rest of the answer."""


@dataclass(frozen=True, slots=True)
class Sending:
    """What is sent and to whom."""

    req: RelayRequest
    dispatch: Dispatch
    chosen: SelectedChain


class Attempt:
    """Send once; the work is counted until the attempt is over."""

    def __init__(
        self,
        parts: RelayContext,
        sending: Sending,
        owner: AttemptOwner,
        now: float,
    ) -> None:
        """Connect and send."""
        self.chosen = sending.chosen
        self.sent_at = now
        self.answer: EndpointResponse | None = None
        self.splitter = EventSplitter()
        self.is_over = False
        self._parts = parts
        self._owner = owner
        tokens = sending.req.tokens
        self._tokens = tokens.expected if tokens else 0
        self._names = _names(sending.chosen)
        parts.loads.begin(self._names, self._tokens)
        self._connection = HttpConnection(
            parts.wire.encode(sending.req, sending.dispatch),
            self,
            parts.wire.id_header,
            sending.req.request_id.encode('latin-1'),
        )
        self._exchange: Exchange | None = open_exchange(
            parts.reactor,
            self.chosen[0].endpoint.address,
            self._connection,
            self.response_failed,
        )

    @property
    def head_name(self) -> str:
        """Return the endpoint that received the request."""
        return self.chosen[0].endpoint.name

    @property
    def transport(self) -> object:
        """Return the transport that can be paused."""
        return self._connection.transport

    def uses(self, name: str) -> bool:
        """Tell whether an endpoint is part of the attempt."""
        return name in self._names

    def move_to(self, chosen: SelectedChain) -> None:
        """Count the work at the endpoints of a new chain."""
        if self.is_over:
            return
        self._parts.loads.end(self._names, self._tokens)
        self.chosen = chosen
        self._names = _names(chosen)
        self._parts.loads.begin(self._names, self._tokens)

    def cancel(self) -> None:
        """Close the connection, so that the endpoint stops its work."""
        if self._finish() and self._exchange is not None:
            self._exchange.cancel()
        self._exchange = None

    def head_received(self, head: ResponseHead) -> None:
        """Pass the head on."""
        self._tell(lambda: self._owner.attempt_head_received(self, head))

    def body_received(self, piece: bytes) -> None:
        """Pass a piece of the body on."""
        self._tell(lambda: self._owner.attempt_body_received(self, piece))

    def response_completed(self) -> None:
        """Pass the end on and close the connection."""
        self._tell(lambda: self._owner.attempt_completed(self))
        self.cancel()

    def response_failed(self, loss: TransportFailure) -> None:
        """Pass the loss on."""
        if self._finish():
            self._owner.attempt_failed(self, loss)

    def _tell(self, event: Callable[[], None]) -> None:
        if not self.is_over:
            event()

    def _finish(self) -> bool:
        if self.is_over:
            return False
        self.is_over = True
        self._parts.loads.end(self._names, self._tokens)
        return True


def _names(chosen: SelectedChain) -> list[str]:
    return [stage.endpoint.name for stage in chosen]
