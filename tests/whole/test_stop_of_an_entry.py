"""What callers get while the entry that serves them makes a planned stop."""

import json
import signal
import socket
import time

import pytest

from demo.launcher import new_launcher
from demo.system import (
    LAYERS,
    MODEL,
    TOKEN,
    call,
    configuration,
    environment,
    start_platform,
)
from foxtailhatch.membership.planned_stop import ADVICE_MARGIN_S
from tests.whole.helpers import eventually, expected_text

WAIT_S = 30
ECHO = '/v1/services/store-desk/echo'
ANSWER_BYTES = 12_000_000
SMALL_BUFFER_BYTES = 4096
# The engine makes a token in no less than this time, whatever the machine.
STEP_S = 0.02
ADVICE_KEEP_S = 0.1
# A stopping entry serves until callers have forgotten its address.
SERVES_ON_S = ADVICE_KEEP_S + ADVICE_MARGIN_S
# Tokens of an answer that lasts longer than a stopping entry serves.
LASTING_TOKENS = round(1.2 * SERVES_ON_S / STEP_S)


@pytest.fixture(scope='module')
def system():
    with new_launcher(environment()) as launcher:
        running = start_platform(launcher)
        running.start_service('desk-1', 'thrissur-a')
        running.start_engine(
            'slow', 'thrissur-a', (0, LAYERS), '--base-s', str(STEP_S)
        )
        running.start_entry('publisher', 'thrissur-a')
        running.publish(configuration(), 0, 'publisher')
        running.wait_until_ready('publisher')
        yield running


def start_entry(system, name, **timeouts):
    entry = system.start_entry(
        name,
        'thrissur-a',
        periods={'entry_advice_keep_s': ADVICE_KEEP_S},
        limits={'body_bytes': 2 * ANSWER_BYTES},
        timeouts={'request_body_s': WAIT_S, **timeouts},
    )
    system.wait_until_ready(name)
    eventually(lambda: echo_status(entry) == 200)
    return entry


def echo_status(entry):
    try:
        return call(entry.address, 'POST', ECHO, {}, TOKEN).status
    except OSError:
        return None


def connect(entry, receive_buffer=None):
    conn = socket.socket()
    if receive_buffer is not None:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    host, _, port = entry.address.partition(':')
    conn.settimeout(WAIT_S)
    conn.connect((host, int(port)))
    return conn


def head(path, length):
    return (
        f'POST {path} HTTP/1.1\r\nHost: entry\r\n'
        f'Authorization: Bearer {TOKEN}\r\n'
        f'Content-Length: {length}\r\n\r\n'
    ).encode()


def read_reply(reader):
    """Return the status, headers and body of the next complete reply."""
    status = int(reader.readline().split()[1])
    headers = {}
    while (line := reader.readline()) not in {b'\r\n', b''}:
        name, _, text = line.decode().strip().partition(': ')
        headers[name.lower()] = text
    if headers.get('transfer-encoding') == 'chunked':
        return status, headers, read_chunks(reader)
    length = int(headers['content-length'])
    body = reader.read(length)
    assert len(body) == length
    return status, headers, body


def read_chunks(reader):
    body = b''
    while size := int(reader.readline(), 16):
        body += reader.read(size)
        reader.readline()
    reader.readline()
    return body


def stop(entry):
    entry.process.send_signal(signal.SIGTERM)


def wait_until_refusing(entry):
    """Wait until the entry refuses new requests, or is gone."""
    eventually(lambda: echo_status(entry) in {503, None})


def logged(entry, event):
    lines = [json.loads(line) for line in entry.log_text().splitlines()]
    return [line for line in lines if line.get('event') == event]


# An answer that the transport still held was dropped at the exit.
def test_answer_that_is_read_slowly_arrives_whole(system):
    entry = start_entry(system, 'slow-reader')
    with connect(entry, SMALL_BUFFER_BYTES) as conn:
        conn.sendall(head(ECHO, ANSWER_BYTES) + b'x' * ANSWER_BYTES)
        reader = conn.makefile('rb')
        first = reader.peek(1)[:1]
        stop(entry)
        wait_until_refusing(entry)
        status, _, body = read_reply(reader)
    assert first == b'H'
    assert (status, json.loads(body)['body']) == (200, 'x' * ANSWER_BYTES)
    assert entry.wait(WAIT_S) == 0
    assert not logged(entry, 'request_cut')


# A request whose body was still arriving ended with a reset connection.
def test_body_under_way_is_waited_for_and_answered(system):
    entry = start_entry(system, 'late-body')
    with connect(entry) as conn:
        conn.sendall(head(ECHO, 1000) + b'x' * 500)
        stop(entry)
        wait_until_refusing(entry)
        # The entry must not end between these looks at it.
        for _ in range(20):
            assert echo_status(entry) == 503
            time.sleep(0.05)
        conn.sendall(b'x' * 500)
        status, headers, body = read_reply(conn.makefile('rb'))
    error = json.loads(body)['error']
    assert (status, headers['connection']) == (503, 'close')
    assert (error['code'], error['run']) == ('shutting_down', 'not_run')
    assert entry.wait(WAIT_S) == 0


# A body that never became whole got no answer before the exit.
def test_body_that_stays_incomplete_is_refused_before_the_exit(system):
    entry = start_entry(system, 'no-body', planned_stop_s=4)
    with connect(entry) as conn:
        conn.sendall(head(ECHO, 1000) + b'x' * 500)
        stop(entry)
        status, headers, body = read_reply(conn.makefile('rb'))
    error = json.loads(body)['error']
    assert (status, headers['connection']) == (503, 'close')
    assert (error['code'], error['run']) == ('shutting_down', 'not_run')
    assert entry.wait(WAIT_S) == 0
    assert not logged(entry, 'request_cut')


# A second request that was read behind one in progress needs an answer too.
def test_request_behind_one_in_progress_is_answered(system):
    entry = start_entry(system, 'pipeline')
    # The model ends the answer by itself after some more tokens.
    assert len(expected_text('a', LASTING_TOKENS)) == LASTING_TOKENS
    document = {'model': MODEL, 'prompt': 'a', 'max_tokens': LASTING_TOKENS}
    body = json.dumps({**document, 'stream': True}).encode()
    with connect(entry) as conn:
        first = head('/v1/completions', len(body)) + body
        conn.sendall(first + head(ECHO, 1) + b'x')
        reader = conn.makefile('rb')
        reader.peek(1)
        stop(entry)
        status, _, answer = read_reply(reader)
        assert (status, answer[-14:]) == (200, b'data: [DONE]\n\n')
        status, headers, refusal = read_reply(reader)
    assert (status, headers['connection']) == (503, 'close')
    assert json.loads(refusal)['error']['run'] == 'not_run'
    assert entry.wait(WAIT_S) == 0


# Answers that the operator's limit cut left no line in the log.
def test_answer_that_the_limit_cuts_is_logged_with_its_id(system):
    entry = start_entry(system, 'limited', planned_stop_s=3)
    body = json.dumps(
        {'model': MODEL, 'prompt': 'a', 'max_tokens': 9000, 'stream': True}
    ).encode()
    with connect(entry) as conn:
        conn.sendall(head('/v1/completions', len(body)) + body)
        reader = conn.makefile('rb')
        reader.peek(1)
        stop(entry)
        answer = reader.read()
    assert b'[DONE]' not in answer
    request_id = answer.lower().partition(b'x-request-id: ')[2][:32].decode()
    assert entry.wait(WAIT_S) == 0
    cut = logged(entry, 'request_cut')
    assert [line['subject'] for line in cut] == [request_id]
    assert 'in progress' in cut[0]['detail']
