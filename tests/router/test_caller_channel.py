"""Connections of callers: what is outstanding, and how they are closed."""

from types import SimpleNamespace

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from foxtailhatch.relay.refusal_response import send_refusal
from foxtailhatch.relay.refusals import RefusalReason, RelayRefusal
from foxtailhatch.router.caller_channel import LINGER_S, RequestStage
from foxtailhatch.router.http_frontend import FrontendFactory
from tests.router.test_http_frontend import Handler

REFUSAL = RelayRefusal(RefusalReason.STOPPING, 0.05)
IDLE_TIMEOUT_S = 60.0
GET = b'GET /a/b HTTP/1.1\r\nHost: host.example\r\n\r\n'


class HeldTransport(StringTransport):
    """A transport that hands over what is written only when told to."""

    def __init__(self):
        super().__init__()
        self.closes = []
        self.dataBuffer = b''
        self.offset = 0

    def hold(self, count):
        """Hold that many bytes that the caller has not read."""
        self.dataBuffer = b'x' * count

    def loseWriteConnection(self):  # noqa: N802
        self.closes.append('write')

    def loseConnection(self):  # noqa: N802
        self.closes.append('both')

    def abortConnection(self):  # noqa: N802
        self.closes.append('abort')

    def connectionLost(self, reason):  # noqa: N802
        self.closes.append('lost')

    def hand_over(self, channel):
        """Hand over all that is written, and close what is to be closed."""
        if not self.closes:
            channel.resumeProducing()
        elif self.closes[-1] == 'write':
            channel.writeConnectionLost()
        else:
            self.end(channel, ConnectionDone())

    def end(self, channel, reason):
        channel.connectionLost(Failure(reason))


def connect(handler):
    timers = Clock()
    channel = FrontendFactory(handler, IDLE_TIMEOUT_S).buildProtocol(None)
    channel.callLater = timers.callLater
    transport = HeldTransport()
    channel.makeConnection(transport)
    return SimpleNamespace(channel=channel, transport=transport, timers=timers)


def post(length):
    head = b'POST /a/b HTTP/1.1\r\nHost: host.example\r\n'
    return head + b'Content-Length: %d\r\n\r\n' % length


def answer(client, handler):
    client.channel.dataReceived(GET)
    handler.accept().respond()


def running(handler):
    return len(handler.env.context.running - {handler.env.relay})


def sent(client):
    return client.transport.value()


@pytest.fixture
def handler():
    return Handler()


# Guards against a stop that counts an answer as given once it is written.
def test_answer_is_outstanding_until_the_transport_has_handed_it_over(handler):
    client = connect(handler)
    handler.is_stopping = True
    answer(client, handler)
    assert sent(client).endswith(b'ok')
    assert running(handler) == 0
    assert handler.channels.has_outstanding
    assert list(handler.channels.pending_requests()) == [
        ('request-1', RequestStage.SENDING)
    ]
    client.transport.hand_over(client.channel)
    assert list(handler.channels.pending_requests()) == []
    client.channel.readConnectionLost()
    assert client.transport.closes == ['write', 'both']
    client.transport.hand_over(client.channel)
    assert not handler.channels.has_outstanding


# Guards against the tail of an answer on a kept connection.
def test_answer_before_the_stop_is_outstanding_until_it_is_handed_over(handler):
    client = connect(handler)
    answer(client, handler)
    handler.is_stopping = True
    for _ in range(3):
        handler.channels.close_idle()
    assert client.transport.closes == []
    assert handler.channels.has_outstanding
    client.transport.hand_over(client.channel)
    assert not handler.channels.has_outstanding


# Guards against an answer that the caller has not read, and that is dropped as a
# request which crosses the close of its connection is left unread.
def test_idle_connection_is_read_on_after_its_close(handler):
    client = connect(handler)
    answer(client, handler)
    client.transport.hand_over(client.channel)
    handler.is_stopping = True
    handler.channels.close_idle()
    assert client.transport.closes == []
    handler.channels.close_idle()
    assert client.transport.closes == ['write']
    assert handler.channels.has_outstanding
    client.channel.dataReceived(GET)
    assert not handler.env.reactor.tcpClients
    client.transport.hand_over(client.channel)
    client.channel.readConnectionLost()
    assert client.transport.closes == ['write', 'both']


def test_connection_without_a_request_holds_up_no_stop(handler):
    connect(handler)
    assert not handler.channels.has_outstanding


def test_connection_in_use_is_not_closed_as_idle(handler):
    client = connect(handler)
    client.channel.dataReceived(GET)
    for _ in range(3):
        handler.channels.close_idle()
    assert client.transport.closes == []


# Guards against a request that is read behind another one and then dropped.
def test_request_behind_another_one_is_answered_in_a_stop(handler):
    client = connect(handler)
    handler.is_stopping = True
    client.channel.dataReceived(GET + GET)
    handler.accept().respond()
    assert b'connection: close' not in sent(client).lower()
    assert client.transport.closes == []
    handler.accept().respond()
    assert sent(client).count(b'ok') == 2
    assert sent(client).lower().count(b'connection: close') == 1
    assert client.transport.closes == ['write']


def test_bytes_after_the_last_answer_are_no_request(handler):
    client = connect(handler)
    handler.is_stopping = True
    answer(client, handler)
    client.channel.dataReceived(GET)
    assert not handler.env.reactor.tcpClients
    assert sent(client).count(b'HTTP/1.1 200') == 1


# Guards against bodies that are cut off with neither an answer nor a refusal.
@pytest.mark.parametrize('part', [0, 1, 999])
def test_incomplete_body_is_refused_and_read_on(handler, part):
    client = connect(handler)
    client.channel.dataReceived(post(1000) + b'x' * part)
    handler.is_stopping = True
    assert handler.channels.has_outstanding
    handler.channels.refuse_partial(REFUSAL)
    assert sent(client).startswith(b'HTTP/1.1 503')
    assert b'{"error":"stopping"}' in sent(client)
    assert handler.refusals == [('stopping', 'request-1')]
    client.transport.hand_over(client.channel)
    client.channel.dataReceived(b'x' * (1000 - part))
    assert client.transport.closes == ['write']
    client.channel.readConnectionLost()
    assert client.transport.closes == ['write', 'both']
    assert not handler.env.reactor.tcpClients
    assert handler.bodies.held_bytes == 0


def test_incomplete_chunked_body_is_refused(handler):
    client = connect(handler)
    client.channel.dataReceived(
        b'POST /a/b HTTP/1.1\r\nHost: host.example\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
    )
    handler.is_stopping = True
    handler.channels.refuse_partial(REFUSAL)
    assert b' 503 ' in sent(client).split(b'\r\n')[0]
    before = sent(client)
    client.channel.dataReceived(b'not a chunk\r\n')
    assert sent(client) == before
    assert client.transport.closes == ['write', 'abort']


def test_request_is_refused_only_once(handler):
    client = connect(handler)
    client.channel.dataReceived(post(1000))
    handler.is_stopping = True
    for _ in range(3):
        handler.channels.refuse_partial(REFUSAL)
    assert sent(client).count(b'HTTP/1.1') == 1


def test_request_in_progress_is_not_refused_as_incomplete(handler):
    client = connect(handler)
    client.channel.dataReceived(GET)
    handler.is_stopping = True
    handler.channels.refuse_partial(REFUSAL)
    assert sent(client) == b''


def test_connection_that_the_caller_leaves_open_is_closed(handler):
    client = connect(handler)
    handler.is_stopping = True
    answer(client, handler)
    client.timers.advance(10 * LINGER_S)
    assert client.transport.closes == ['write']
    client.transport.hand_over(client.channel)
    client.timers.advance(LINGER_S)
    assert client.transport.closes == ['write', 'both']


# Guards against a caller that asked for a last answer, never reads it, and keeps its
# connection for ever.
def test_caller_that_takes_nothing_of_its_last_answer_is_cut(handler):
    client = connect(handler)
    closing = GET.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
    client.channel.dataReceived(closing)
    handler.accept().respond()
    client.transport.hold(1000)
    client.timers.advance(IDLE_TIMEOUT_S)
    assert client.transport.closes == ['both']
    client.timers.advance(IDLE_TIMEOUT_S)
    assert client.transport.closes == ['both', 'abort']
    client.transport.end(client.channel, ConnectionLost())
    assert handler.undelivered == ['request-1']


# Guards against an answer that is cut, as its caller reads the rest of it for longer
# than the idle timeout.
@pytest.mark.parametrize('is_last', [False, True])
def test_caller_that_reads_on_slowly_is_not_cut(handler, is_last):
    client = connect(handler)
    ending = b'\r\nConnection: close\r\n\r\n' if is_last else b'\r\n\r\n'
    client.channel.dataReceived(GET.replace(b'\r\n\r\n', ending))
    handler.accept().respond()
    client.transport.hold(1000)
    for _ in range(8):
        client.transport.offset += 100
        client.timers.advance(IDLE_TIMEOUT_S)
    assert 'abort' not in client.transport.closes
    assert client.transport.closes == (['both'] if is_last else [])
    client.timers.advance(IDLE_TIMEOUT_S)
    assert client.transport.closes[-1] == ('abort' if is_last else 'both')


# Guards against the same for an answer that was broken off.
def test_caller_that_takes_nothing_of_a_broken_answer_is_cut(handler):
    client = connect(handler)
    client.channel.dataReceived(GET)
    req = client.channel.requests[0]
    req.start(200, ())
    req.abort()
    client.transport.hold(1000)
    client.timers.advance(2 * IDLE_TIMEOUT_S)
    client.timers.advance(IDLE_TIMEOUT_S)
    assert client.transport.closes == ['both', 'abort']


def test_caller_that_sends_on_is_read_on(handler):
    client = connect(handler)
    client.channel.dataReceived(post(1000))
    handler.is_stopping = True
    handler.channels.refuse_partial(REFUSAL)
    client.transport.hand_over(client.channel)
    for _ in range(4):
        client.timers.advance(0.9 * LINGER_S)
        client.channel.dataReceived(b'x')
    assert client.transport.closes == ['write']


# Guards against logs that show an answer as given which its caller did not get.
def test_answer_that_was_cut_is_recorded(handler):
    client = connect(handler)
    handler.is_stopping = True
    answer(client, handler)
    client.transport.end(client.channel, ConnectionLost())
    assert handler.undelivered == ['request-1']


def test_answer_that_the_transport_holds_back_is_recorded_when_cut(handler):
    client = connect(handler)
    client.channel.dataReceived(GET)
    client.channel.pauseProducing()
    handler.accept().respond()
    client.transport.end(client.channel, ConnectionLost())
    assert handler.undelivered == ['request-1']


def test_delivered_answer_is_not_recorded_as_cut(handler):
    client = connect(handler)
    handler.is_stopping = True
    answer(client, handler)
    client.transport.hand_over(client.channel)
    client.transport.end(client.channel, ConnectionLost())
    assert handler.undelivered == []


def test_caller_that_leaves_during_its_request_ends_it(handler):
    client = connect(handler)
    client.channel.dataReceived(GET)
    client.channel.readConnectionLost()
    assert client.transport.closes == ['lost']
    assert running(handler) == 1
    client.transport.end(client.channel, ConnectionLost())
    assert running(handler) == 0


# Guards against an answer that is reset in the system's buffers, as its caller has
# closed only its sending end.
@pytest.mark.parametrize('is_stopping', [False, True])
def test_caller_that_closes_its_sending_end_gets_its_answer(
    handler, is_stopping
):
    client = connect(handler)
    handler.is_stopping = is_stopping
    answer(client, handler)
    client.channel.readConnectionLost()
    assert client.transport.closes[-1] == 'both'
    client.transport.hand_over(client.channel)
    assert handler.undelivered == []
    assert not handler.channels.has_outstanding


# Guards against a request that is dropped, as it was read in one piece with one that
# was refused at once.
def test_request_behind_a_refused_one_is_answered(handler):
    handler.is_stopping = True

    def refuse(req, caller):
        send_refusal(caller, REFUSAL)

    handler.start_relay = refuse
    client = connect(handler)
    client.channel.dataReceived(GET + GET)
    assert sent(client).count(b'HTTP/1.1 503') == 2
    assert client.transport.closes == ['write']


# Guards against a second response, or an exception, from what follows a malformed
# request on a connection that is being closed.
@pytest.mark.parametrize(
    'raw',
    [
        b'POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n'
        b'Expect: 100-continue\r\n\r\n',
        b'BAD\r\nHost: h\r\n\r\n',
        b'GET / HTTP/1.1\r\nbad\r\nbad\r\nHost: h\r\n\r\n',
        b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nx\r\n',
    ],
)
def test_malformed_request_gets_one_answer_in_a_stop(handler, raw):
    handler.is_stopping = True
    client = connect(handler)
    client.channel.dataReceived(raw)
    client.channel.dataReceived(GET)
    assert sent(client) == b'HTTP/1.1 400 Bad Request\r\n\r\n'
    assert client.transport.closes == ['write']


# Guards against a stop that waits for the rest of a head until its grace is over.
def test_connection_with_an_incomplete_head_is_closed(handler):
    handler.is_stopping = True
    client = connect(handler)
    client.channel.dataReceived(b'GET / HTTP/1.1\r\nHost')
    handler.channels.refuse_partial(REFUSAL)
    assert sent(client) == b''
    assert client.transport.closes == ['write']
    client.transport.hand_over(client.channel)
    client.timers.advance(LINGER_S)
    assert client.transport.closes == ['write', 'both']


# Guards against unread bytes that reset the connection behind an answer.
def test_paused_input_is_read_on_after_the_last_answer(handler):
    handler.is_stopping = True
    client = connect(handler)
    client.channel.dataReceived(GET)
    client.channel.pauseProducing()
    client.transport.pauseProducing()
    handler.accept().respond()
    assert client.transport.producerState == 'producing'


def test_whole_answer_before_a_close_is_not_recorded_as_cut(handler):
    client = connect(handler)
    closing = GET.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
    client.channel.dataReceived(closing)
    client.channel.pauseProducing()
    handler.accept().respond()
    client.transport.hand_over(client.channel)
    assert handler.undelivered == []


def test_exit_names_each_request_without_a_whole_answer(handler):
    client = connect(handler)
    answer(client, handler)
    client.channel.dataReceived(GET + GET)
    assert list(handler.channels.pending_requests()) == [
        ('request-1', RequestStage.SENDING),
        ('request-1', RequestStage.RELAYING),
        ('', RequestStage.UNREAD),
    ]


def test_answer_that_was_broken_off_gives_its_body_back(handler):
    client = connect(handler)
    client.channel.dataReceived(post(300_000) + b'x' * 300_000)
    req = client.channel.requests[0]
    req.start(200, ())
    req.write(b'y')
    req.abort()
    assert handler.bodies.held_bytes == 0


# Guards against a request that is dropped without a line, as the answer before it
# was broken off.
def test_request_behind_a_broken_answer_is_recorded(handler):
    client = connect(handler)
    client.channel.dataReceived(GET + GET)
    req = client.channel.requests[0]
    req.start(200, ())
    req.abort()
    assert handler.undelivered == ['']


# Guards against an answer that was broken off and looks complete to a caller of
# HTTP/1.0, whose answers end with the connection.
def test_broken_answer_to_an_old_caller_resets_its_connection(handler):
    client = connect(handler)
    client.channel.dataReceived(GET.replace(b'HTTP/1.1', b'HTTP/1.0'))
    req = client.channel.requests[0]
    req.start(200, ())
    req.write(b'y')
    req.abort()
    assert client.transport.closes == ['abort']
