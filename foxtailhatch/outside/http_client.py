"""HTTP client of all adapters, with persistent connections and timeouts."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final, cast
from urllib.parse import quote

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web.client import URI, Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IResponse
from zope.interface import implementer

from foxtailhatch.core import Address
from foxtailhatch.outside.deferreds import wait_for_deferred
from foxtailhatch.outside.http_bodies import (
    MAX_BODY_BYTES,
    BodyReader,
    BodyTooLarge,
    BytesProducer,
    NoMemory,
)
from foxtailhatch.outside.http_protocol import (
    BoundedConnectionPool,
    InvalidStatus,
    ResponseHeadTooLarge,
)
from foxtailhatch.outside.protocols import PlatformError, PlatformFault
from foxtailhatch.relay.body_memory import BodyMemory

CONNECT_TIMEOUT_S: Final = 2.0
RESPONSE_TIMEOUT_S: Final = 5.0
MAX_IDLE_CONNECTIONS: Final = 8
IDLE_TIMEOUT_S: Final = 30
# A JSON document takes many times its size while it is validated.
MAX_DOCUMENT_BYTES: Final = 4_194_304
MAX_MESSAGE_CHARS: Final = 200
OK: Final = 200
UNAVAILABLE: Final = 503

# After these errors no byte of the request was sent.
_NOT_SENT: Final = (ConnectError, ConnectingCancelledError)


@dataclass(frozen=True, slots=True)
class HttpCall:
    """An HTTP request; ``reuse`` allows the use of an idle connection.

    The body of its response may have ``max_bytes``.  A call that may not run twice should use a new connection: if the server
    closed an idle one, it is unknown whether the call was received.
    """

    method: str
    path: str
    body: bytes = b''
    content_type: str = 'application/json'
    headers: Mapping[str, str] = field(default_factory=dict)
    reuse: bool = True
    max_bytes: int = MAX_DOCUMENT_BYTES


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete HTTP response."""

    status: int
    body: bytes
    content_type: str


@implementer(IAgentEndpointFactory)
class _IpEndpointFactory:
    """Endpoints at IP addresses; host names are not resolved."""

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        """Create the factory; ``connect_timeout_s`` limits each connect."""
        self.reactor = reactor
        self.connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:  # noqa: N802
        """Return the endpoint for the host and port of ``uri``."""
        return TCP4ClientEndpoint(
            self.reactor,
            uri.host.decode(),
            uri.port,
            timeout=self.connect_timeout_s,
        )


class HttpClient:
    """Send requests to external systems; errors are returned, not raised."""

    def __init__(
        self,
        reactor: Any,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_body_bytes: int = MAX_BODY_BYTES,
        bodies: BodyMemory | None = None,
    ) -> None:
        """Create a client without connections.

        ``bodies`` is the memory that all response bodies may take together.
        """
        self.reactor = reactor
        self.bodies = bodies or BodyMemory()
        self._max_body_bytes = max_body_bytes
        new_pool: Any = BoundedConnectionPool
        self._pool = new_pool(reactor, persistent=True)
        # By default the pool retries some requests, which could run them twice.
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        endpoint_factory = _IpEndpointFactory(reactor, connect_timeout_s)
        self._pooled_agent = Agent.usingEndpointFactory(
            reactor,
            endpoint_factory,
            self._pool,
        )
        self._unpooled_agent = Agent.usingEndpointFactory(
            reactor,
            endpoint_factory,
            new_pool(reactor, persistent=False),
        )

    def streaming_agent(self) -> Agent:
        """Return an agent that opens a new connection for each stream."""
        return cast(Agent, self._unpooled_agent)

    async def send(
        self,
        address: Address,
        call: HttpCall,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> Result[HttpResponse, PlatformError]:
        """Send a request once and return the complete response."""
        agent = self._pooled_agent if call.reuse else self._unpooled_agent
        response = request(agent, address, call)
        max_bytes = min(call.max_bytes, self._max_body_bytes)
        response.addCallback(_read_response, max_bytes, self.bodies)
        response.addTimeout(timeout_s, self.reactor)
        try:
            return Success(await wait_for_deferred(response))
        except Exception as exc:
            return Failure(self._to_platform_error(exc, address))

    async def close(self) -> None:
        """Close the idle connections."""
        await wait_for_deferred(self._pool.closeCachedConnections())

    def _to_platform_error(
        self, exc: Exception, address: Address
    ) -> PlatformError:
        """Return the error, which states whether the request may have run."""
        if isinstance(exc, _NOT_SENT):
            return PlatformError(
                PlatformFault.UNREACHABLE,
                f'{address} does not accept connections: {exc}',
            )
        if isinstance(exc, BodyTooLarge | ResponseHeadTooLarge | InvalidStatus):
            return PlatformError(PlatformFault.INVALID_RESPONSE, str(exc))
        if isinstance(exc, NoMemory):
            return PlatformError(PlatformFault.NO_MEMORY, str(exc))
        # The other idle connections have probably failed too.
        self._pool.closeCachedConnections()
        return PlatformError(
            PlatformFault.NO_RESPONSE,
            f'no response from {address}: {exc!r}',
        )


def request(
    agent: Agent,
    address: Address,
    call: HttpCall,
) -> 'Deferred[IResponse]':
    """Start a request and return a deferred with its response."""
    headers = Headers()
    if call.body:
        headers.addRawHeader('content-type', call.content_type)
    for name, text in call.headers.items():
        headers.addRawHeader(name, text)
    producer: Any = BytesProducer(call.body) if call.body else None
    return agent.request(
        call.method.encode(),
        f'http://{address}{call.path}'.encode(),
        headers,
        producer,
    )


def build_path(*segments: str) -> str:
    """Return a path of the given segments, each of them quoted.

    >>> build_path('streams', 'a/b')
    '/streams/a%2Fb'
    """
    return ''.join(f'/{quote(segment, safe="")}' for segment in segments)


def error_from_response(response: HttpResponse) -> PlatformError:
    """Return the error for a response with another status than 200.

    Status 503 means that the request was not carried out.
    """
    text = response.body[:MAX_MESSAGE_CHARS].decode(errors='replace')
    message = f'status {response.status}: {text}'
    if response.status == UNAVAILABLE:
        return PlatformError(PlatformFault.UNREACHABLE, message)
    return PlatformError(PlatformFault.REFUSED, message)


def _read_response(
    response: Any, max_bytes: int, bodies: BodyMemory
) -> 'Deferred[HttpResponse]':
    """Read the complete body of a response."""
    reader = BodyReader(max_bytes, bodies.hold(), lambda: response.lost_by)
    response.deliverBody(reader)
    reader.body.addCallback(_build_response, response)
    return cast('Deferred[HttpResponse]', reader.body)


def _build_response(body: bytes, response: Any) -> HttpResponse:
    """Return the response with its body and its last content type."""
    content_types = response.headers.getRawHeaders('content-type') or ['']
    return HttpResponse(response.code, body, content_types[-1])
