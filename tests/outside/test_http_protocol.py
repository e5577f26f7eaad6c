"""What a client connection accepts as a response, without sockets."""

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web._newclient import Request
from twisted.web.http_headers import Headers

from foxtailhatch.outside.http_bodies import BodyReader
from foxtailhatch.outside.http_protocol import (
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    BoundedConnectionPool,
    InvalidStatus,
    ResponseHeadTooLarge,
)
from foxtailhatch.relay.body_memory import BodyMemory
from tests.outside.loop import reactor

OK = b'HTTP/1.1 200 OK\r\n'
RESPONSE = OK + b'Content-Length: 2\r\n\r\n{}'
SEVERAL_READS = 200


class Connection:
    """A connection of a pool, and what became of its requests."""

    def __init__(self):
        self.idle = []
        pool = BoundedConnectionPool(reactor())
        self.protocol = pool._factory(self.idle.append, 'test').buildProtocol(
            None
        )
        self.transport = StringTransport()
        self.protocol.makeConnection(self.transport)
        self.outcomes = []
        self.bodies = []

    def send(self):
        headers = Headers({'host': ['a']})
        request = Request._construct(
            b'GET', b'/', headers, None, persistent=True
        )
        response = self.protocol.request(request)
        response.addCallback(self._read)
        response.addErrback(self.outcomes.append)

    def receive(self, chunk):
        self.protocol.dataReceived(chunk)

    def lose(self, exception):
        self.protocol.connectionLost(Failure(exception))

    def closed(self):
        return self.transport.disconnecting or self.transport.disconnected

    def _read(self, response):
        reader = BodyReader(100, BodyMemory().hold(), lambda: response.lost_by)
        reader.body.addBoth(self.bodies.append)
        response.deliverBody(reader)


@pytest.fixture
def conn():
    return Connection()


def _parsed_headers(conn):
    parser = conn.protocol._parser
    found = [parser.headers, parser.connHeaders]
    return sum(
        len(texts) for each in found for _, texts in each.getAllRawHeaders()
    )


# Guards against heads without end, which were kept until the call timed out.
@pytest.mark.parametrize(
    'sent',
    [
        b'a:b\r\n' * 400,
        b'a:b\n b\n c\n' * 200,
        b'Name: ' + b'x' * 1000 + b'\r\n',
        b'x' * 2000,
        b'HTTP/1.1 100 Continue\r\n\r\n' * 20,
    ],
    ids=['short', 'continued', 'long', 'one', 'interim'],
)
def test_a_head_without_end_ends_the_connection(conn, sent):
    conn.send()
    start = b'' if sent.startswith(b'HTTP') else OK
    conn.receive(start)
    for _ in range(SEVERAL_READS):
        if conn.closed():
            break
        conn.receive(sent)
        assert _parsed_headers(conn) <= MAX_HEAD_LINES
    assert conn.closed()
    conn.lose(ConnectionLost())
    assert conn.outcomes[0].check(ResponseHeadTooLarge)


# Guards against a head that is refused for the body behind it.
@pytest.mark.parametrize('size', [1, 7, 10_000])
def test_a_head_up_to_its_limit_is_accepted_in_any_pieces(conn, size):
    padding = b'a: ' + b'x' * (MAX_HEAD_BYTES - 100) + b'\r\n'
    head = OK + b'Content-Length: 90\r\n' + padding + b'\r\n'
    body = b'\n\n\n' * 30
    sent = head + body
    conn.send()
    for start in range(0, len(sent), size):
        conn.receive(sent[start : start + size])
    assert conn.bodies == [body]
    assert conn.idle == [conn.protocol]


# Guards against a connection whose next response begins with bytes that were
# sent behind the previous one.
def test_bytes_behind_a_response_close_its_connection(conn):
    conn.send()
    conn.receive(RESPONSE + RESPONSE[:9])
    assert conn.bodies == [b'{}']
    assert conn.closed()
    assert not conn.idle


# Guards against the same with bytes that come after the response.
def test_a_connection_with_unrequested_bytes_is_not_used_again(conn):
    conn.send()
    conn.receive(RESPONSE)
    assert conn.idle == [conn.protocol]
    conn.receive(RESPONSE)
    assert conn.closed()
    assert conn.protocol.state != 'QUIESCENT'


# Guards against the beginning of a body that is taken for all of it.
def test_a_body_that_ends_with_a_broken_connection_is_not_whole(conn):
    conn.send()
    conn.receive(OK + b'\r\nbeginn')
    conn.lose(ConnectionLost())
    assert conn.bodies[0].check(ConnectionLost)


def test_a_body_may_end_with_its_connection(conn):
    conn.send()
    conn.receive(OK + b'\r\nwhole')
    conn.lose(ConnectionDone())
    assert conn.bodies == [b'whole']


# Guards against a status of a service in trouble that reaches its caller.
@pytest.mark.parametrize('size', [1, 100])
@pytest.mark.parametrize(
    'line',
    [
        b'HTTP/1.1 000 X',
        b'HTTP/1.1 099 X',
        b'HTTP/1.1 600 X',
        b'HTTP/1.1 999',
        b'HTTP/1.1 1000 X',
        b'HTTP/1.1 20 X',
        b'HTTP/1.1 -20 X',
        b'HTTP/1.1 +200 X',
        b'HTTP/1.1 2_00 X',
        b'HTTP/1.1  200 X',
        b'HTTP/1.1 0200 X',
        b'HTTP/1.1 2x0 X',
        b'HTTP/1.1',
    ],
)
def test_a_response_with_another_status_ends_the_connection(conn, line, size):
    conn.send()
    sent = line + b'\r\nContent-Length: 2\r\n\r\n{}'
    for start in range(0, len(sent), size):
        conn.receive(sent[start : start + size])
    assert conn.closed()
    conn.lose(ConnectionLost())
    assert conn.outcomes[0].check(InvalidStatus)
    assert not conn.bodies


@pytest.mark.parametrize('status', [b'200', b'404 Not Found', b'599 X'])
def test_a_response_with_a_final_status_is_read(conn, status):
    conn.send()
    conn.receive(b'HTTP/1.1 ' + status + RESPONSE[len(OK) - 2 :])
    assert conn.bodies == [b'{}']
