"""Responses whose status is none of the protocol's final ones, or is malformed.

Whoever sends them is in trouble, also where the response is signed: it tells
neither that the request has run nor that it has not.
"""

import asyncio
from dataclasses import replace

import pytest
from returns.result import Failure
from twisted.internet.testing import StringTransport

from foxtailhatch.platform.requests import PlatformCodec
from foxtailhatch.relay.http_client import HttpCall, HttpClient
from foxtailhatch.relay.http_connection import HttpConnection, TransportFailure
from foxtailhatch.routes import RouteKind
from tests.relay.fakes import REQUEST_ID, start_relay
from tests.relay.test_http_connection import Listener, LoopReactor

STATUS_LINES = (
    'HTTP/1.1 000 X',
    'HTTP/1.1 000',
    'HTTP/1.1 001 X',
    'HTTP/1.1 099 X',
    'HTTP/1.1 101 X',
    'HTTP/1.1 600 X',
    'HTTP/1.1 700 X',
    'HTTP/1.1 999 X',
    'HTTP/1.1 1000 X',
    'HTTP/1.1 20 X',
    'HTTP/1.1 2 X',
    'HTTP/1.1  X',
    'HTTP/1.1',
    'HTTP/1.1 -20 X',
    'HTTP/1.1 +200 X',
    'HTTP/1.1 2x0 X',
    'HTTP/1.1 200x',
)
SEAL = (
    f'Foxtailhatch-Request-Id: {REQUEST_ID}\r\n'
    'Foxtailhatch-Response-Seal: s\r\n'
)
SIGNATURES = {
    'signed': SEAL,
    'unsigned': '',
    'not run': f'{SEAL}Foxtailhatch-Not-Executed: 1\r\n',
    'stream': f'{SEAL}Content-Type: text/event-stream\r\n',
    'upgrade': f'{SEAL}Connection: upgrade\r\nUpgrade: x\r\n',
}
BODIES = {
    'length': 'Content-Length: 7\r\n\r\nforeign',
    'chunks': 'Transfer-Encoding: chunked\r\n\r\n7\r\nforeign\r\n0\r\n\r\n',
    'neither': '\r\nforeign',
    'empty': 'Content-Length: 0\r\n\r\n',
}
AT_MOST_ONCE = {'kind': RouteKind.AT_MOST_ONCE, 'attempts': 1}
STREAM = {'kind': RouteKind.STREAM, 'resumable': True, 'layered': True}

each_status = pytest.mark.parametrize('line', STATUS_LINES)
each_signature = pytest.mark.parametrize('signature', SIGNATURES)
each_body = pytest.mark.parametrize('body', BODIES)


def response(line, signature='signed', body='length'):
    return f'{line}\r\n{SIGNATURES[signature]}{BODIES[body]}'.encode()


def start(**options):
    """Start a relay that speaks the platform's protocol."""

    def prepare(context):
        context.codec = PlatformCodec()

    return start_relay(prepare=prepare, **options)


def answer(env, line, signature, body):
    conn = env.accept_connection()
    conn.send_bytes(response(line, signature, body))
    if body == 'neither':
        conn.close()


def answer_well(env, body=b'fine'):
    conn = env.accept_connection()
    head = f'HTTP/1.1 200 OK\r\n{SEAL}Content-Length: {len(body)}\r\n\r\n'
    conn.send_bytes(head.encode() + body)


def send_events(conn, first, last, line='HTTP/1.1 200 OK'):
    head = f'{line}\r\n{SEAL}Content-Type: text/event-stream\r\n'
    conn.send_bytes(f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode())
    for number in range(first, last + 1):
        conn.send_event(number)


def through_entry(env):
    """Let the attempt in progress be at another entry."""
    attempt = env.relay.attempt
    attempt.chosen = (replace(attempt.chosen[0], is_entry=True),)


@each_status
@each_signature
@each_body
def test_connection_takes_no_such_response(line, signature, body):
    listener = Listener()
    connection = HttpConnection(b'request', listener, b'x-id', b'q1')
    transport = StringTransport()
    transport.setTcpNoDelay = lambda _: None
    connection.makeConnection(transport)
    connection.dataReceived(response(line, signature, body))
    assert listener.fault is TransportFailure.MALFORMED
    assert listener.head is None
    assert not connection.is_reusable


# Guards against a status of an endpoint in trouble that is passed on as the answer.
@each_status
@each_signature
@each_body
def test_call_that_runs_once_ends_with_an_honest_error(line, signature, body):
    env = start(**AT_MOST_ONCE)
    answer(env, line, signature, body)
    assert env.caller.status == 502
    assert b'foreign' not in env.caller.body
    assert env.reactor.tcpClients == []


@each_status
@each_signature
@each_body
def test_call_that_may_repeat_gets_the_whole_answer_of_another(
    line, signature, body
):
    env = start()
    answer(env, line, signature, body)
    answer_well(env)
    assert (env.caller.status, env.caller.body) == (200, b'fine')
    assert env.caller.finished


@each_status
@each_signature
def test_call_ends_with_an_honest_error_if_all_send_it(line, signature):
    env = start()
    answer(env, line, signature, 'length')
    answer(env, line, signature, 'length')
    assert env.caller.status == 502
    assert b'foreign' not in env.caller.body


@each_status
@each_signature
def test_stream_begins_at_another_endpoint(line, signature):
    env = start(**STREAM)
    answer(env, line, signature, 'length')
    conn = env.accept_connection()
    send_events(conn, 1, 2)
    conn.end_stream()
    assert env.caller.status == 200
    assert env.caller.body == b'id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n'
    assert env.caller.finished


@each_status
def test_stream_is_not_resumed_by_such_a_response(line):
    env = start(names=('e1', 'e2', 'e3'), **STREAM)
    first = env.accept_connection()
    send_events(first, 1, 1)
    first.close()
    send_events(env.accept_connection(), 2, 2, line)
    conn = env.accept_connection()
    send_events(conn, 2, 2)
    conn.end_stream()
    assert env.caller.body == b'id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n'
    assert env.caller.finished


@each_status
@each_signature
def test_other_entry_may_not_pass_it_on_either(line, signature):
    env = start(**AT_MOST_ONCE)
    through_entry(env)
    answer(env, line, signature, 'length')
    assert env.caller.status == 502
    assert b'foreign' not in env.caller.body


@each_status
@each_signature
def test_call_goes_on_elsewhere_after_another_entry_sent_it(line, signature):
    env = start()
    through_entry(env)
    answer(env, line, signature, 'length')
    answer_well(env)
    assert (env.caller.status, env.caller.body) == (200, b'fine')


@each_status
def test_it_is_no_evidence_of_a_crash(line):
    env = start(**AT_MOST_ONCE)
    answer(env, line, 'signed', 'length')
    assert env.suspects == []
    assert env.metrics.failed_attempts == [('malformed', False)]


@each_status
@each_body
def test_calls_to_the_store_and_to_engines_fail_at_once(line, body):
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(response(line, 'unsigned', body))

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        reactor = LoopReactor(asyncio.get_running_loop())
        client = HttpClient(reactor, f'127.0.0.1:{port}')
        outcome = await client.call(HttpCall('GET', '/', timeout_s=5.0))
        server.close()
        return outcome

    outcome = asyncio.run(scenario())
    assert outcome == Failure(TransportFailure.MALFORMED)


@pytest.mark.parametrize('status', [100, 102, 103, 199])
def test_interim_responses_are_skipped(status):
    env = start()
    conn = env.accept_connection()
    conn.send_bytes(f'HTTP/1.1 {status} X\r\n\r\n'.encode())
    head = f'HTTP/1.1 200 OK\r\n{SEAL}Content-Length: 4\r\n\r\nfine'
    conn.send_bytes(head.encode())
    assert (env.caller.status, env.caller.body) == (200, b'fine')


@pytest.mark.parametrize('status', [200, 299, 404, 599])
def test_final_statuses_are_passed_on(status):
    env = start(**AT_MOST_ONCE)
    answer(env, f'HTTP/1.1 {status} X', 'signed', 'length')
    assert (env.caller.status, env.caller.body) == (status, b'foreign')
