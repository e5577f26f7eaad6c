"""Bodies of requests: their limits, and what is left of them in memory."""

import gc
import tracemalloc
from types import SimpleNamespace

import pytest
from returns.result import Success
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from foxtailhatch.relay.body_memory import BodyMemory
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.request import RelayRequest
from foxtailhatch.router.caller_channels import CallerChannels
from foxtailhatch.router.http_frontend import FrontendFactory
from tests.relay.fakes import FakeEndpointConnection, start_relay

MAX_BODY_BYTES = 4_194_304
BODY_BYTES = 650_000
CHUNK_BYTES = 65_536


class Handler:
    """Relay each request as :func:`start_relay` does."""

    max_body_bytes = MAX_BODY_BYTES
    is_stopping = False

    def __init__(self, limit_bytes=75_000_000):
        self.env = start_relay()
        self.env.reactor.tcpClients.clear()
        self.bodies = BodyMemory(limit_bytes)
        self.env.context.bodies = self.bodies
        self.refusals = []
        self.undelivered = []
        self.channels = CallerChannels()

    def channel_opened(self, channel):
        self.channels.add(channel)

    def channel_closed(self, channel):
        self.channels.discard(channel)

    def record_undelivered(self, request_id):
        self.undelivered.append(request_id)

    def decode(self, method, target, headers, body):
        return Success(
            RelayRequest(
                request_id='request-1',
                method=method,
                target=target,
                host='host.example',
                headers=(),
                body=body,
                key=None,
                caller_timeout_s=20,
                tokens=None,
                last_event_id=None,
            )
        )

    def start_relay(self, req, caller):
        admitted = self.env.relay.admitted
        admitted = type(admitted)(
            req, admitted.route, admitted.service, 'crew', 1
        )
        relay = Relay(self.env.context, admitted, caller, 0)
        relay.begin()
        return relay

    def record_refusal(self, refusal, request_id):
        self.refusals.append((refusal.reason.value, request_id))

    def accept(self):
        """Return the connection to the endpoint of the next request."""
        return FakeEndpointConnection(self.env.reactor.tcpClients.pop(0))


def connect(handler):
    channel = FrontendFactory(handler, 60.0).buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    return SimpleNamespace(channel=channel, transport=transport)


def send_head(client, length):
    client.channel.dataReceived(
        b'POST /a/b HTTP/1.1\r\nHost: host.example\r\n'
        b'Content-Length: %d\r\n\r\n' % length
    )


def send_body(client, length):
    for begin in range(0, length, CHUNK_BYTES):
        client.channel.dataReceived(b'x' * min(CHUNK_BYTES, length - begin))


def take_body(endpoint):
    """Read the request as the endpoint does, and return its size."""
    size = len(endpoint.request)
    while endpoint.transport.producer is not None:
        endpoint.transport.clear()
        endpoint.transport.producer.resumeProducing()
        size += len(endpoint.request)
    endpoint.transport.clear()
    return size


def exchange(handler, client):
    send_head(client, BODY_BYTES)
    send_body(client, BODY_BYTES)
    endpoint = handler.accept()
    assert take_body(endpoint) > BODY_BYTES
    endpoint.respond()
    assert b'200' in client.transport.value().split(b'\r\n')[0]
    client.transport.clear()


# Guards against entries that exceed their memory in a burst of large bodies, of
# which the garbage collector found those that were answered only later.
def test_body_leaves_the_memory_with_the_answer():
    handler = Handler()
    client = connect(handler)
    exchange(handler, client)
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(40):
            exchange(handler, client)
        used, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert used < 2 * BODY_BYTES
    assert peak < 6 * BODY_BYTES
    assert handler.bodies.held_bytes == 0


def test_request_in_progress_holds_its_body_once():
    handler = Handler()
    clients = [connect(handler) for _ in range(20)]
    tracemalloc.start()
    try:
        for client in clients:
            send_head(client, BODY_BYTES)
            send_body(client, BODY_BYTES)
            endpoint = handler.accept()
            take_body(endpoint)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert handler.bodies.held_bytes == 20 * BODY_BYTES
    assert used < 1.2 * 20 * BODY_BYTES


def test_bodies_beyond_the_limit_are_refused_as_not_run():
    handler = Handler(limit_bytes=3 * BODY_BYTES)
    for _ in range(2):
        client = connect(handler)
        send_head(client, BODY_BYTES)
        send_body(client, BODY_BYTES)
    client = connect(handler)
    send_head(client, BODY_BYTES)
    send_body(client, BODY_BYTES)
    first, *fields = client.transport.value().split(b'\r\n')
    assert b'503' in first
    assert b'retry-after: 0.25' in map(bytes.lower, fields)
    assert handler.refusals == [('bodies_too_large', 'request-1')]
    assert handler.bodies.held_bytes == 2 * BODY_BYTES
    assert len(handler.env.reactor.tcpClients) == 2


def test_connection_is_used_on_after_a_refused_body():
    handler = Handler(limit_bytes=BODY_BYTES)
    client = connect(handler)
    send_head(client, BODY_BYTES)
    send_body(client, BODY_BYTES)
    assert b'503' in client.transport.value().split(b'\r\n')[0]
    client.transport.clear()
    send_head(client, 100)
    send_body(client, 100)
    handler.accept().respond()
    assert b'200' in client.transport.value().split(b'\r\n')[0]


# Guards against a limit that is used up by bodies which were announced only.
def test_bodies_count_as_they_arrive():
    handler = Handler(limit_bytes=3 * BODY_BYTES)
    for _ in range(30):
        send_head(connect(handler), BODY_BYTES)
    assert handler.bodies.held_bytes == 0
    exchange(handler, connect(handler))


def test_partial_bodies_beyond_the_limit_give_way():
    handler = Handler(limit_bytes=3 * BODY_BYTES)
    clients = [connect(handler) for _ in range(6)]
    for client in clients:
        send_head(client, BODY_BYTES)
    for _ in range(0, BODY_BYTES, CHUNK_BYTES):
        for client in clients:
            send_body(client, CHUNK_BYTES)
    refused = [one for one in clients if b' 503 ' in one.transport.value()]
    assert 0 < len(refused) < len(clients)
    assert handler.bodies.held_bytes <= 3 * BODY_BYTES


@pytest.mark.parametrize('part', [0, CHUNK_BYTES, BODY_BYTES])
def test_body_of_a_lost_connection_is_released(part):
    handler = Handler()
    client = connect(handler)
    send_head(client, BODY_BYTES)
    send_body(client, part)
    assert handler.bodies.held_bytes == part
    client.channel.connectionLost(Failure(ConnectionLost()))
    assert handler.bodies.held_bytes == 0


def test_chunked_body_beyond_the_limit_is_refused():
    handler = Handler(limit_bytes=BODY_BYTES)
    client = connect(handler)
    client.channel.dataReceived(
        b'POST /a/b HTTP/1.1\r\nHost: host.example\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    for _ in range(10):
        client.channel.dataReceived(
            b'%x\r\n%s\r\n' % (CHUNK_BYTES, b'x' * CHUNK_BYTES)
        )
    client.channel.dataReceived(b'0\r\n\r\n')
    assert b'503' in client.transport.value().split(b'\r\n')[0]
    assert handler.bodies.held_bytes == 0
