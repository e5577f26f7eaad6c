"""Bytes that are no response, without end, and late responses."""

import asyncio

import pytest
from returns.result import Failure
from twisted.internet.testing import StringTransport

from foxtailhatch.core import Invariant, InvariantViolation
from foxtailhatch.relay.http_client import (
    MAX_RECORDS_BYTES,
    HttpCall,
    HttpClient,
)
from foxtailhatch.relay.http_connection import (
    MAX_OVERHEAD_BYTES,
    PIECE_BYTES,
    HttpConnection,
    TransportFailure,
)

HEAD = b'HTTP/1.1 200 OK\r\nX-Id: q1\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
READ_BYTES = 65_536
# First bytes of a response, and what follows again and again.
ENDLESS = {
    'reason': (b'HTTP/1.1 200 ', b'a' * 997),
    'header name': (HEAD, b'a' * 997),
    'header value': (HEAD + b'X-Long: ', b'a' * 997),
    'headers': (HEAD, b'X-Many: a\r\n' * 91),
    'interim responses': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 37),
    'other responses': (
        b'',
        b'HTTP/1.1 200 OK\r\nX-Id: q0\r\nContent-Length: 9\r\n\r\nlate body'
        * 17,
    ),
    'body of another response': (
        b'HTTP/1.1 200 OK\r\nX-Id: q0\r\nContent-Length: 999999999\r\n\r\n',
        b'a' * 997,
    ),
    'chunk extension': (CHUNKED + b'5;', b'a' * 997),
    'trailers': (CHUNKED + b'0\r\n', b'X-Many: a\r\n' * 91),
}


class Listener:
    """Keep what arrives of a response."""

    def __init__(self):
        self.head = None
        self.received = 0
        self.fault = None
        self.is_complete = False

    def head_received(self, head):
        self.head = head

    def body_received(self, chunk):
        self.received += len(chunk)

    def response_completed(self):
        self.is_complete = True

    def response_failed(self, fault):
        self.fault = fault


def connect():
    listener = Listener()
    connection = HttpConnection(b'request', listener, b'x-id', b'q1')
    transport = StringTransport()
    transport.setTcpNoDelay = lambda _: None
    connection.makeConnection(transport)
    return connection, listener, transport


@pytest.mark.parametrize('kind', ENDLESS)
def test_bytes_that_are_no_response_end_the_connection(kind):
    begin, more = ENDLESS[kind]
    connection, listener, transport = connect()
    connection.dataReceived(begin)
    sent = 0
    while listener.fault is None and sent < 4 * MAX_OVERHEAD_BYTES:
        connection.dataReceived(more)
        sent += len(more)
    assert listener.fault is TransportFailure.MALFORMED
    assert sent <= MAX_OVERHEAD_BYTES + len(more)
    assert transport.disconnecting or transport.disconnected


def test_long_body_is_no_overhead():
    connection, listener, _ = connect()
    total = 8 * MAX_OVERHEAD_BYTES
    connection.dataReceived(HEAD + b'Content-Length: %d\r\n\r\n' % total)
    for _ in range(0, total, READ_BYTES):
        connection.dataReceived(b'a' * READ_BYTES)
    assert listener.received == total
    assert listener.is_complete


def test_slow_chunks_are_no_overhead():
    """Each event of a stream is a chunk, whose size arrives on its own."""
    connection, listener, _ = connect()
    connection.dataReceived(CHUNKED)
    for _ in range(MAX_OVERHEAD_BYTES // 4):
        connection.dataReceived(b'1\r\n')
        connection.dataReceived(b'a\r\n')
    assert listener.fault is None
    assert listener.received == MAX_OVERHEAD_BYTES // 4


def test_late_response_before_the_own_one_is_skipped():
    connection, listener, _ = connect()
    connection.dataReceived(
        b'HTTP/1.1 200 OK\r\nX-Id: q0\r\nContent-Length: 4\r\n\r\nlate'
    )
    connection.dataReceived(HEAD + b'Content-Length: 3\r\n\r\nown')
    assert listener.received == len(b'own')
    assert listener.is_complete


def test_buffered_response_without_end_fails_the_call():
    """The store, a peer or a report of an engine in trouble."""

    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
            try:
                for _ in range(2 * MAX_RECORDS_BYTES // READ_BYTES):
                    writer.write(b'a' * READ_BYTES)
                    await writer.drain()
            except ConnectionError:
                return

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        reactor = LoopReactor(asyncio.get_running_loop())
        client = HttpClient(reactor, f'127.0.0.1:{port}')
        call = HttpCall('GET', '/', b'', 30, MAX_RECORDS_BYTES)
        outcome = await client.call(call)
        server.close()
        return outcome

    outcome = asyncio.run(scenario())
    assert outcome == Failure(TransportFailure.MALFORMED)


# Guards against reports and orders whose answers take as much as a page of the
# store.
def test_call_takes_no_larger_response_than_it_asks_for():
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            body = b'a' * 100_000
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n')
            writer.write(body)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        reactor = LoopReactor(asyncio.get_running_loop())
        client = HttpClient(reactor, f'127.0.0.1:{port}')
        outcome = await client.call(HttpCall('GET', '/report', timeout_s=30))
        server.close()
        return outcome

    outcome = asyncio.run(scenario())
    # A failed comparison would print the whole response.
    assert isinstance(outcome, Failure)
    assert outcome.failure() is TransportFailure.MALFORMED


# Guards against data that get old by one timeout for each silent connection.
def test_call_after_a_timeout_uses_no_connection_from_before():
    """All open connections fall silent, while new ones work."""

    async def scenario():
        is_silent = []
        both_asked = asyncio.Barrier(2)
        writers = []

        async def serve(reader, writer):
            is_old = not is_silent
            writers.append(writer)
            while await reader.read(READ_BYTES):
                if is_silent and is_old:
                    continue
                if is_old:
                    await both_asked.wait()
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        reactor = LoopReactor(asyncio.get_running_loop())
        client = HttpClient(reactor, f'127.0.0.1:{port}')
        long = HttpCall('GET', '/', timeout_s=30)
        await asyncio.gather(client.call(long), client.call(long))
        is_silent.append(True)
        lost = await client.call(HttpCall('GET', '/', timeout_s=0.1))
        after = await client.call(HttpCall('GET', '/', timeout_s=5))
        server.close()
        for writer in writers:
            writer.close()
        await asyncio.sleep(0)
        return lost, after.unwrap().status

    lost, status_after = asyncio.run(scenario())
    assert lost == Failure(TransportFailure.TIMEOUT)
    assert status_after == 200


class LoopReactor:
    """Connect the protocols of a factory over the running asyncio loop."""

    def __init__(self, loop):
        self._loop = loop

    def callLater(self, delay, call):  # noqa: N802
        self._loop.call_later(delay, call)

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        connection = factory.buildProtocol(None)
        return LoopConnector(self._loop, host, port, connection)


class LoopConnector(asyncio.Protocol):
    """Pass the bytes of an asyncio transport to a Twisted protocol."""

    def __init__(self, loop, host, port, connection):
        self._connection = connection
        self._task = loop.create_task(
            loop.create_connection(lambda: self, host, port)
        )

    def connection_made(self, transport):
        transport.setTcpNoDelay = lambda _: None
        transport.abortConnection = transport.abort
        self._connection.makeConnection(transport)

    def data_received(self, chunk):
        self._connection.dataReceived(chunk)

    def disconnect(self):
        self._task.cancel()


def connect_with_body(body):
    connection = HttpConnection(b'head', Listener(), body=body)
    transport = StringTransport()
    transport.setTcpNoDelay = lambda _: None
    connection.makeConnection(transport)
    return connection, transport


def test_short_body_is_sent_with_its_head():
    _, transport = connect_with_body(b'body')
    assert transport.value() == b'headbody'
    assert transport.producer is None


def test_long_body_is_sent_in_pieces_as_the_peer_takes_them():
    """The transport held up to two more copies of a body."""
    body = bytes(range(256)) * 1024
    _, transport = connect_with_body(body)
    sent = transport.value()
    assert sent == b'head'
    while transport.producer is not None:
        transport.clear()
        transport.producer.resumeProducing()
        assert len(transport.value()) <= PIECE_BYTES
        sent += transport.value()
    assert sent == b'head' + body


def test_cancelled_request_drops_its_body():
    connection, transport = connect_with_body(bytes(4 * PIECE_BYTES))
    producer = transport.producer
    connection.abort()
    producer.stopProducing()
    unconnected = HttpConnection(b'head', Listener(), body=bytes(100))
    unconnected.abort()
    transport.clear()
    assert transport.value() == b''


# Guards against a broken invariant that counts as a malformed answer.
def test_broken_invariant_in_a_listener_is_raised():
    connection, listener, _ = connect()

    def head_received(head):
        raise InvariantViolation(Invariant.AT_MOST_ONCE, 'q1')

    listener.head_received = head_received
    with pytest.raises(InvariantViolation):
        connection.dataReceived(HEAD + b'Content-Length: 1\r\n\r\n')
    assert listener.fault is None


# Guards against bytes behind an answer that become the answer to the next call.
@pytest.mark.parametrize('count', range(1, 40))
def test_connection_with_bytes_behind_an_answer_is_not_used_again(count):
    connection, listener, _ = connect()
    own = HEAD + b'Content-Length: 2\r\n\r\nok'
    second = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nEVIL'
    connection.dataReceived(own + second[:count])
    assert listener.is_complete
    assert not connection.is_reusable


def test_connection_is_used_again_after_an_answer():
    connection, listener, _ = connect()
    connection.dataReceived(HEAD + b'Content-Length: 2\r\n\r\nok')
    assert listener.is_complete
    assert connection.is_reusable


def test_error_of_a_listener_is_raised():
    connection, listener, _ = connect()

    def head_received(head):
        raise KeyError('q1')

    listener.head_received = head_received
    with pytest.raises(KeyError):
        connection.dataReceived(HEAD + b'Content-Length: 1\r\n\r\n')
