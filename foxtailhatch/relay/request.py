"""A caller's request and the answer towards the caller."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from foxtailhatch.relay.http_connection import ResponseHead


@dataclass(frozen=True, slots=True)
class TokenCounts:
    """Tokens of a prompt, and the expected and largest output."""

    prompt: int
    max_output: int
    expected_output: int

    @property
    def expected(self) -> int:
        """Return how many tokens the request is expected to hold."""
        return self.prompt + self.expected_output


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """One request as a caller sent it.

    ``headers`` are those to pass on; ``patience_s`` is how long the caller
    will wait, counted from the arrival.  ``unreadable`` names the headers
    that hold no number where one belongs; they count as absent.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    key: str | None
    caller_timeout_s: float | None
    tokens: TokenCounts | None
    last_event_id: int | None
    malformed_headers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Dispatch:
    """How a request is sent to an endpoint.

    ``chain`` names address, first and end layer of each stage; it is empty
    for plain services.
    """

    endpoint: str
    address: str
    account: str | None
    urgency: int
    time_left_s: float
    chain: tuple[tuple[str, int, int], ...] = ()
    resume_after: int | None = None


class ResponseKind(StrEnum):
    """What an endpoint's status says of the request."""

    SUCCESS = 'success'
    FAILURE = 'failure'
    NOT_RUN = 'not_run'
    AMBIGUOUS = 'ambiguous'


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """The head of an endpoint's answer, understood.

    ``faulty_address`` names the endpoint of a chain that is to blame.
    ``headers`` are those to pass on.
    """

    kind: ResponseKind
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    failed_address: str | None = None
    is_event_stream: bool = False


class WireCodec(Protocol):
    """Translate requests and answers between callers and endpoints.

    ``id_header`` is the header, in lower case, that repeats the request's
    identifier in an answer.
    """

    id_header: bytes

    def encode(self, req: RelayRequest, dispatch: Dispatch) -> bytes:
        """Return the bytes of a request to an endpoint."""

    def decode_head(
        self, head: ResponseHead, req: RelayRequest
    ) -> EndpointResponse:
        """Return what the head of an endpoint's answer says."""


class CallerConnection(Protocol):
    """The connection of the caller, as far as one request may use it."""

    def start(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> None:
        """Send status and headers."""

    def write(self, piece: bytes) -> None:
        """Send a piece of the body."""

    def finish(self) -> None:
        """End the answer as complete."""

    def abort(self) -> None:
        """Close the connection, so that the answer is seen as incomplete."""

    def set_backpressure_source(self, transport: object | None) -> None:
        """Slow ``transport`` down to what the caller reads."""
