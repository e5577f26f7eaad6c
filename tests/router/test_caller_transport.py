"""Requests that wait in the system's buffers behind one in progress."""

import socket

import pytest
from twisted.internet.main import CONNECTION_DONE
from twisted.python.failure import Failure

from foxtailhatch.relay.refusal_response import send_refusal
from foxtailhatch.router.caller_channel import RequestStage
from foxtailhatch.router.caller_transport import CallerTransport
from foxtailhatch.router.http_frontend import FrontendFactory
from tests.router.test_caller_channel import GET, REFUSAL, post
from tests.router.test_http_frontend import Handler

PEEK_BYTES = 65_536


class Reactor:
    """Record which directions of a connection are waited for."""

    def __init__(self):
        self.readers = set()
        self.writers = set()
        self.due = []
        self.addReader = self.readers.add
        self.addWriter = self.writers.add
        self.removeReader = self.readers.discard
        self.removeWriter = self.writers.discard

    def callLater(self, delay_s, call, *arguments):  # noqa: N802
        self.due.append((call, arguments))

    def run_due(self):
        while self.due:
            call, arguments = self.due.pop(0)
            call(*arguments)


class Connection:
    """Both ends of a connection, whose events are played by hand."""

    def __init__(self, handler):
        self.reactor = Reactor()
        self.caller, self._sock = socket.socketpair()
        self.caller.setblocking(False)
        self._handler = handler
        self.channel = FrontendFactory(handler, None).buildProtocol(None)
        self.transport = CallerTransport(
            self._sock, self.channel, ('127.0.0.1', 1), None, 1, self.reactor
        )
        self.transport.setTcpNoDelay = lambda enabled: None
        self.transport.getHost = lambda: None
        self.transport.getPeer = lambda: None
        self.channel.makeConnection(self.transport)

    @property
    def is_read(self):
        """Return whether the process waits for input."""
        return self.transport in self.reactor.readers

    def send(self, raw):
        self.caller.sendall(raw)
        return self.read()

    def read(self):
        return self.transport.doRead() if self.is_read else None

    def unread(self):
        """Return what the process has left in the system's buffer."""
        try:
            return self._sock.recv(
                PEEK_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return b''

    def hand_over(self):
        """Send what is written, and end the connection if it is to end."""
        reason = self.transport.doWrite()
        if reason is not None:
            self.transport.connectionLost(Failure(reason))
        self.reactor.run_due()

    def received(self):
        return self.caller.recv(PEEK_BYTES)


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def conn(handler):
    connection = Connection(handler)
    yield connection
    connection.caller.close()
    if connection.transport.connected:
        connection.transport.connectionLost(Failure(CONNECTION_DONE))


# Guards against a request that was read, and is lost with the connection, as the
# answer before it is broken off.
def test_request_behind_a_broken_answer_is_left_unread(conn, handler):
    conn.send(GET + GET)
    req = conn.channel.requests[0]
    req.start(200, ())
    req.write(b'y')
    assert conn.unread() == GET
    handler.is_stopping = True
    req.abort()
    assert conn.unread() == GET
    conn.hand_over()
    assert conn.received().endswith(b'y\r\n')
    with pytest.raises(ConnectionResetError):
        conn.received()
    assert handler.undelivered == ['']


@pytest.mark.parametrize('is_stopping', [False, True])
def test_request_behind_another_one_is_read_in_its_turn(
    conn, handler, is_stopping
):
    handler.is_stopping = is_stopping
    conn.send(GET)
    conn.send(post(4)[:20])
    assert not conn.is_read
    conn.caller.sendall(post(4)[20:] + b'body' + GET)
    handler.accept().respond()
    assert conn.unread() == post(4) + b'body' + GET
    assert handler.channels.has_outstanding
    conn.hand_over()
    assert b'connection: close' not in conn.received().lower()
    conn.read()
    assert conn.unread() == GET
    assert list(handler.channels.pending_requests()) == [
        ('request-1', RequestStage.RELAYING),
        ('', RequestStage.UNREAD),
    ]
    handler.accept().respond()
    conn.hand_over()
    conn.read()
    handler.accept().respond()
    assert conn.unread() == b''


# Guards against a stop that ends between two requests of a connection.
def test_unread_request_is_outstanding_once_the_one_before_is_answered(
    conn, handler
):
    handler.is_stopping = True
    conn.send(GET + GET)
    handler.accept().respond()
    conn.hand_over()
    for _ in range(3):
        handler.channels.close_idle()
    assert handler.channels.has_outstanding
    assert list(handler.channels.pending_requests()) == [
        ('', RequestStage.UNREAD)
    ]


def test_request_in_many_pieces_is_read_to_its_end(conn, handler):
    whole = post(1000) + b'x' * 1000
    for start in range(0, len(whole), 100):
        conn.send(whole[start : start + 100])
        assert conn.unread() == b''
    assert conn.channel.requests[0].stage is RequestStage.RELAYING


def test_requests_that_are_refused_at_once_are_all_read(conn, handler):
    handler.is_stopping = True
    handler.start_relay = refuse
    conn.send(GET + GET + GET)
    assert conn.unread() == b''
    conn.hand_over()
    assert conn.received().count(b'HTTP/1.1 503') == 3


def refuse(req, caller):
    send_refusal(caller, REFUSAL)


# Guards against unread bytes that reset the connection behind a whole answer.
def test_bytes_behind_a_last_answer_are_read_and_dropped(conn, handler):
    closing = GET.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
    conn.send(closing)
    conn.send(GET)
    handler.accept().respond()
    conn.read()
    assert conn.unread() == b''
    conn.hand_over()
    assert conn.received().endswith(b'ok')
    assert conn.received() == b''


def test_caller_that_leaves_during_its_request_is_noticed(conn, handler):
    conn.send(GET)
    conn.caller.close()
    assert conn.read() is CONNECTION_DONE


def test_piece_of_an_answer_is_sent_without_another_turn():
    """A queue would cost system calls and a turn for each event of a stream."""
    connection = Connection(Handler())
    connection.transport.write(b'id: 1')
    assert connection.caller.recv(PEEK_BYTES) == b'id: 1'
    assert connection.transport not in connection.reactor.writers


def test_what_the_system_does_not_take_is_queued_in_order():
    """A caller that reads slowly must get all bytes, each one once."""
    connection = Connection(Handler())
    pieces = [bytes([number]) * 30_000 for number in range(60)]
    for piece in pieces:
        connection.transport.write(piece)
    received = b''
    while connection.transport in connection.reactor.writers:
        received += connection.caller.recv(PEEK_BYTES)
        connection.transport.doWrite()
    while len(received) < len(b''.join(pieces)):
        received += connection.caller.recv(PEEK_BYTES)
    assert received == b''.join(pieces)


def test_error_of_a_send_is_left_to_the_queue():
    """The end of a connection is reported once, by the reactor."""
    connection = Connection(Handler())
    connection.caller.close()
    connection.transport.write(b'id: 1')
    connection.transport.write(b'id: 2')
    assert connection.transport in connection.reactor.writers
