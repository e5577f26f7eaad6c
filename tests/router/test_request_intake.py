"""Input in small pieces: what is read of it in a turn, in all, and no more."""

import socket

import pytest
from twisted.internet.main import CONNECTION_DONE
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.resource import Resource

from foxtailhatch.relay import request_intake
from foxtailhatch.relay.request_intake import (
    FREE_PIECES,
    MAX_PIECES,
    PIECES_PER_READ,
    PIECES_PER_TURN,
    SLICE_BYTES,
    SLOW_SHARE,
    SLOW_TURN_S,
    SMALL_PIECES_AT_ONCE,
    SMALL_PIECES_PER_S,
    InputFault,
    SlowReads,
    SmallPieceBudget,
    request_intake_of,
)
from foxtailhatch.router import caller_transport
from foxtailhatch.router.caller_channel import LINGER_S
from foxtailhatch.router.caller_transport import CallerTransport
from foxtailhatch.router.counted_channel import CountedSite
from foxtailhatch.router.http_frontend import FrontendFactory
from tests.router.test_caller_channel import GET
from tests.router.test_caller_transport import Connection, Reactor
from tests.router.test_http_frontend import Handler

HEAD = (
    b'POST /a/b HTTP/1.1\r\nHost: host.example\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
TINY = b'1\r\nz\r\n'
READ_BYTES = 65_536


class Peer:
    """The host of a caller."""

    host = '127.0.0.1'


class TcpConnection(Connection):
    """Both ends of a TCP connection on the loopback, whose events are played."""

    def __init__(self, handler, reactor=None, factory=None):
        super().__init__(handler)
        if reactor is not None:
            self.reactor = reactor
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self.caller = socket.create_connection(listener.getsockname())
            self._sock, _ = listener.accept()
        self._sock.setblocking(False)
        self.caller.setblocking(False)
        self.refused = []
        self.intake = request_intake_of(self.reactor)
        self.intake.on_refused = lambda *told: self.refused.append(told)
        self.timers = Clock()
        factory = factory or FrontendFactory(handler, None)
        self.channel = factory.buildProtocol(None)
        self.channel.callLater = self.timers.callLater
        self.transport = CallerTransport(
            self._sock, self.channel, ('127.0.0.1', 1), None, 1, self.reactor
        )
        self.transport.setTcpNoDelay = lambda enabled: None
        self.transport.getHost = lambda: None
        self.transport.getPeer = Peer
        self.channel.makeConnection(self.transport)
        self.transport.startReading()

    def send_some(self, raw):
        """Send as much as the system takes, and return the rest."""
        try:
            return raw[self.caller.send(raw) :]
        except (BlockingIOError, ConnectionError):
            return raw

    def play(self, raw, turns=100_000):
        """Send input and let all turns run until nothing happens any more."""
        while turns and self.transport.connected:
            turns -= 1
            raw = self.send_some(raw) if raw else raw
            reason = self.read()
            if reason is not None:
                self.transport.connectionLost(Failure(reason))
                return
            due, self.reactor.due = self.reactor.due, []
            for call, arguments in due:
                call(*arguments)
            if not raw and not due and not self.unread():
                return


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def conn(handler):
    connection = TcpConnection(handler)
    yield connection
    connection.caller.close()
    if connection.transport.connected:
        connection.transport.connectionLost(Failure(CONNECTION_DONE))


def fill(conn, raw):
    """Send ``raw``, all of which the system takes."""
    assert conn.send_some(raw) == b''


# Guards against a turn of the loop in which 11,000 chunks are parsed.
def test_one_event_passes_on_few_pieces(conn):
    fill(conn, HEAD + TINY * (READ_BYTES // len(TINY)))
    conn.read()
    slice_pieces = SLICE_BYTES // len(TINY) + 1
    assert 0 < conn.channel.pieces <= PIECES_PER_READ + slice_pieces
    assert len(conn.unread()) > READ_BYTES * 0.9


# Guards against small pieces that take the loop's time as fast as they come.
def test_input_in_small_pieces_waits_for_its_share_of_the_time(conn):
    fill(conn, HEAD + TINY * 10_000)
    while conn.is_read:
        conn.read()
    assert conn.channel.pieces < FREE_PIECES * 2
    assert len(conn.intake.slow_reads) == 1
    pieces = conn.channel.pieces
    call, arguments = conn.reactor.due.pop()
    call(*arguments)
    assert conn.channel.pieces <= pieces + SLICE_BYTES // len(TINY) + 1


def test_body_in_small_pieces_is_received_whole(conn, handler):
    conn.play(HEAD + TINY * 20_000 + b'0\r\n\r\n')
    request = conn.channel.requests[0]
    assert request._body.getvalue() == b'z' * 20_000
    assert not conn.refused
    # The count is for one request.
    assert conn.channel.pieces == 0


@pytest.mark.parametrize('chunk_bytes', [1000, 8192, 100_000])
def test_upload_in_usual_chunks_never_waits(conn, chunk_bytes):
    # A piece of JSON with a line end in each 40 bytes.
    piece = (b'"name": "value of the field no. 1000",\n' * 3000)[:chunk_bytes]
    chunk = b'%x\r\n%s\r\n' % (len(piece), piece)
    raw = HEAD + chunk * (1_200_000 // len(chunk)) + b'0\r\n\r\n'
    reads = 0
    while raw or conn.unread():
        raw = conn.send_some(raw) if raw else raw
        reads += 1
        assert conn.is_read
        conn.read()
        assert len(conn.intake.slow_reads) == 0
        # A turn ends here.
        for call, arguments in conn.reactor.due:
            call(*arguments)
        conn.reactor.due.clear()
    body = conn.channel.requests[0]._body.getvalue()
    assert body == piece * (1_200_000 // len(chunk))
    assert reads < 80


@pytest.mark.parametrize(
    ('raw', 'pieces'),
    [
        (HEAD + TINY * 100, 104),
        (HEAD + b'1;x=y\r\nz\r\n' * 100, 104),
        (HEAD + b'0\r\n' + b'a:b\r\n' * 100, 105),
        (HEAD[:-2] + b'a:b\r\n' * 100, 103),
    ],
)
def test_pieces_of_all_kinds_are_counted(conn, raw, pieces):
    conn.channel.dataReceived(raw)
    assert abs(conn.channel.pieces - pieces) <= 1


# Guards against a body of the most bytes in as many pieces: 4 MB take 30 s.
def test_request_with_too_many_pieces_is_refused(conn, monkeypatch, handler):
    monkeypatch.setattr(caller_transport, 'MAX_PIECES', 3000)
    conn.play(HEAD + TINY * 5000)
    conn.hand_over()
    answer = conn.received()
    assert answer.startswith(b'HTTP/1.1 413 ')
    assert b'connection: close' in answer.lower()
    assert b'body_in_small_pieces' in answer
    assert handler.refusals == [('body_in_small_pieces', 'request-1')]
    [(fault, pieces, size, host)] = conn.refused
    assert fault is InputFault.PIECES
    assert 3000 < pieces < 3200
    assert size > 6 * 2990
    assert host == '127.0.0.1'


# Guards against a chunked body that is too large, and read on without end.
def test_chunked_body_without_end_is_refused(conn, handler):
    handler.max_body_bytes = 100_000
    conn.play(HEAD + (b'400\r\n%s\r\n' % (b'z' * 1024)) * 1000)
    conn.hand_over()
    assert conn.received().startswith(b'HTTP/1.1 413 ')
    assert handler.refusals == [('body_too_large', 'request-1')]
    assert conn.refused[0][0] is InputFault.BYTES
    assert conn.refused[0][2] < 200_000 + 2 * READ_BYTES


# Guards against a connection that is read on for as long as its caller sends.
def test_refused_input_is_dropped_and_the_connection_ends(
    conn, monkeypatch, handler
):
    monkeypatch.setattr(caller_transport, 'MAX_PIECES', 1000)
    conn.play(HEAD + TINY * 2000)
    pieces = conn.channel.effort
    conn.hand_over()
    for _ in range(10):
        conn.timers.advance(LINGER_S / 10)
        conn.play(TINY * 2000, turns=5)
    conn.timers.advance(LINGER_S / 10)
    conn.reactor.run_due()
    assert conn.channel.effort == pieces
    assert not conn.transport.connected
    assert len(handler.refusals) == 1


# Guards against 200 bodies of 100,000 pieces each, which take minutes.
def test_small_pieces_of_all_connections_together_are_limited(
    conn, monkeypatch
):
    monkeypatch.setattr(request_intake, 'SMALL_PIECES_AT_ONCE', 1000)
    conn.intake.budget = SmallPieceBudget(clock=lambda: 0)
    conn.play(HEAD + TINY * 5000)
    assert conn.refused[0][0] is InputFault.SMALL_PIECES
    assert conn.refused[0][1] < 1000 + 2 * FREE_PIECES


# Guards against chunks of one byte that have 1,000 bytes of extensions: they are
# few pieces, and are read for as long as they come.
def test_long_extensions_count_as_small_pieces(conn, monkeypatch):
    monkeypatch.setattr(request_intake, 'SMALL_PIECES_AT_ONCE', 1000)
    conn.intake.budget = SmallPieceBudget(clock=lambda: 0)
    conn.play(HEAD + b'1;%s\r\nz\r\n' % (b'x' * 1000) * 1000)
    [(fault, pieces, _, _)] = conn.refused
    assert fault is InputFault.SMALL_PIECES
    assert FREE_PIECES <= pieces < 500


def test_small_pieces_are_allowed_again_with_time():
    now = [0.0]
    budget = SmallPieceBudget(clock=lambda: now[0])
    assert budget.spend(SMALL_PIECES_AT_ONCE - 1)
    assert not budget.spend(SMALL_PIECES_AT_ONCE)
    now[0] += 1
    assert budget.spend(SMALL_PIECES_PER_S - 1)
    assert not budget.spend(1)
    # A body with the most pieces fits at once.
    assert MAX_PIECES <= SMALL_PIECES_AT_ONCE


# Guards against half a minute of work for callers that have gone.
def test_input_of_a_closed_connection_is_dropped(conn, handler):
    fill(conn, HEAD + TINY * 10_000)
    while conn.is_read:
        conn.read()
    pieces = conn.channel.pieces
    conn.caller.close()
    conn.reactor.run_due()
    assert not conn.transport.connected
    assert conn.channel.pieces == pieces
    assert not handler.channels.has_outstanding
    assert handler.bodies.held_bytes == 0


# Guards against a turn in which all connections are read, one after the other,
# before any other request.
def test_connections_share_the_pieces_of_a_turn(handler):
    reactor = Reactor()
    conns = [TcpConnection(handler, reactor) for _ in range(20)]
    for one in conns:
        fill(one, HEAD + TINY * 1000)
    small = TcpConnection(handler, reactor)
    fill(small, GET)
    for one in (*conns, small):
        one.read()
    pieces = sum(one.channel.effort for one in conns)
    assert pieces < PIECES_PER_TURN + PIECES_PER_READ * 2
    # A small read never waits.
    assert small.channel.requests
    # All have their turns.
    for _ in range(20):
        due, reactor.due = reactor.due, []
        for call, arguments in due:
            call(*arguments)
    assert all(one.channel.effort for one in conns)
    for one in (*conns, small):
        one.caller.close()
        one.transport.connectionLost(Failure(CONNECTION_DONE))


class TimedReactor:
    """Record the delays of calls."""

    def __init__(self):
        self.delays = []
        self.calls = []

    def callLater(self, delay_s, call):  # noqa: N802
        self.delays.append(delay_s)
        self.calls.append(call)

    def run(self):
        self.calls.pop(0)()


def test_slow_reads_take_their_share_of_the_time():
    reactor = TimedReactor()
    now = [0.0]
    reads = SlowReads(reactor, clock=lambda: now[0])
    order = []

    def read_of(name):
        def read():
            now[0] += 0.001
            order.append(name)
            reads.add(read)

        return read

    for name in range(10):
        reads.add(read_of(name))
    turns = 50
    for _ in range(turns):
        reactor.run()
    busy_s = now[0]
    assert busy_s == pytest.approx(turns * SLOW_TURN_S, rel=0.6)
    assert busy_s / (busy_s + sum(reactor.delays)) == pytest.approx(
        SLOW_SHARE, rel=0.05
    )
    assert order[:20] == [*range(10), *range(10)]


# Guards against one failed read after which no other one has its turn.
def test_slow_reads_go_on_after_a_failure():
    reactor = TimedReactor()
    reads = SlowReads(reactor, clock=lambda: 0)
    done = []
    reads.add(lambda: 1 / 0)
    reads.add(lambda: done.append(1))
    with pytest.raises(ZeroDivisionError):
        reactor.run()
    reactor.run()
    assert done == [1]


class Page(Resource):
    """A page that any request may ask for."""

    isLeaf = True

    def render_GET(self, _):  # noqa: N802
        return b'ready'


# Guards against the pages for the platform and other entries, which anyone who
# reaches their ports can hold up in the same way.
def test_pages_refuse_input_in_too_many_pieces(handler, monkeypatch):
    monkeypatch.setattr(caller_transport, 'MAX_PIECES', 1000)
    site = CountedSite(Page())
    conn = TcpConnection(handler, factory=site)
    conn.play(HEAD + TINY * 3000)
    assert conn.refused[0][0] is InputFault.PIECES
    conn.hand_over()
    assert conn.received().startswith(b'HTTP/1.1 400 ')
    conn.caller.close()


# Guards against 2,700 requests in 64 kB that are answered in one turn.
def test_pipelined_requests_of_a_page_take_several_turns(handler):
    request = b'GET /x HTTP/1.1\r\n\r\n'
    conn = TcpConnection(handler, factory=CountedSite(Page()))
    fill(conn, request * 2000)
    conn.read()
    assert 0 < conn.channel.effort < PIECES_PER_TURN * 2
    conn.caller.close()
