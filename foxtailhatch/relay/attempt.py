"""One send of a request to an endpoint or a chain."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailhatch.relay.events import EventSplitter
from foxtailhatch.relay.http_stream import (
    Exchange,
    Head,
    HttpConnection,
    Loss,
    open_exchange,
)
from foxtailhatch.relay.parts import Chosen, RelayParts
from foxtailhatch.relay.request import Dispatch, EndpointAnswer, RelayRequest


class AttemptOwner(Protocol):
    """Who decides what follows from the events of an attempt."""

    def attempt_answered(self, attempt: 'Attempt', head: Head) -> None:
        """Take the head of the answer."""

    def attempt_sent_body(self, attempt: 'Attempt', piece: bytes) -> None:
        """Take a piece of the body."""

    def attempt_ended(self, attempt: 'Attempt') -> None:
        """Take the end of a whole answer."""

    def attempt_lost(self, attempt: 'Attempt', loss: Loss) -> None:
        """Take the loss of the rest of the answer."""


@dataclass(frozen=True, slots=True)
class Sending:
    """What is sent and to whom."""

    req: RelayRequest
    dispatch: Dispatch
    chosen: Chosen


class Attempt:
    """Send once; the work is counted until the attempt is over."""

    def __init__(
        self,
        parts: RelayParts,
        sending: Sending,
        owner: AttemptOwner,
        now: float,
    ) -> None:
        """Connect and send."""
        self.chosen = sending.chosen
        self.sent_at = now
        self.answer: EndpointAnswer | None = None
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
            self.answer_lost,
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

    def move_to(self, chosen: Chosen) -> None:
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

    def head_arrived(self, head: Head) -> None:
        """Pass the head on."""
        self._tell(lambda: self._owner.attempt_answered(self, head))

    def body_arrived(self, piece: bytes) -> None:
        """Pass a piece of the body on."""
        self._tell(lambda: self._owner.attempt_sent_body(self, piece))

    def answer_ended(self) -> None:
        """Pass the end on and close the connection."""
        self._tell(lambda: self._owner.attempt_ended(self))
        self.cancel()

    def answer_lost(self, loss: Loss) -> None:
        """Pass the loss on."""
        if self._finish():
            self._owner.attempt_lost(self, loss)

    def _tell(self, event: Callable[[], None]) -> None:
        if not self.is_over:
            event()

    def _finish(self) -> bool:
        if self.is_over:
            return False
        self.is_over = True
        self._parts.loads.end(self._names, self._tokens)
        return True


def _names(chosen: Chosen) -> list[str]:
    return [stage.endpoint.name for stage in chosen]
