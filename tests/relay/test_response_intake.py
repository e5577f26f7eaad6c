"""What all responses in progress may take of the process."""

import asyncio

import pytest
from returns.result import Success
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from foxtailhatch.relay.http_client import (
    MAX_RECORDS_BYTES,
    HttpCall,
    HttpClient,
)
from foxtailhatch.relay.http_connection import (
    HttpConnection,
    TransportFailure,
    open_exchange,
)
from foxtailhatch.relay.response_intake import (
    RESPONSE_MEMORY_BYTES,
    intake_of,
)

HEAD = b'HTTP/1.1 200 OK\r\nX-Id: q1\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
READ_BYTES = 65_536
MAX_FIELDS = 256
MAX_PIECES_PER_TURN = 4000
CHUNK = b'1\r\na\r\n'
CHUNKS_IN_READ = READ_BYTES // len(CHUNK)


class Listener:
    """Keep what arrives of a response."""

    def __init__(self):
        self.head = None
        self.received = 0
        self.calls = 0
        self.fault = None
        self.is_complete = False

    def head_received(self, head):
        self.head = head

    def body_received(self, chunk):
        self.received += len(chunk)
        self.calls += 1

    def response_completed(self):
        self.is_complete = True

    def response_failed(self, fault):
        self.fault = fault


class CountingConnection(HttpConnection):
    """Count the fields and pieces that the parser finds."""

    fields = 0
    pieces = 0

    def on_header(self, name, content):
        self.fields += 1
        super().on_header(name, content)

    def on_body(self, chunk):
        self.pieces += 1
        super().on_body(chunk)


class TurnReactor(MemoryReactorClock):
    """Run what is due now in one turn, and what that schedules in the next."""

    def __init__(self):
        super().__init__()
        self.due = []

    def callLater(self, delay, call, *args, **kwargs):  # noqa: N802
        assert delay == 0
        self.due.append(call)

    def turn(self):
        due, self.due = self.due, []
        for call in due:
            call()


def connect(reactor):
    listener = Listener()
    connection = CountingConnection(b'request', listener, b'x-id', b'q1')
    open_exchange(reactor, '10.0.0.1:80', connection, listener.response_failed)
    transport = StringTransport()
    transport.setTcpNoDelay = lambda _: None
    connection.makeConnection(transport)
    return connection, listener


# Guards against parsed headers that take many times their bytes.
def test_short_headers_without_end_are_not_kept():
    connection, listener = connect(MemoryReactorClock())
    connection.dataReceived(HEAD + b'a:b\r\n' * (READ_BYTES // 5))
    assert listener.fault is TransportFailure.MALFORMED
    assert connection.fields <= MAX_FIELDS + 1


# Guards against trailers and interim responses that are counted one by one.
@pytest.mark.parametrize(
    'begin', [CHUNKED + b'0\r\n', b'HTTP/1.1 103 Early Hints\r\n']
)
def test_short_fields_outside_the_head_are_not_kept(begin):
    connection, listener = connect(MemoryReactorClock())
    connection.dataReceived(begin + b'a:b\r\n' * (READ_BYTES // 5))
    assert listener.fault is TransportFailure.MALFORMED
    assert connection.fields <= MAX_FIELDS + 5


# Guards against a loop that stands still while all chunks read are parsed.
def test_one_turn_of_the_loop_parses_a_bounded_number_of_chunks():
    reactor = TurnReactor()
    pairs = [connect(reactor) for _ in range(10)]
    for connection, _ in pairs:
        connection.dataReceived(CHUNKED + CHUNK * CHUNKS_IN_READ)
    before = sum(connection.pieces for connection, _ in pairs)
    assert before <= MAX_PIECES_PER_TURN
    while any(one.received < CHUNKS_IN_READ for _, one in pairs):
        reactor.turn()
        parsed = sum(connection.pieces for connection, _ in pairs)
        assert 0 < parsed - before <= MAX_PIECES_PER_TURN
        before = parsed
    assert not any(listener.fault for _, listener in pairs)


# Guards against calls of the reader for each byte of a body.
def test_reader_gets_small_chunks_together():
    connection, listener = connect(MemoryReactorClock())
    connection.dataReceived(CHUNKED + CHUNK * 1000)
    assert listener.received == 1000
    assert listener.calls < 100


# Guards against a loop on which small sound reads wait behind large faulty ones.
def test_small_read_is_parsed_at_once():
    reactor = MemoryReactorClock()
    busy, _ = connect(reactor)
    busy.dataReceived(CHUNKED + CHUNK * CHUNKS_IN_READ)
    sound, listener = connect(reactor)
    sound.dataReceived(HEAD + b'Content-Length: 2\r\n\r\nok')
    assert listener.is_complete


# Guards against an answer that is lost as its connection ends before its turn.
def test_bytes_that_wait_are_parsed_before_the_end():
    reactor = MemoryReactorClock()
    connection, listener = connect(reactor)
    connection.dataReceived(CHUNKED + CHUNK * CHUNKS_IN_READ + b'0\r\n\r\n')
    assert not listener.is_complete
    connection.connectionLost(Failure(ConnectionDone()))
    reactor.pump([0.001] * 20)
    assert listener.is_complete
    assert listener.received == CHUNKS_IN_READ
    assert listener.fault is None


# Guards against a turn of the loop that parses all that waits, as many connections
# end at once.
@pytest.mark.parametrize('clean', [True, False])
def test_connections_that_end_at_once_are_parsed_in_several_turns(clean):
    reactor = TurnReactor()
    pairs = [connect(reactor) for _ in range(20)]
    for connection, _ in pairs:
        connection.dataReceived(CHUNKED + CHUNK * CHUNKS_IN_READ)
    reason = Failure(ConnectionDone() if clean else ConnectionLost())
    before = sum(listener.received for _, listener in pairs)
    for connection, _ in pairs:
        connection.connectionLost(reason)
    assert sum(listener.received for _, listener in pairs) == before
    turns = 0
    while reactor.due:
        reactor.turn()
        turns += 1
    assert turns > 20
    for _, listener in pairs:
        assert listener.received == CHUNKS_IN_READ
        assert listener.fault is TransportFailure.CLOSED


# Guards against a pause of the caller that ends with a turn of the loop.
def test_caller_and_loop_pause_a_connection_together():
    reactor = MemoryReactorClock()
    connection, listener = connect(reactor)
    transport = connection.transport
    connection.dataReceived(CHUNKED + CHUNK * CHUNKS_IN_READ)
    assert transport.producerState == 'paused'
    connection.pauseProducing()
    received = listener.received
    reactor.pump([0.001] * 20)
    assert transport.producerState == 'paused'
    assert listener.received == received
    connection.resumeProducing()
    reactor.pump([0.001] * 20)
    assert transport.producerState == 'producing'
    assert listener.received == CHUNKS_IN_READ


# Guards against bytes that are parsed after a connection was given up.
def test_aborted_connection_drops_what_waits():
    reactor = MemoryReactorClock()
    connection, listener = connect(reactor)
    connection.dataReceived(CHUNKED + CHUNK * CHUNKS_IN_READ)
    received = listener.received
    connection.abort()
    reactor.pump([0.001] * 20)
    assert listener.received == received


# Guards against limits on one connection whose product is all the memory.
def test_heads_of_all_connections_share_a_limit():
    reactor = MemoryReactorClock()
    pairs = [connect(reactor) for _ in range(1000)]
    for connection, _ in pairs:
        connection.dataReceived(HEAD + b'X-Long: ' + b'a' * 60_000)
    held = [one for _, one in pairs if one.fault is None]
    assert 0 < len(held) * 60_000 <= 33_554_432
    for connection, _ in pairs:
        connection.abort()
    later, listener = connect(reactor)
    later.dataReceived(HEAD + b'X-Long: ' + b'a' * 60_000)
    assert listener.fault is None


class CallReactor(MemoryReactorClock):
    """Connect each call at once, and keep the connections."""

    def __init__(self):
        super().__init__()
        self.connections = []

    def connectTCP(self, *args, **kwargs):  # noqa: N802
        connector = super().connectTCP(*args, **kwargs)
        connection = self.tcpClients[-1][2].buildProtocol(None)
        transport = StringTransport()
        transport.setTcpNoDelay = lambda _: None
        connection.makeConnection(transport)
        self.connections.append(connection)
        return connector


# Guards against buffered responses whose number is not counted.
def test_called_responses_share_a_limit_and_give_it_back():
    size = 4_000_000

    async def scenario():
        reactor = CallReactor()
        call = HttpCall('GET', '/', b'', 30, MAX_RECORDS_BYTES)
        calls = [
            asyncio.ensure_future(HttpClient(reactor, '10.0.0.1:80').call(call))
            for _ in range(40)
        ]
        await asyncio.sleep(0)
        head = HEAD + b'Content-Length: %d\r\n\r\n' % (size + 1)
        for connection in reactor.connections:
            connection.dataReceived(head + bytes(size))
            reactor.advance(0.001)
        held = intake_of(reactor).memory.held_bytes
        for connection in reactor.connections:
            connection.dataReceived(b'a')
            reactor.advance(0.001)
        outcomes = await asyncio.gather(*calls)
        return held, outcomes, intake_of(reactor).memory.held_bytes

    held, outcomes, left = asyncio.run(scenario())
    assert size <= held <= RESPONSE_MEMORY_BYTES
    whole = [one for one in outcomes if isinstance(one, Success)]
    assert 0 < len(whole) * size <= RESPONSE_MEMORY_BYTES
    assert left == 0


# Guards against a body that is kept after its call has timed out.
def test_call_that_times_out_gives_its_memory_back():
    async def scenario():
        reactor = CallReactor()
        call = HttpCall('GET', '/', timeout_s=0.01)
        calling = asyncio.ensure_future(
            HttpClient(reactor, '10.0.0.1:80').call(call)
        )
        await asyncio.sleep(0)
        head = HEAD + b'Content-Length: 60000\r\n\r\n'
        reactor.connections[0].dataReceived(head + bytes(50_000))
        held = intake_of(reactor).memory.held_bytes
        await calling
        return held, intake_of(reactor).memory.held_bytes

    held, left = asyncio.run(scenario())
    assert held >= 50_000
    assert left == 0
