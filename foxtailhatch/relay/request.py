"""Types of requests and responses, and the interfaces to both sides."""

from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import blake2b
from typing import Protocol

from foxtailhatch.fleet.pauses import EndpointNotice
from foxtailhatch.recovery.crashing_requests import request_suspect
from foxtailhatch.relay.http_connection import ResponseHead

FINGERPRINT_BYTES = 8
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class TokenCounts:
    """Number of prompt tokens, and the maximum and expected output tokens."""

    prompt: int
    max_output: int
    expected_output: int

    @property
    def expected(self) -> int:
        """Return the expected number of tokens of prompt and output."""
        return self.prompt + self.expected_output


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A request as received from a caller.

    ``headers`` are those to forward; ``caller_timeout_s`` is how long the
    caller waits, counted from the arrival.  ``last_event_id`` is the event
    after which a stream resumes.  ``malformed_headers`` names the headers
    whose value is not a number where one is expected; they are ignored.
    ``prompt_parts`` are the identifiers of the prompt's parts in order; the
    last part belongs to this request or its session alone.  ``fingerprint``
    is the same whenever an account sends the same request again.  A request
    that ``is_forwarded`` comes from another entry, on behalf of its caller.
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
    prompt_parts: tuple[str, ...] = ()
    fingerprint: str = ''
    is_forwarded: bool = False

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests may share."""
        return self.prompt_parts[:-1]

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return what may crash an endpoint: shared parts, and the request."""
        if not self.fingerprint:
            return self.shared_parts
        return (*self.shared_parts, request_suspect(self.fingerprint))

    def without_body(self) -> 'RelayRequest':
        """Return the request without its body, which may be large."""
        return replace(self, body=b'')

    def with_fingerprint(self, account: str | None) -> 'RelayRequest':
        """Return the request with its fingerprint.

        It covers path, account, the parts of the prompt, and the body.
        """
        digest = blake2b(digest_size=FINGERPRINT_BYTES)
        for field in (self.target, account or '', *self.prompt_parts):
            raw = field.encode()
            digest.update(len(raw).to_bytes(4, 'big'))
            digest.update(raw)
        digest.update(self.body)
        return replace(self, fingerprint=digest.hexdigest())


@dataclass(frozen=True, slots=True)
class Dispatch:
    """The parameters with which a request is sent to an endpoint.

    ``chain`` holds the address, first layer and end layer of each stage; it
    is empty for plain services.  ``resume_after`` is the number of the last
    event that the caller has received.  If it ``is_forwarded``, the request
    is sent to another entry with the key of its caller.
    """

    endpoint: str
    address: str
    account: str | None
    urgency: int
    time_left_s: float
    chain: tuple[tuple[str, int, int], ...] = ()
    resume_after: int | None = None
    is_forwarded: bool = False


class ResponseKind(StrEnum):
    """How the status of an endpoint's response classifies the request.

    ``NOT_RUN`` states that the request has not run; after ``AMBIGUOUS`` it
    is unknown whether it has.
    """

    SUCCESS = 'success'
    FAILURE = 'failure'
    NOT_RUN = 'not_run'
    AMBIGUOUS = 'ambiguous'


@dataclass(frozen=True, slots=True)
class EndpointIdentity:
    """Name and incarnation of an endpoint, as all entries know it."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """The decoded head of an endpoint's response.

    ``failed_address`` is the address of the endpoint of the chain that
    failed or refused, if the response names it.  ``headers`` are those to
    forward.  ``rate_limit_per_s`` is the number of requests a second that the
    endpoint takes from all entries together, if it names one, and ``notice``
    what else it says of itself.  ``leaving`` is the endpoint which says that it
    leaves, where the response came through another entry that names it.
    """

    kind: ResponseKind
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    failed_address: str | None = None
    is_event_stream: bool = False
    rate_limit_per_s: float | None = None
    notice: EndpointNotice = EndpointNotice()
    leaving: EndpointIdentity | None = None

    @property
    def continues_stream(self) -> bool:
        """Return whether the body may follow events of another response."""
        is_whole = self.status == STATUS_OK
        return (
            self.kind is ResponseKind.SUCCESS
            and self.is_event_stream
            and is_whole
        )


class WireCodec(Protocol):
    """Encode requests to endpoints and decode the heads of their responses.

    ``id_header`` is the header, in lower case, that repeats the request's
    identifier in a response, and ``event_field`` the field that may stand in the
    first line of an event.
    """

    id_header: bytes
    event_field: bytes

    def encode(self, req: RelayRequest, dispatch: Dispatch) -> bytes:
        """Return the head of a request to an endpoint, which its body follows."""

    def decode_head(
        self, head: ResponseHead, req: RelayRequest
    ) -> EndpointResponse:
        """Classify the head of an endpoint's response."""

    def decode_forwarded_head(
        self, head: ResponseHead, req: RelayRequest
    ) -> EndpointResponse:
        """Classify the head of another entry's response."""

    def leaving_header(self, endpoint: EndpointIdentity) -> tuple[bytes, bytes]:
        """Return the header that tells another entry which endpoint leaves."""


class CallerConnection(Protocol):
    """The caller's connection, limited to one response."""

    def start(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> None:
        """Send status and headers."""

    def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""

    def finish(self) -> None:
        """End the response as complete."""

    def abort(self) -> None:
        """Close the connection, so that the response shows as incomplete."""

    def set_backpressure_source(self, transport: object | None) -> None:
        """Pause and resume ``transport`` at the pace of the caller.

        ``None`` ends this backpressure.
        """
