"""Relay of one request for each kind of endpoint failure."""

import pytest

from foxtailhatch.fleet import EndpointState
from foxtailhatch.fleet.table import REFUSAL_BACKOFF_S
from foxtailhatch.relay.relay import (
    CAPACITY_RETRY_S,
    MAX_CAPACITY_WAIT_S,
)
from foxtailhatch.relay.retry_budget import RetryBudget
from foxtailhatch.routes import RouteKind
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import REQUEST_ID, start_relay
from tests.routes.configurations import MODEL

AT_MOST_ONCE = {'kind': RouteKind.AT_MOST_ONCE, 'attempts': 1}
# Time limit of the requests of :func:`start_relay`.
DEADLINE_S = 10.0
STREAM = {'kind': RouteKind.STREAM, 'resumable': True, 'layered': True}


def test_complete_response_is_forwarded():
    env = start_relay()
    env.accept_connection().respond(b'hello')
    assert env.caller.status == 200
    assert env.caller.body == b'hello'
    assert env.caller.finished
    assert env.metrics.outcomes == ['answered']


def test_load_is_counted_while_the_request_runs():
    env = start_relay()
    assert env.context.loads.work_at('e1').requests == 1
    env.accept_connection().respond()
    assert env.context.loads.work_at('e1').requests == 0


def test_unreachable_endpoint_is_replaced_even_for_at_most_once():
    env = start_relay(**AT_MOST_ONCE)
    env.refuse_connection()
    endpoint_conn = env.accept_connection()
    assert b'X-To: e2' in endpoint_conn.request
    endpoint_conn.respond()
    assert env.caller.status == 200


def test_connection_closed_before_a_response_is_retried_if_repeatable():
    env = start_relay()
    env.accept_connection().close()
    endpoint_conn = env.accept_connection()
    assert b'X-To: e2' in endpoint_conn.request
    endpoint_conn.respond()
    assert env.caller.finished


def test_connection_closed_before_a_response_gives_502_for_at_most_once():
    env = start_relay(**AT_MOST_ONCE)
    env.accept_connection().close()
    assert env.reactor.tcpClients == []
    assert env.caller.status == 502


def test_not_run_response_gives_503_with_retry_after_for_at_most_once():
    env = start_relay(**AT_MOST_ONCE)
    env.accept_connection().respond(status=503, headers='X-Not-Run: 1\r\n')
    assert env.caller.status == 503
    assert b'retry-after' in env.caller.headers


def test_refused_request_is_retried_at_another_endpoint():
    env = start_relay()
    env.accept_connection().respond(status=503, headers='X-Not-Run: 1\r\n')
    env.accept_connection().respond()
    assert env.caller.status == 200


def test_refusal_after_an_unknown_outcome_is_not_reported_as_not_run():
    env = start_relay()
    env.accept_connection().close()
    env.accept_connection().respond(status=503, headers='X-Not-Run: 1\r\n')
    assert env.caller.status == 502


def test_error_status_is_retried_if_repeatable():
    env = start_relay()
    env.accept_connection().respond(status=500)
    env.accept_connection().respond(b'fine')
    assert env.caller.body == b'fine'


def test_error_status_of_the_last_attempt_is_forwarded_unchanged():
    env = start_relay()
    env.accept_connection().respond(status=500)
    env.accept_connection().respond(b'broken', status=500)
    assert (env.caller.status, env.caller.body) == (500, b'broken')


def test_error_status_is_not_retried_for_at_most_once():
    env = start_relay(**AT_MOST_ONCE)
    env.accept_connection().respond(b'broken', status=500)
    assert env.caller.status == 500


def test_response_with_another_request_id_is_skipped():
    env = start_relay()
    endpoint_conn = env.accept_connection()
    endpoint_conn.respond(b'theirs', request_id='other')
    assert env.caller.status is None
    endpoint_conn.respond(b'ours')
    assert env.caller.body == b'ours'


def test_duplicate_response_is_ignored():
    env = start_relay()
    endpoint_conn = env.accept_connection()
    endpoint_conn.respond(b'ours')
    endpoint_conn.respond(b'again')
    assert env.caller.body == b'ours'


def test_malformed_response_gives_502_for_at_most_once():
    env = start_relay(**AT_MOST_ONCE)
    env.accept_connection().send_bytes(b'\x00\x01nonsense\r\n\r\n')
    assert env.caller.status == 502


def test_body_without_length_is_completed_by_a_clean_close():
    env = start_relay()
    endpoint_conn = env.accept_connection()
    endpoint_conn.send_bytes(b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\n\r\nabc')
    endpoint_conn.close()
    assert env.caller.body == b'abc'
    assert env.caller.finished


def test_body_without_length_is_incomplete_after_a_connection_reset():
    env = start_relay(**AT_MOST_ONCE)
    endpoint_conn = env.accept_connection()
    endpoint_conn.send_bytes(b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\n\r\nabc')
    endpoint_conn.close(clean=False)
    assert env.caller.status == 502


def test_truncated_body_is_retried_if_repeatable():
    env = start_relay()
    endpoint_conn = env.accept_connection()
    endpoint_conn.send_bytes(
        b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\nContent-Length: 9\r\n\r\nabc',
    )
    endpoint_conn.close()
    env.accept_connection().respond(b'whole')
    assert env.caller.body == b'whole'


def test_caller_disconnect_cancels_the_attempt():
    env = start_relay()
    endpoint_conn = env.accept_connection()
    env.relay.caller_disconnected()
    assert endpoint_conn.is_aborted
    assert env.context.running == set()
    assert env.context.loads.work_at('e1').requests == 0


def test_timeout_after_a_send_gives_504():
    env = start_relay(timeout_s=2.0)
    env.accept_connection()
    env.reactor.advance(2.1)
    assert env.caller.status == 504


def test_no_endpoint_gives_503_with_retry_after():
    env = start_relay(names=())
    assert env.caller.status == 503
    assert b'retry-after' in env.caller.headers


def test_no_retry_without_retry_budget():
    env = start_relay(slack=0.0)
    env.accept_connection().close()
    assert env.caller.status == 502
    assert env.reactor.tcpClients == []


def test_events_are_forwarded_as_they_arrive():
    env = start_relay(**STREAM)
    endpoint_conn = env.accept_connection()
    endpoint_conn.start_stream()
    assert env.caller.status is None
    endpoint_conn.send_event(1)
    assert env.caller.body == b'id: 1\ndata: t1\n\n'
    endpoint_conn.send_event(2)
    endpoint_conn.end_stream()
    assert env.caller.finished


def test_partial_event_is_not_forwarded():
    env = start_relay(**STREAM)
    endpoint_conn = env.accept_connection()
    endpoint_conn.start_stream()
    endpoint_conn.send_event(1)
    endpoint_conn.send_chunk(b'id: 2\nda')
    assert env.caller.body == b'id: 1\ndata: t1\n\n'


def test_broken_stream_resumes_after_its_last_event():
    env = start_relay(**STREAM)
    endpoint_conn = env.accept_connection()
    endpoint_conn.start_stream()
    endpoint_conn.send_event(1)
    endpoint_conn.send_chunk(b'id: 2\nda')
    endpoint_conn.close()
    other = env.accept_connection()
    assert b'X-After: 1' in other.request
    other.start_stream()
    other.send_event(2)
    other.end_stream()
    assert env.caller.body == b'id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n'
    assert env.caller.finished


def test_duplicate_event_is_dropped():
    env = start_relay(**STREAM)
    endpoint_conn = env.accept_connection()
    endpoint_conn.start_stream()
    endpoint_conn.send_event(1)
    endpoint_conn.send_event(1)
    endpoint_conn.send_event(2)
    endpoint_conn.end_stream()
    assert env.caller.body.count(b'id: 1') == 1


def test_gap_in_event_numbers_cancels_the_attempt():
    env = start_relay(**STREAM)
    endpoint_conn = env.accept_connection()
    endpoint_conn.start_stream()
    endpoint_conn.send_event(1)
    endpoint_conn.send_event(3)
    assert endpoint_conn.is_aborted
    assert b'id: 3' not in env.caller.body


def test_event_before_a_gap_is_forwarded():
    env = start_relay(**STREAM)
    endpoint_conn = env.accept_connection()
    endpoint_conn.start_stream()
    endpoint_conn.send_event(1)
    endpoint_conn.send_chunk(b'id: 2\ndata: t2\n\nid: 4\ndata: t4\n\n')
    assert env.caller.body.endswith(b'id: 2\ndata: t2\n\n')
    assert b'X-After: 2' in env.accept_connection().request


def test_model_request_waits_for_capacity():
    env = start_relay(names=(), service=MODEL, **STREAM)
    assert env.caller.status is None
    env.context.endpoints.put(endpoint('e1', 'model'), 0)
    env.reactor.advance(CAPACITY_RETRY_S)
    assert b'X-To: e1' in env.accept_connection().request


def test_model_request_is_refused_after_the_capacity_wait():
    env = start_relay(names=(), service=MODEL, **STREAM)
    for _ in range(10):
        env.reactor.advance(CAPACITY_RETRY_S)
    assert env.reactor.seconds() > MAX_CAPACITY_WAIT_S
    assert env.caller.status == 503
    assert env.context.running == set()


def test_caller_disconnect_cancels_the_capacity_wait():
    env = start_relay(names=(), service=MODEL, **STREAM)
    env.relay.caller_disconnected()
    env.reactor.advance(1)
    assert env.caller.status is None
    assert not env.reactor.getDelayedCalls()


def test_stream_that_cannot_resume_is_aborted_at_its_deadline():
    """Callers wait as long as they like; broken off earlier, it was lost."""
    env = start_relay(names=('e1',), **STREAM)
    endpoint_conn = env.accept_connection()
    endpoint_conn.start_stream()
    endpoint_conn.send_event(1)
    endpoint_conn.close()
    env.reactor.advance(DEADLINE_S - CAPACITY_RETRY_S)
    assert not env.caller.aborted
    env.reactor.advance(2 * CAPACITY_RETRY_S)
    assert env.caller.aborted
    assert not env.caller.finished


def test_stream_waits_for_an_endpoint_to_resume_on():
    env = start_relay(names=('e1',), **STREAM)
    endpoint_conn = env.accept_connection()
    endpoint_conn.start_stream()
    endpoint_conn.send_event(1)
    env.context.endpoints.mark_dead('e1', 1, 0)
    endpoint_conn.close()
    assert not env.caller.aborted
    env.context.endpoints.put(endpoint('e2'), 0)
    env.reactor.advance(CAPACITY_RETRY_S)
    assert b'X-After: 1' in env.accept_connection().request


def test_stream_that_is_not_resumable_is_not_retried():
    env = start_relay(kind=RouteKind.STREAM, attempts=2)
    endpoint_conn = env.accept_connection()
    endpoint_conn.start_stream()
    endpoint_conn.send_event(1)
    endpoint_conn.close()
    assert env.caller.aborted
    assert env.reactor.tcpClients == []


def test_refusal_backs_off_the_endpoint_that_the_response_names():
    env = start_relay(layered=True)
    address = env.context.endpoints.get('e1').address
    endpoint_conn = env.accept_connection()
    endpoint_conn.respond(
        status=503, headers=f'X-Not-Run: 1\r\nX-At: {address}\r\n'
    )
    assert env.log.of('endpoint_backed_off')[0]['endpoint'] == 'e1'
    assert env.suspects == []


def test_refusal_back_off_is_short():
    env = start_relay(names=('e1',))
    env.accept_connection().respond(status=503, headers='X-Not-Run: 1\r\n')
    endpoints = env.context.endpoints
    assert not endpoints.usable('plain', 0)
    assert endpoints.usable('plain', REFUSAL_BACKOFF_S)


def test_endpoint_that_is_gone_does_not_count_as_an_attempt():
    env = start_relay(names=('e1', 'e2', 'e3'), **STREAM)
    for name in ('e1', 'e2'):
        endpoint_conn = env.accept_connection()
        env.context.endpoints.mark_dead(name, 1, 0)
        endpoint_conn.close()
    assert b'X-To: e3' in env.accept_connection().request


def test_stream_does_not_resume_at_a_third_endpoint_after_two_attempts():
    env = start_relay(names=('e1', 'e2', 'e3'), **STREAM)
    endpoint_conn = env.accept_connection()
    endpoint_conn.start_stream()
    endpoint_conn.send_event(1)
    endpoint_conn.close()
    other = env.accept_connection()
    other.close()
    env.reactor.advance(5)
    assert b'X-To: e3' not in b''.join(
        [env.accept_connection().request] if env.reactor.tcpClients else [],
    )


@pytest.mark.parametrize('failure', ['close', 'nonsense', 'timeout'])
def test_at_most_once_request_is_sent_once_for_each_failure(failure):
    env = start_relay(timeout_s=1.0, **AT_MOST_ONCE)
    endpoint_conn = env.accept_connection()
    if failure == 'close':
        endpoint_conn.close()
    elif failure == 'nonsense':
        endpoint_conn.send_bytes(b'\xff\xff\r\n\r\n')
    env.reactor.advance(1.5)
    assert env.reactor.tcpClients == []
    assert env.caller.status in {502, 504}
    assert env.relay.is_over


def test_each_decision_is_logged_with_the_request_id():
    env = start_relay()
    env.accept_connection().close()
    env.accept_connection().respond()
    events = [event for event, _ in env.log.lines]
    assert events == ['sent', 'suspect', 'attempt_failed', 'sent', 'ended']
    assert all(fields['id'] == 'request-1' for _, fields in env.log.lines)


def test_waiting_request_is_sent_rarely_while_it_is_refused():
    """Each retry after the wait for capacity sends the request only once.

    Otherwise a model at capacity would multiply the sends of every request.
    """
    env = start_relay(names=('e1', 'e2'), service=MODEL, **STREAM)
    for name in ('e1', 'e2'):
        env.context.endpoints.put(endpoint(name, 'model'), 0)
    sends = 0
    while env.caller.status is None and sends < 20:
        while env.reactor.tcpClients:
            endpoint_conn = env.accept_connection()
            sends += 1
            endpoint_conn.respond(status=503, headers='X-Not-Run: 1\r\n')
        env.reactor.advance(CAPACITY_RETRY_S)
    assert env.caller.status == 503
    assert sends <= 4


def test_requests_that_wait_together_stay_within_the_retry_budget():
    """Requests refused at the same time also end their waits together."""
    budget = RetryBudget(0, 8, 10, started_at=-10)
    worlds = [
        start_relay(names=('e1',), service=MODEL, budget=budget, **STREAM)
        for _ in range(30)
    ]
    sends = 0
    for env in worlds:
        env.context.endpoints.put(endpoint('e1', 'model'), 0)
        # No other endpoint exists, so one in back-off is selected again.
        env.context.endpoints.record_refusal = lambda name, now: now
    for _ in range(10):
        for env in worlds:
            while env.reactor.tcpClients:
                sends += 1
                env.accept_connection().respond(
                    status=503,
                    headers='X-Not-Run: 1\r\n',
                )
        for env in worlds:
            env.reactor.advance(CAPACITY_RETRY_S)
    assert sends - len(worlds) <= 8


def test_log_tells_an_engine_lost_before_the_first_event_from_a_later_loss():
    env = start_relay(**STREAM, parts=('5c', '91', 'aa'))
    env.accept_connection().close()
    second = env.accept_connection()
    second.start_stream()
    second.send_event(1)
    second.close()
    assert [line['events'] for line in env.log.of('attempt_failed')] == [0, 1]
    assert env.log.of('sent')[0]['parts'] == ('5c', '91', 'aa')
    assert env.metrics.failed_attempts == [
        ('may_have_run', False),
        ('may_have_run', True),
    ]


# Guards against a second copy of a request after a report that came late.
def test_attempt_that_has_ended_is_not_given_up_again():
    env = start_relay(('e1', 'e2', 'e3'), **STREAM, slack=0.0)
    first = env.accept_connection()
    first.start_stream()
    first.send_event(1)
    first.close()
    env.relay.abandon_attempt('unresponsive chain head')
    assert len(env.log.of('attempt_failed')) == 1


# Guards against streams that are cut at a sound endpoint which was silent for a
# second, while no other endpoint could go on with them.
def test_attempt_is_kept_until_another_endpoint_can_take_its_place():
    env = start_relay(('e1',), **STREAM)
    first = env.accept_connection()
    first.start_stream()
    first.send_event(1)
    assert not env.relay.abandon_attempt('dead chain head')
    assert not first.is_aborted
    first.send_event(2)
    assert b'id: 2' in env.caller.body
    env.context.endpoints.put(endpoint('e2'), 0)
    assert env.relay.abandon_attempt('dead chain head')
    assert first.is_aborted
    assert b'X-After: 2' in env.accept_connection().request


# Guards against an end of a request that may not be repeated, by its endpoint's
# silence alone.
def test_attempt_that_may_not_be_repeated_is_kept():
    env = start_relay(**AT_MOST_ONCE)
    first = env.accept_connection()
    assert not env.relay.abandon_attempt('dead chain head')
    first.respond()
    assert env.caller.status == 200


def test_attempt_is_kept_without_budget_for_another():
    env = start_relay(('e1', 'e2'), **STREAM, slack=0.0)
    first = env.accept_connection()
    first.start_stream()
    first.send_event(1)
    assert not env.relay.abandon_attempt('dead chain head')
    assert not first.is_aborted


UNFRAMED = (
    b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)
EVENT = b'id: 1\ndata: t1\n\n'


# Guards against answers without a length that end with their connection.
def test_stream_that_ends_with_its_connection_is_complete():
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.send_bytes(UNFRAMED + EVENT)
    conn.close()
    assert env.caller.finished
    assert env.caller.body == EVENT


@pytest.mark.parametrize('rest', [b'i', b'id: 2\n', b'id: 2\ndata: t2\n'])
def test_stream_that_ends_inside_an_event_is_resumed(rest):
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.send_bytes(UNFRAMED + EVENT + rest)
    conn.close()
    assert not env.caller.finished
    second = env.accept_connection()
    assert b'X-After: 1' in second.request
    assert env.caller.body == EVENT


def test_stream_that_ends_inside_an_event_and_may_not_resume_is_broken_off():
    env = start_relay(**STREAM | {'resumable': False}, attempts=1)
    conn = env.accept_connection()
    conn.send_bytes(UNFRAMED + EVENT + b'id: 2\n')
    conn.close()
    assert env.caller.aborted


def test_unframed_stream_whose_connection_is_reset_is_resumed():
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.send_bytes(UNFRAMED + EVENT)
    conn.close(clean=False)
    assert not env.caller.finished
    assert b'X-After: 1' in env.accept_connection().request


def test_unframed_stream_that_ends_without_an_event_is_tried_again():
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.send_bytes(UNFRAMED)
    conn.close()
    assert not env.caller.finished
    assert b'X-To: e2' in env.accept_connection().request


@pytest.mark.parametrize('clean', [True, False])
def test_body_without_a_length_is_complete_only_after_a_clean_end(clean):
    env = start_relay(**AT_MOST_ONCE)
    conn = env.accept_connection()
    conn.send_bytes(b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\n\r\nbody')
    conn.close(clean=clean)
    assert env.caller.status == (200 if clean else 502)
    assert env.caller.body == (b'body' if clean else env.caller.body)


def test_log_tells_when_an_endpoint_names_a_limit_and_when_it_ends():
    env = start_relay(**AT_MOST_ONCE)
    env.accept_connection().respond(headers='X-Limit: 2.5\r\n')
    assert env.log.of('limit_named')[0]['per_s'] == 2.5
    head = endpoint('e1')
    assert not env.context.rate_limits.record(head, 2.5, 1)
    assert env.context.rate_limits.record(head, None, 2)


# Guards against an error of the next endpoint in the middle of a stream.
@pytest.mark.parametrize('headers', ['', 'Content-Type: text/event-stream\r\n'])
@pytest.mark.parametrize('status', [400, 500, 502])
def test_error_of_the_next_endpoint_is_no_part_of_a_stream(status, headers):
    env = start_relay(**STREAM)
    first = env.accept_connection()
    first.start_stream()
    first.send_event(1)
    first.close()
    begun = env.caller.body
    env.accept_connection().respond(b'broken', status, headers)
    env.reactor.advance(DEADLINE_S + 0.1)
    assert env.caller.body == begun
    assert not env.caller.finished


# Guards against a success of another kind that ends a stream as complete.
def test_success_without_events_is_no_part_of_a_stream():
    env = start_relay(**STREAM)
    first = env.accept_connection()
    first.start_stream()
    first.send_event(1)
    first.close()
    begun = env.caller.body
    env.accept_connection().respond(b'{}')
    env.reactor.advance(DEADLINE_S + 0.1)
    assert (env.caller.body, env.caller.finished) == (begun, False)


def test_stream_goes_on_at_a_third_endpoint_after_an_error():
    env = start_relay(names=('e1', 'e2', 'e3'), **STREAM)
    first = env.accept_connection()
    first.start_stream()
    first.send_event(1)
    first.close()
    env.accept_connection().respond(b'broken', 500)
    third = env.accept_connection()
    third.start_stream()
    third.send_event(2)
    third.end_stream()
    assert env.caller.finished
    assert b'broken' not in env.caller.body


# Guards against a refusal of an earlier request that is taken for the own one.
@pytest.mark.parametrize('request_id', ['other', 'request-1'])
def test_refusal_that_is_written_again_changes_nothing(request_id):
    """Each attempt has a connection of its own, and ends with it."""
    env = start_relay(**AT_MOST_ONCE)
    connection = env.accept_connection()
    refusal = {'status': 503, 'headers': 'X-Not-Run: 1\r\n'}
    connection.respond(b'own')
    connection.respond(request_id=request_id, **refusal)
    assert (env.caller.status, env.caller.body) == (200, b'own')
    assert env.reactor.tcpClients == []


def test_refusal_of_another_request_before_the_own_response_is_skipped():
    env = start_relay(**AT_MOST_ONCE)
    connection = env.accept_connection()
    connection.respond(
        status=503, headers='X-Not-Run: 1\r\n', request_id='other'
    )
    assert env.caller.status is None
    connection.respond(b'own')
    assert env.caller.body == b'own'


def fill_memory(env):
    """Let other requests hold all of the memory for bodies."""

    env.context.bodies.held_bytes = 10**12


def test_event_without_end_is_not_held_beyond_the_memory_for_bodies():
    env = start_relay(resumable=True)
    first = env.accept_connection()
    first.start_stream()
    first.send_event(1)
    fill_memory(env)
    first.send_chunk(b'id: 2\ndata: and so on')
    assert first.is_aborted
    assert env.log.of('attempt_failed')[-1]['cause'] == 'event too long'


def test_body_is_forwarded_at_once_if_there_is_no_memory_to_hold_it():
    env = start_relay()
    endpoint = env.accept_connection()
    fill_memory(env)
    endpoint.send_bytes(
        f'HTTP/1.1 200 X\r\nX-Id: {REQUEST_ID}\r\n'
        'Content-Length: 6\r\n\r\nabc'.encode()
    )
    assert env.caller.body == b'abc'
    endpoint.send_bytes(b'def')
    assert env.caller.body == b'abcdef'
    assert env.caller.finished


def test_memory_for_bodies_is_free_after_the_answer():
    env = start_relay()
    endpoint = env.accept_connection()
    endpoint.respond(body=b'x' * 1000)
    assert env.caller.finished
    assert env.context.bodies.held_bytes == 0
    assert env.relay.admitted.req.body == b''


# Guards against streams that are broken off after a constant pause, although their
# callers still wait for them.
def test_stream_resumes_after_a_pause_of_seconds():
    env = start_relay(names=('e1',), **STREAM)
    first = env.accept_connection()
    first.start_stream()
    first.send_event(1)
    env.reactor.advance(3.0)
    env.context.endpoints.mark_dead('e1', 1, 0)
    first.close()
    env.reactor.advance(3.0)
    assert not env.caller.aborted
    env.context.endpoints.put(endpoint('e2'), 0)
    env.reactor.advance(CAPACITY_RETRY_S)
    assert b'X-After: 1' in env.accept_connection().request


HEAD = f'HTTP/1.1 200 OK\r\nX-Id: {REQUEST_ID}\r\nX-Seal: 3e1b\r\n'.encode()
RESPONSES = {
    'length': HEAD + b'Content-Length: 5\r\n\r\nhello',
    'chunks': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
    'connection': HEAD + b'\r\nhello',
    'stream': HEAD
    + b'Content-Type: text/event-stream\r\n\r\nid: 1\ndata: t\n\n',
}


# Guards against a 200 with an empty or short body for an answer of which the
# endpoint has sent a part of the head only.
@pytest.mark.parametrize('clean', [True, False])
@pytest.mark.parametrize('kind', RESPONSES)
def test_answer_that_ends_in_its_head_is_no_success(kind, clean):
    raw = RESPONSES[kind]
    for cut in range(raw.index(b'\r\n\r\n') + 4):
        env = start_relay(
            names=('e1',), kind=RouteKind.AT_MOST_ONCE, attempts=1
        )
        endpoint = env.accept_connection()
        if cut:
            endpoint.send_bytes(raw[:cut])
        endpoint.close(clean=clean)
        assert env.caller.status == 502, cut


@pytest.mark.parametrize('kind', ['length', 'chunks'])
def test_answer_that_ends_in_its_body_is_no_success(kind):
    raw = RESPONSES[kind]
    for cut in range(raw.index(b'\r\n\r\n') + 4, len(raw)):
        env = start_relay(
            names=('e1',), kind=RouteKind.AT_MOST_ONCE, attempts=1
        )
        endpoint = env.accept_connection()
        endpoint.send_bytes(raw[:cut])
        endpoint.close()
        assert env.caller.status == 502, cut


# Guards against more attempts than the route allows, as an endpoint that drains
# after it has run the request did not count.
def test_attempt_at_an_endpoint_that_drains_counts():
    env = start_relay(('e1', 'e2'), attempts=1)
    draining = endpoint('e1', state=EndpointState.DRAINING)
    env.context.endpoints.put(draining, 0)
    env.accept_connection().respond(b'broken', 500)
    assert env.caller.status == 500
    assert not env.reactor.tcpClients
