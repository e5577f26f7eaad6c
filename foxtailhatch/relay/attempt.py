"""One attempt to run a request on an endpoint or a chain."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailhatch.relay.context import RelayContext, SelectedChain
from foxtailhatch.relay.event_stream import EventSplitter, StreamEvent
from foxtailhatch.relay.http_connection import (
    Exchange,
    HttpConnection,
    ResponseHead,
    TransportFailure,
    open_exchange,
)
from foxtailhatch.relay.request import Dispatch, EndpointResponse, RelayRequest


class AttemptListener(Protocol):
    """Receive the events of an attempt and decide what to do next."""

    def attempt_head_received(
        self, attempt: 'Attempt', head: ResponseHead
    ) -> None:
        """Handle the status and headers of the response."""

    def attempt_body_received(self, attempt: 'Attempt', chunk: bytes) -> None:
        """Handle a chunk of the response body."""

    def attempt_completed(self, attempt: 'Attempt') -> None:
        """Handle the end of a complete response."""

    def attempt_failed(
        self, attempt: 'Attempt', fault: TransportFailure
    ) -> None:
        """Handle a transport failure before the response was complete."""


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request, its dispatch parameters, and the chain it is sent to."""

    req: RelayRequest
    dispatch: Dispatch
    chosen: SelectedChain


class Attempt:
    """Send a request once.

    The expected tokens count as load on each endpoint of the chain until
    the attempt is over.  ``usable_revision`` is the revision of the endpoint
    table at which the whole chain was last found usable.  ``event_count`` is
    the number of events that have been forwarded, and ``listener`` is told of
    what comes.
    """

    def __init__(
        self,
        context: RelayContext,
        outgoing: OutgoingRequest,
        listener: AttemptListener,
        now: float,
    ) -> None:
        """Open the connection and send the request."""
        self.chosen = outgoing.chosen
        self.sent_at = now
        self.is_resumed = outgoing.dispatch.resume_after is not None
        self.listener = listener
        self.response: EndpointResponse | None = None
        self.splitter = EventSplitter(context.codec.event_field)
        self.is_over = False
        self.usable_revision = -1
        self.event_count = 0
        self._unread: list[StreamEvent] = []
        self._context = context
        tokens = outgoing.req.tokens
        self._tokens = tokens.expected if tokens else 0
        self._endpoint_names = _endpoint_names(outgoing.chosen)
        context.loads.begin(self._endpoint_names, self._tokens)
        context.on_chain(self.chosen, self._tokens, now)
        self._connection = HttpConnection(
            context.codec.encode(outgoing.req, outgoing.dispatch),
            self,
            context.codec.id_header,
            outgoing.req.request_id.encode('latin-1'),
            outgoing.req.body,
        )
        self._exchange: Exchange | None = open_exchange(
            context.reactor,
            self.chosen[0].endpoint.address,
            self._connection,
            self.response_failed,
        )

    @property
    def head_name(self) -> str:
        """Return the name of the chain's head, which receives the request."""
        return self.chosen[0].endpoint.name

    @property
    def is_forwarded(self) -> bool:
        """Return whether the request was sent to another entry."""
        return self.chosen[0].is_entry

    @property
    def is_connected(self) -> bool:
        """Return whether the connection was accepted, so the request is sent."""
        return self._connection.is_connected

    @property
    def transport(self) -> object:
        """Return the producer that can be paused for backpressure."""
        return self._connection

    @property
    def received_bytes(self) -> int:
        """Return how many bytes have arrived, heads and framing included."""
        return self._connection.received_bytes

    @property
    def exceeded(self) -> str:
        """Return the limit that ended the response, or an empty string."""
        return self._connection.exceeded or ''

    @property
    def invalid_status(self) -> int | None:
        """Return the status that no response may have, if one ended it."""
        return self._connection.invalid_status

    @property
    def is_truncated(self) -> bool:
        """Return whether an event stream that has ended is incomplete.

        A stream that ends with its connection and has brought no event may
        have been broken off after its head.
        """
        if self.splitter.has_partial_event:
            return True
        return not self._connection.is_framed and not self.event_count

    @property
    def has_unread(self) -> bool:
        """Return whether bytes may have arrived that are not forwarded yet."""
        return self._connection.has_unread

    def read_ahead(self, chunk: bytes) -> list[StreamEvent]:
        """Return all events that :meth:`take_events` will return next."""
        self._unread += self.splitter.feed(chunk)
        return self._unread

    def take_events(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that are complete with a further chunk, once."""
        events = self.read_ahead(chunk)
        self._unread = []
        return events

    def uses(self, name: str) -> bool:
        """Return whether an endpoint is part of the attempt's chain."""
        return name in self._endpoint_names

    def switch_chain(self, chosen: SelectedChain) -> None:
        """Move the accounted load to the endpoints of a new chain."""
        if self.is_over:
            return
        self._context.loads.end(self._endpoint_names, self._tokens)
        self.chosen = chosen
        self.usable_revision = -1
        self._endpoint_names = _endpoint_names(chosen)
        context = self._context
        context.loads.begin(self._endpoint_names, self._tokens)
        context.on_chain(chosen, self._tokens, context.clock())

    def cancel(self) -> None:
        """Close the connection, which makes the endpoint stop its work."""
        if self._finish() and self._exchange is not None:
            self._exchange.cancel()
        self._exchange = None

    def head_received(self, head: ResponseHead) -> None:
        """Forward the response head to the listener."""
        self._notify(lambda: self.listener.attempt_head_received(self, head))

    def body_received(self, chunk: bytes) -> None:
        """Forward a chunk of the body to the listener."""
        self._notify(lambda: self.listener.attempt_body_received(self, chunk))

    def response_completed(self) -> None:
        """Notify the listener and close the connection."""
        self._notify(lambda: self.listener.attempt_completed(self))
        self.cancel()

    def response_failed(self, fault: TransportFailure) -> None:
        """Notify the listener of a transport failure."""
        if self._finish():
            self.listener.attempt_failed(self, fault)

    def _notify(self, event: Callable[[], None]) -> None:
        if not self.is_over:
            event()

    def _finish(self) -> bool:
        if self.is_over:
            return False
        self.is_over = True
        self._context.loads.end(self._endpoint_names, self._tokens)
        return True


def _endpoint_names(chosen: SelectedChain) -> list[str]:
    return [stage.endpoint.name for stage in chosen if not stage.is_entry]
