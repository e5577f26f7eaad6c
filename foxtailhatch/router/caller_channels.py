"""The open connections of callers, and what is outstanding on them."""

from collections.abc import Iterator

from foxtailhatch.relay.refusals import RelayRefusal
from foxtailhatch.router.caller_channel import CallerChannel, RequestStage


class CallerChannels:
    """The open connections of callers.

    A planned stop waits until nothing is outstanding on them: requests that are
    received in part, requests in progress, and answers that the transport has
    not handed over.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._open: set[CallerChannel] = set()

    @property
    def has_outstanding(self) -> bool:
        """Return whether a request or an answer may be pending."""
        return any(channel.is_outstanding for channel in self._open)

    def add(self, channel: CallerChannel) -> None:
        """Add a new connection."""
        self._open.add(channel)

    def discard(self, channel: CallerChannel) -> None:
        """Remove a connection that has ended."""
        self._open.discard(channel)

    def close_idle(self) -> None:
        """Close the connections that are idle in two calls in a row."""
        for channel in tuple(self._open):
            channel.close_if_idle()

    def refuse_partial(self, refusal: RelayRefusal) -> None:
        """Refuse the requests whose bodies are incomplete."""
        for channel in tuple(self._open):
            channel.refuse_partial(refusal)

    def pending_requests(self) -> Iterator[tuple[str, RequestStage]]:
        """Yield the identifier and stage of each request without an answer."""
        for channel in self._open:
            yield from channel.pending_requests()
