"""The callers' connections: what was begun on them and is not yet delivered."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from foxtailhatch.core import Refusal


class CutReason(StrEnum):
    """How far a request was when its connection or the process ended."""

    NOT_READ = 'not read'
    INCOMPLETE = 'request incomplete'
    IN_PROGRESS = 'in progress'
    NOT_DELIVERED = 'answer not delivered'


class CallRecorder(Protocol):
    """Receiver of what became of each request's answer."""

    def record_delivered(self, request_id: str) -> None:
        """Record that the transport has taken all of an answer."""

    def record_cut(self, subject: str, reason: CutReason, cause: str) -> None:
        """Record a request whose caller did not get the whole answer.

        ``subject`` is the request's id, or the caller's address as long as
        the request has none.
        """


class Channel(Protocol):
    """One connection of a caller."""

    def pending(self) -> int:
        """Return how many requests have no delivered answer yet."""

    def receiving(self) -> bool:
        """Return whether a request has begun and is not yet complete."""

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the request that is not yet complete, and close."""

    def close_idle(self) -> None:
        """Close the connection unless a request is pending."""

    def cut(self, cause: str) -> int:
        """Record the pending requests as cut and return their number."""


class CallerConnections:
    """Registry of the open connections of callers.

    ``closing`` makes each further answer the last one of its connection.
    """

    def __init__(self, recorder: CallRecorder) -> None:
        """Start without connections; ``recorder`` gets each outcome."""
        self.closing = False
        self.recorder = recorder
        self._channels: set[Channel] = set()
        self._stop_listening: Callable[[], object] | None = None

    def listen_with(self, stop_listening: Callable[[], object]) -> None:
        """Keep the function that closes the listening socket."""
        self._stop_listening = stop_listening

    def add(self, channel: Channel) -> None:
        """Add a connection that was accepted."""
        self._channels.add(channel)

    def discard(self, channel: Channel) -> None:
        """Remove a connection that has ended."""
        self._channels.discard(channel)

    def pending(self) -> int:
        """Return how many requests callers have begun and lack an answer.

        An answer counts until the transport has taken all of it.
        """
        return sum(channel.pending() for channel in self._channels)

    def has_open(self) -> bool:
        """Return whether any connection is open."""
        return bool(self._channels)

    def refuse_incomplete(self, refusal: Refusal) -> None:
        """Refuse each request that is still arriving."""
        for channel in tuple(self._channels):
            if channel.receiving():
                channel.refuse(refusal)

    def close_idle(self) -> None:
        """Close the listening socket and all connections without requests."""
        if self._stop_listening is not None:
            self._stop_listening()
            self._stop_listening = None
        for channel in tuple(self._channels):
            channel.close_idle()

    def cut(self, cause: str) -> int:
        """Record all pending requests as cut and return their number."""
        return sum(channel.cut(cause) for channel in tuple(self._channels))
