"""One HTTP client for all adapters: persistent connections and timeouts."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final, cast
from urllib.parse import quote

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web.client import URI, Agent, HTTPConnectionPool
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
)
from foxtailhatch.outside.protocols import PlatformError, PlatformFault

CONNECT_TIMEOUT_S: Final = 2.0
RESPONSE_TIMEOUT_S: Final = 5.0
MAX_IDLE_CONNECTIONS: Final = 8
IDLE_TIMEOUT_S: Final = 30
OK: Final = 200
UNAVAILABLE: Final = 503

# With one of these, no byte of the request has left.
_NOT_SENT: Final = (ConnectError, ConnectingCancelledError)


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP request; ``reuse`` allows a connection that is open already.

    A call that may not run twice is better sent on a new connection: if an
    old one was closed meanwhile, nobody can tell whether the call was read.
    """

    method: str
    path: str
    body: bytes = b''
    content_type: str = 'application/json'
    headers: Mapping[str, str] = field(default_factory=dict)
    reuse: bool = True


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole HTTP response."""

    status: int
    body: bytes
    content_type: str


@implementer(IAgentEndpointFactory)
class _IpEndpoints:
    """Connect to IP numbers; names are never looked up."""

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        """Take the reactor and the bound on each connect."""
        self.reactor = reactor
        self.connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:  # noqa: N802
        """Return the endpoint that an agent connects to."""
        return TCP4ClientEndpoint(
            self.reactor,
            uri.host.decode(),
            uri.port,
            timeout=self.connect_timeout_s,
        )


class HttpClient:
    """Send requests to outside systems; outcomes are values."""

    def __init__(
        self,
        reactor: Any,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Start with no connection."""
        self.reactor = reactor
        self._max_body_bytes = max_body_bytes
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        # The pool would send some requests a second time by itself.
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        endpoints = _IpEndpoints(reactor, connect_timeout_s)
        self._reusing = Agent.usingEndpointFactory(
            reactor,
            endpoints,
            self._pool,
        )
        self._fresh = Agent.usingEndpointFactory(reactor, endpoints)

    def streaming_agent(self) -> Agent:
        """Return the agent for streams, each on a connection of its own."""
        return cast(Agent, self._fresh)

    async def send(
        self,
        address: Address,
        call: HttpCall,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> Result[HttpResponse, PlatformError]:
        """Send one request once and wait for the whole answer."""
        agent = self._reusing if call.reuse else self._fresh
        answer = request(agent, address, call)
        answer.addCallback(_read, self._max_body_bytes)
        answer.addTimeout(timeout_s, self.reactor)
        try:
            return Success(await wait_for_deferred(answer))
        except Exception as exc:
            return Failure(self._explain(exc, address))

    async def close(self) -> None:
        """Close the idle connections."""
        await wait_for_deferred(self._pool.closeCachedConnections())

    def _explain(self, exc: Exception, address: Address) -> PlatformError:
        """Say whether the request can have been carried out."""
        if isinstance(exc, _NOT_SENT):
            return PlatformError(
                PlatformFault.UNREACHABLE,
                f'{address} does not accept connections: {exc}',
            )
        if isinstance(exc, BodyTooLarge):
            return PlatformError(PlatformFault.INVALID_RESPONSE, str(exc))
        # Idle connections may be as dead as the one that just failed.
        self._pool.closeCachedConnections()
        return PlatformError(
            PlatformFault.NO_RESPONSE,
            f'{address} gave no answer: {exc!r}',
        )


def request(
    agent: Agent,
    address: Address,
    call: HttpCall,
) -> 'Deferred[IResponse]':
    """Begin one request and return its response to come."""
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


def build_path(*steps: str) -> str:
    """Join steps of a path, each of them quoted.

    >>> build_path('streams', 'a/b')
    '/streams/a%2Fb'
    """
    return ''.join(f'/{quote(step, safe="")}' for step in steps)


def refused(answer: HttpResponse) -> PlatformError:
    """Return the error that an answer with another status than 200 means."""
    text = answer.body.decode(errors='replace')
    message = f'status {answer.status}: {text}'
    if answer.status == UNAVAILABLE:
        return PlatformError(PlatformFault.UNREACHABLE, message)
    return PlatformError(PlatformFault.REFUSED, message)


def _read(response: Any, max_bytes: int) -> 'Deferred[HttpResponse]':
    """Read a response to its end."""
    reader = BodyReader(max_bytes)
    response.deliverBody(reader)
    reader.whole.addCallback(_answer, response)
    return cast('Deferred[HttpResponse]', reader.whole)


def _answer(body: bytes, response: Any) -> HttpResponse:
    """Put a whole answer together."""
    types = response.headers.getRawHeaders('content-type') or ['']
    return HttpResponse(response.code, body, types[-1])
