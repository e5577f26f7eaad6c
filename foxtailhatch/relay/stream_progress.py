"""Evidence from streams in progress that an endpoint is alive."""

from collections.abc import Iterable
from typing import Protocol

# An event this recent is newer evidence than a report from another entry that
# the endpoint is dead, as such reports take longer to arrive.
RECENT_PROGRESS_S = 0.1


class AttemptView(Protocol):
    """The endpoints that an attempt uses, and its connection to the first."""

    @property
    def head_name(self) -> str:
        """Return the name of the chain's head."""

    @property
    def is_connected(self) -> bool:
        """Return whether the head has accepted the connection."""

    @property
    def is_over(self) -> bool:
        """Return whether the connection was closed."""

    def uses(self, name: str) -> bool:
        """Return whether an endpoint is part of the attempt's chain."""


class StreamView(Protocol):
    """The progress of a request and the attempt that makes it."""

    @property
    def attempt(self) -> AttemptView | None:
        """Return the current attempt."""

    @property
    def is_started(self) -> bool:
        """Return whether a part of the response was sent to the caller."""

    @property
    def last_progress_at(self) -> float:
        """Return when the last event arrived or the request was last sent."""


def has_recent_progress(
    streams: Iterable[StreamView], name: str, now: float
) -> bool:
    """Return whether an event has just arrived through an endpoint.

    A chain produces no event while one of its endpoints is dead, so this is
    stronger evidence than a report that the endpoint was unreachable.
    """
    return any(
        stream.is_started
        and now - stream.last_progress_at < RECENT_PROGRESS_S
        and stream.attempt is not None
        and stream.attempt.uses(name)
        for stream in streams
    )


def has_open_connection(streams: Iterable[StreamView], name: str) -> bool:
    """Return whether a stream has an open connection to an endpoint.

    The end of a process closes all its connections, so an endpoint that refuses
    another one has run out of them.
    """
    attempts = [stream.attempt for stream in streams]
    return any(
        attempt.head_name == name
        and attempt.is_connected
        and not attempt.is_over
        for attempt in attempts
        if attempt is not None
    )
