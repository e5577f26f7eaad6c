"""What the streams in progress show of endpoints."""

from collections.abc import Iterable
from typing import Protocol

# An endpoint through which an event came so short a time ago is alive.  Source:
# what others found dead is heard of later than this.
FRESH_S = 0.1


class AttemptView(Protocol):
    """An attempt, as far as it shows which endpoints it crosses."""

    def uses(self, name: str) -> bool:
        """Tell whether an endpoint is part of the attempt."""


class StreamView(Protocol):
    """A request in progress, as far as it shows what it uses."""

    @property
    def attempt(self) -> AttemptView | None:
        """Return the attempt in progress."""

    @property
    def is_started(self) -> bool:
        """Tell whether the caller has got a part of the answer."""

    @property
    def last_progress_at(self) -> float:
        """Return when the last event came, or the request was last sent."""


def has_recent_progress(
    streams: Iterable[StreamView], name: str, now: float
) -> bool:
    """Tell whether an event has just come through an endpoint.

    A chain gives no event while one of its endpoints is dead, so this counts
    for more than what others could not reach.
    """
    return any(
        stream.is_started
        and now - stream.last_progress_at < FRESH_S
        and stream.attempt is not None
        and stream.attempt.uses(name)
        for stream in streams
    )
