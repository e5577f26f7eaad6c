"""Bytes in a stream that are not its next event."""

from dataclasses import replace

import pytest

from foxtailhatch.relay.relay import MIN_EVENT_LIMIT, REFUSED_RETRY_S
from foxtailhatch.relay.request import ResponseKind
from foxtailhatch.routes import RouteKind
from tests.relay.fakes import start_relay

STREAM = {'kind': RouteKind.STREAM, 'resumable': True, 'layered': True}
# What an endpoint sends after its third event.
NO_EVENTS = {
    'other bytes': b'\x00\xfe\xffxx\n\n',
    'empty number': b'id:\ndata: t4\n\n',
    'no number': b'data: t4\n\n',
    'other number': b'id: 4x\ndata: t4\n\n',
    'number in another spelling': b'id: 04\ndata: t4\n\n',
    'two numbers': b'id: 4\nid: 9\ndata: t4\n\n',
    'number of 4,000 digits': b'id: ' + b'4' * 4000 + b'\ndata: t4\n\n',
    'number of 5,000 digits': b'id: ' + b'4' * 5000 + b'\ndata: t4\n\n',
    'second head': b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\n\r\n',
    'return between line feeds': b'id: 4\ndata: t4\n\r\nid: 9\ndata: t9\n\n',
    'two returns': b'id: 4\ndata: t4\r\rid: 9\ndata: t9\n\n',
    'return inside a line': b'id: 4\ndata: t4\rid: 9\n\n',
    'no data': b'id: 4\n\n',
    'comment': b': id 4\n\n',
    'own field in the second line': b'id: 4\nx-versions: 2\ndata: t4\n\n',
    'event that was sent before': b'id: 2\ndata: t2\n\n',
    'empty lines': b'\n\n',
}


def event(number):
    return b'id: %d\ndata: t%d\n\n' % (number, number)


def events(last):
    return b''.join(map(event, range(1, last + 1)))


def stream_with(raw, **options):
    """Return a relay whose first endpoint sends ``raw`` after three events."""
    env = start_relay(**STREAM | options)
    conn = env.accept_connection()
    conn.start_stream()
    for number in range(1, 4):
        conn.send_event(number)
    conn.send_chunk(raw)
    return env, conn


@pytest.mark.parametrize('kind', NO_EVENTS)
def test_log_tells_a_stream_with_other_bytes_from_a_sound_one(kind):
    env, _ = stream_with(NO_EVENTS[kind])
    (line,) = env.log.of('event_malformed')
    assert line['endpoints'] == ['e1']
    assert line['why']
    first = repr(NO_EVENTS[kind][:4])[2:-1]
    assert line['sample'].startswith((f"b'{first}", f'b"{first}'))
    assert len(line['sample']) <= 300


def test_log_of_a_sound_stream_names_no_malformed_event():
    env, conn = stream_with(event(4))
    conn.send_chunk(b'x-versions: 2\nid: 5\ndata: t5\n\n')
    conn.end_stream()
    assert env.caller.finished
    assert not env.log.of('event_malformed')
    assert env.log.of('ended')[0]['malformed'] == 0


# Guards against pieces in a stream that no run has made.
@pytest.mark.parametrize('kind', NO_EVENTS)
def test_bytes_that_are_not_the_next_event_do_not_reach_the_caller(kind):
    env, conn = stream_with(NO_EVENTS[kind])
    after = env.caller.body.removeprefix(events(3))
    assert after in {b'', event(4)}
    assert conn.is_aborted
    second = env.accept_connection()
    last = 4 if after else 3
    assert b'X-After: %d' % last in second.request
    second.start_stream()
    second.send_event(last + 1)
    second.end_stream()
    assert env.caller.body == events(last + 1)
    assert env.caller.finished


# Guards against a stream that looks complete although its endpoint sent bytes of
# another origin.
@pytest.mark.parametrize('kind', NO_EVENTS)
def test_stream_that_may_not_resume_is_broken_off_at_other_bytes(kind):
    env, conn = stream_with(NO_EVENTS[kind], resumable=False, attempts=1)
    assert conn.is_aborted
    assert env.caller.aborted
    assert env.caller.body in {events(3), events(4)}


# Guards against a stream that begins in the middle of another one.
@pytest.mark.parametrize('number', [0, 2, 7])
def test_stream_begins_with_its_first_event(number):
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.start_stream()
    conn.send_event(number)
    assert env.caller.status is None
    assert conn.is_aborted
    second = env.accept_connection()
    assert b'X-After' not in second.request
    second.start_stream()
    second.send_event(1)
    assert env.caller.body == events(1)


# Guards against a second answer behind one that ends with its connection.
def test_second_stream_behind_one_without_length_is_no_part_of_it():
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    head = (
        b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\n'
        b'Content-Type: text/event-stream\r\n\r\n'
    )
    conn.send_bytes(head + events(2))
    conn.send_bytes(head + events(3))
    conn.close()
    assert env.caller.body == events(2)
    assert not env.caller.finished


# Guards against a crash verdict on a request whose endpoint sends other bytes.
@pytest.mark.parametrize('kind', NO_EVENTS)
def test_other_bytes_are_no_evidence_against_the_request(kind):
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.start_stream()
    conn.send_chunk(NO_EVENTS[kind])
    assert env.context.prompts.lost == []
    assert env.context.prompts.lost_requests == []


# Guards against a success that brings other content than the route's events.
@pytest.mark.parametrize('framing', ['Content-Length: 5', 'X-None: 1'])
def test_success_without_events_does_not_answer_a_stream_request(framing):
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.send_bytes(
        f'HTTP/1.1 200 OK\r\nX-Id: request-1\r\n{framing}\r\n\r\nhello'.encode()
    )
    conn.close()
    assert env.caller.body == b''
    assert env.caller.status is None


def answer_with_other_bytes(env):
    conn = env.accept_connection()
    conn.start_stream()
    conn.send_chunk(b'data: x\n\n')


# Guards against an endpoint that only sends other bytes and is chosen again.
def test_endpoint_backs_off_after_two_malformed_answers_in_a_row():
    env = start_relay(**STREAM)
    answer_with_other_bytes(env)
    table = env.context.endpoints
    first = table.get('e1')
    assert not table.is_backed_off(first, 0)
    table.record_malformed('e1', 0)
    assert table.is_backed_off(first, 0)
    table.clear_failures('e1')
    assert table.record_malformed('e1', 0) is None


def test_malformed_answer_is_no_evidence_of_a_crash():
    env = start_relay(**STREAM)
    answer_with_other_bytes(env)
    assert env.suspects == []
    assert env.log.of('attempt_failed')[0]['how'] == 'malformed'


# Guards against a stream of sound events without end.
def test_stream_far_beyond_the_tokens_of_its_request_is_ended():
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.start_stream()
    for number in range(1, MIN_EVENT_LIMIT + 2):
        conn.send_event(number)
    assert conn.is_aborted
    assert env.caller.body == events(MIN_EVENT_LIMIT)
    assert env.log.of('event_malformed')[0]['why'] == 'too many events'
    assert env.caller.aborted
    assert env.reactor.tcpClients == []


# Guards against an entry that is avoided for what an endpoint behind it has sent.
def test_entry_in_between_is_not_blamed_for_other_bytes():
    env = start_relay(**STREAM)
    attempt = env.relay.attempt
    attempt.chosen = (replace(attempt.chosen[0], is_entry=True),)
    answer_with_other_bytes(env)
    assert env.caller.status is None
    assert env.log.of('event_malformed')
    assert env.context.endpoints.record_malformed('e1', 0) is None


# Guards against a stream that spends the retry budget of all others at endpoints
# that only send other bytes.
def test_stream_waits_before_it_is_resumed_once_more_in_vain():
    env = start_relay(names=('e1', 'e2', 'e3', 'e4'), attempts=4, **STREAM)
    conn = env.accept_connection()
    conn.start_stream()
    conn.send_event(1)
    conn.send_chunk(b'x\n\n')
    for _ in range(2):
        answer_with_other_bytes(env)
    assert env.reactor.tcpClients == []
    env.reactor.advance(REFUSED_RETRY_S - 0.01)
    assert env.reactor.tcpClients == []
    env.reactor.advance(0.02)
    resumed = env.accept_connection()
    assert b'X-After: 1' in resumed.request
    resumed.start_stream()
    resumed.send_event(2)
    resumed.end_stream()
    assert env.caller.body == events(2)
    assert env.caller.finished


# Guards against the same with one sound event in each attempt.
def test_attempts_with_a_single_event_do_not_follow_at_once():
    names = tuple(f'e{number}' for number in range(1, 9))
    env = start_relay(names=names, attempts=8, **STREAM)
    for number in range(1, 4):
        conn = env.accept_connection()
        conn.start_stream()
        conn.send_event(number)
        conn.send_chunk(b'x\n\n')
    assert env.reactor.tcpClients == []
    env.reactor.advance(REFUSED_RETRY_S + 0.01)
    assert b'X-After: 3' in env.accept_connection().request


# Guards against a stream that looks complete without any event.
@pytest.mark.parametrize(
    'raw',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n',
        b'HTTP/1.1 204 No Content\r\n',
    ],
)
@pytest.mark.parametrize('has_begun', [False, True])
def test_answer_without_events_completes_no_new_stream(raw, has_begun):
    env = start_relay(**STREAM, attempts=1)
    conn = env.accept_connection()
    if has_begun and b'204' in raw:
        conn.start_stream()
        conn.send_event(1)
        conn.send_chunk(b'x\n\n')
        conn = env.accept_connection()
    head = b'X-Id: request-1\r\nContent-Type: text/event-stream\r\n\r\n'
    conn.send_bytes(raw + head)
    assert not env.caller.finished or env.caller.status == 502


# Guards against a failure of another origin behind another entry.
def test_doubtful_failure_of_an_entry_is_not_passed_on():
    env = start_relay(kind=RouteKind.AT_MOST_ONCE, attempts=1)
    attempt = env.relay.attempt
    attempt.chosen = (replace(attempt.chosen[0], is_entry=True),)
    env.context.codec.decode_forwarded_head = lambda head, req: replace(
        env.context.codec.decode_head(head, req), kind=ResponseKind.AMBIGUOUS
    )
    env.accept_connection().respond(b'garbage', status=404)
    assert env.caller.status == 502
    assert b'garbage' not in env.caller.body


# Guards against a stream that is broken off as it resumes through an entry that fails.
def test_stream_goes_on_after_a_failure_of_an_entry():
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.start_stream()
    conn.send_event(1)
    conn.close()
    attempt = env.relay.attempt
    attempt.chosen = (replace(attempt.chosen[0], is_entry=True),)
    env.context.codec.decode_forwarded_head = lambda head, req: replace(
        env.context.codec.decode_head(head, req), kind=ResponseKind.AMBIGUOUS
    )
    env.accept_connection().respond(b'', status=502)
    assert not env.caller.aborted
    env.reactor.advance(REFUSED_RETRY_S + 0.01)
    assert b'X-After: 1' in env.accept_connection().request
