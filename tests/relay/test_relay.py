"""One request under each failure of its endpoints."""

import pytest

from foxtailhatch.fleet.table import REFUSAL_BACKOFF_S
from foxtailhatch.relay.relay import (
    HOLD_MAX_S,
    HOLD_STEP_S,
    RESUME_WITHIN_S,
)
from foxtailhatch.relay.retry_budget import RetryBudget
from foxtailhatch.routes import RouteKind
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import bench
from tests.routes.configurations import MODEL

AT_MOST_ONCE = {'kind': RouteKind.AT_MOST_ONCE, 'attempts': 1}
STREAM = {'kind': RouteKind.STREAM, 'resumable': True, 'layered': True}


def test_whole_answer_is_passed_on():
    world = bench()
    world.connect().answer(b'hello')
    assert world.caller.status == 200
    assert world.caller.body == b'hello'
    assert world.caller.finished
    assert world.metrics.outcomes == ['answered']


def test_load_is_counted_while_the_request_runs():
    world = bench()
    assert world.parts.loads.work_at('e1').requests == 1
    world.connect().answer()
    assert world.parts.loads.work_at('e1').requests == 0


def test_unreachable_endpoint_is_replaced_even_for_at_most_once():
    world = bench(**AT_MOST_ONCE)
    world.refuse()
    side = world.connect()
    assert b'X-To: e2' in side.request
    side.answer()
    assert world.caller.status == 200


def test_cut_before_an_answer_is_tried_elsewhere_if_repeatable():
    world = bench()
    world.connect().close()
    side = world.connect()
    assert b'X-To: e2' in side.request
    side.answer()
    assert world.caller.finished


def test_cut_before_an_answer_is_unknown_for_at_most_once():
    world = bench(**AT_MOST_ONCE)
    world.connect().close()
    assert world.reactor.tcpClients == []
    assert world.caller.status == 502


def test_refusal_is_passed_on_as_a_promise_for_at_most_once():
    world = bench(**AT_MOST_ONCE)
    world.connect().answer(status=503, headers='X-Not-Run: 1\r\n')
    assert world.caller.status == 503
    assert b'retry-after' in world.caller.headers


def test_refusal_goes_to_another_endpoint_if_attempts_are_left():
    world = bench()
    world.connect().answer(status=503, headers='X-Not-Run: 1\r\n')
    world.connect().answer()
    assert world.caller.status == 200


def test_two_unknown_outcomes_are_no_promise():
    world = bench()
    world.connect().close()
    world.connect().answer(status=503, headers='X-Not-Run: 1\r\n')
    assert world.caller.status == 502


def test_failure_of_an_endpoint_is_repeated_where_allowed():
    world = bench()
    world.connect().answer(status=500)
    world.connect().answer(b'fine')
    assert world.caller.body == b'fine'


def test_failure_of_the_last_endpoint_is_passed_on_as_it_is():
    world = bench()
    world.connect().answer(status=500)
    world.connect().answer(b'broken', status=500)
    assert (world.caller.status, world.caller.body) == (500, b'broken')


def test_failure_is_not_repeated_for_at_most_once():
    world = bench(**AT_MOST_ONCE)
    world.connect().answer(b'broken', status=500)
    assert world.caller.status == 500


def test_late_answer_to_another_request_is_skipped():
    world = bench()
    side = world.connect()
    side.answer(b'theirs', request_id='other')
    assert world.caller.status is None
    side.answer(b'ours')
    assert world.caller.body == b'ours'


def test_surplus_answer_reaches_nobody():
    world = bench()
    side = world.connect()
    side.answer(b'ours')
    side.answer(b'again')
    assert world.caller.body == b'ours'


def test_bytes_that_are_no_answer_are_an_unknown_outcome():
    world = bench(**AT_MOST_ONCE)
    world.connect().say(b'\x00\x01nonsense\r\n\r\n')
    assert world.caller.status == 502


def test_body_without_length_ends_with_a_clean_close():
    world = bench()
    side = world.connect()
    side.say(b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\n\r\nabc')
    side.close()
    assert world.caller.body == b'abc'
    assert world.caller.finished


def test_body_without_length_that_is_reset_is_not_complete():
    world = bench(**AT_MOST_ONCE)
    side = world.connect()
    side.say(b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\n\r\nabc')
    side.close(clean=False)
    assert world.caller.status == 502


def test_cut_body_is_replaced_if_repeatable():
    world = bench()
    side = world.connect()
    side.say(
        b'HTTP/1.1 200 OK\r\nX-Id: request-1\r\nContent-Length: 9\r\n\r\nabc',
    )
    side.close()
    world.connect().answer(b'whole')
    assert world.caller.body == b'whole'


def test_caller_that_leaves_stops_the_work():
    world = bench()
    side = world.connect()
    world.relay.caller_disconnected()
    assert side.is_aborted
    assert world.parts.running == set()
    assert world.parts.loads.work_at('e1').requests == 0


def test_timeout_after_a_send_is_no_promise():
    world = bench(timeout_s=2.0)
    world.connect()
    world.reactor.advance(2.1)
    assert world.caller.status == 504


def test_no_endpoint_is_refused_at_once_and_may_come_back():
    world = bench(names=())
    assert world.caller.status == 503
    assert b'retry-after' in world.caller.headers


def test_no_retry_without_budget():
    world = bench(slack=0.0)
    world.connect().close()
    assert world.caller.status == 502
    assert world.reactor.tcpClients == []


def test_events_are_passed_on_as_they_come():
    world = bench(**STREAM)
    side = world.connect()
    side.stream()
    assert world.caller.status is None
    side.event(1)
    assert world.caller.body == b'id: 1\ndata: t1\n\n'
    side.event(2)
    side.end()
    assert world.caller.finished


def test_half_an_event_is_held_back():
    world = bench(**STREAM)
    side = world.connect()
    side.stream()
    side.event(1)
    side.chunk(b'id: 2\nda')
    assert world.caller.body == b'id: 1\ndata: t1\n\n'


def test_broken_stream_goes_on_after_its_last_event():
    world = bench(**STREAM)
    side = world.connect()
    side.stream()
    side.event(1)
    side.chunk(b'id: 2\nda')
    side.close()
    other = world.connect()
    assert b'X-After: 1' in other.request
    other.stream()
    other.event(2)
    other.end()
    assert world.caller.body == b'id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n'
    assert world.caller.finished


def test_event_that_comes_twice_is_dropped():
    world = bench(**STREAM)
    side = world.connect()
    side.stream()
    side.event(1)
    side.event(1)
    side.event(2)
    side.end()
    assert world.caller.body.count(b'id: 1') == 1


def test_missing_event_ends_the_attempt():
    world = bench(**STREAM)
    side = world.connect()
    side.stream()
    side.event(1)
    side.event(3)
    assert side.is_aborted
    assert b'id: 3' not in world.caller.body


def test_event_before_a_missing_one_reaches_the_caller():
    world = bench(**STREAM)
    side = world.connect()
    side.stream()
    side.event(1)
    side.chunk(b'id: 2\ndata: t2\n\nid: 4\ndata: t4\n\n')
    assert world.caller.body.endswith(b'id: 2\ndata: t2\n\n')
    assert b'X-After: 2' in world.connect().request


def test_model_request_waits_a_moment_for_room():
    world = bench(names=(), service=MODEL, **STREAM)
    assert world.caller.status is None
    world.parts.endpoints.put(endpoint('e1', 'model'), 0)
    world.reactor.advance(HOLD_STEP_S)
    assert b'X-To: e1' in world.connect().request


def test_model_request_that_finds_no_room_is_refused_soon():
    world = bench(names=(), service=MODEL, **STREAM)
    for _ in range(10):
        world.reactor.advance(HOLD_STEP_S)
    assert world.reactor.seconds() > HOLD_MAX_S
    assert world.caller.status == 503
    assert world.parts.running == set()


def test_caller_that_leaves_while_it_waits_is_forgotten():
    world = bench(names=(), service=MODEL, **STREAM)
    world.relay.caller_disconnected()
    world.reactor.advance(1)
    assert world.caller.status is None
    assert not world.reactor.getDelayedCalls()


def test_stream_that_cannot_go_on_is_seen_as_incomplete():
    world = bench(names=('e1',), **STREAM)
    side = world.connect()
    side.stream()
    side.event(1)
    side.close()
    world.reactor.advance(RESUME_WITHIN_S + 2 * HOLD_STEP_S)
    world.reactor.advance(2 * HOLD_STEP_S)
    assert world.caller.aborted
    assert not world.caller.finished


def test_stream_waits_for_a_way_to_go_on():
    world = bench(names=('e1',), **STREAM)
    side = world.connect()
    side.stream()
    side.event(1)
    world.parts.endpoints.mark_dead('e1', 1, 0)
    side.close()
    assert not world.caller.aborted
    world.parts.endpoints.put(endpoint('e2'), 0)
    world.reactor.advance(HOLD_STEP_S)
    assert b'X-After: 1' in world.connect().request


def test_stream_that_may_not_resume_is_not_run_again():
    world = bench(kind=RouteKind.STREAM, attempts=2)
    side = world.connect()
    side.stream()
    side.event(1)
    side.close()
    assert world.caller.aborted
    assert world.reactor.tcpClients == []


def test_chain_part_at_fault_is_blamed_not_the_receiver():
    world = bench(layered=True)
    address = world.parts.endpoints.get('e1').address
    side = world.connect()
    side.answer(status=503, headers=f'X-Not-Run: 1\r\nX-At: {address}\r\n')
    assert world.log.of('resting')[0]['endpoint'] == 'e1'
    assert world.suspects == []


def test_endpoint_that_refused_rests_only_shortly():
    world = bench(names=('e1',))
    world.connect().answer(status=503, headers='X-Not-Run: 1\r\n')
    endpoints = world.parts.endpoints
    assert not endpoints.usable('plain', 0)
    assert endpoints.usable('plain', REFUSAL_BACKOFF_S)


def test_receiver_that_ended_does_not_use_up_an_attempt():
    world = bench(names=('e1', 'e2', 'e3'), **STREAM)
    for name in ('e1', 'e2'):
        side = world.connect()
        world.parts.endpoints.mark_dead(name, 1, 0)
        side.close()
    assert b'X-To: e3' in world.connect().request


def test_stream_goes_on_at_its_receiver_when_attempts_are_used_up():
    world = bench(names=('e1', 'e2', 'e3'), **STREAM)
    side = world.connect()
    side.stream()
    side.event(1)
    side.close()
    other = world.connect()
    other.close()
    world.reactor.advance(5)
    assert b'X-To: e3' not in b''.join(
        [world.connect().request] if world.reactor.tcpClients else [],
    )


@pytest.mark.parametrize('failure', ['close', 'nonsense', 'timeout'])
def test_at_most_once_is_sent_once_whatever_fails(failure):
    world = bench(timeout_s=1.0, **AT_MOST_ONCE)
    side = world.connect()
    if failure == 'close':
        side.close()
    elif failure == 'nonsense':
        side.say(b'\xff\xff\r\n\r\n')
    world.reactor.advance(1.5)
    assert world.reactor.tcpClients == []
    assert world.caller.status in {502, 504}
    assert world.relay.is_over


def test_each_decision_has_a_line_with_the_request_id():
    world = bench()
    world.connect().close()
    world.connect().answer()
    events = [event for event, _ in world.log.lines]
    assert events == ['sent', 'suspect', 'attempt_failed', 'sent', 'ended']
    assert all(fields['id'] == 'request-1' for _, fields in world.log.lines)


def test_held_request_is_sent_sparingly_while_it_is_refused():
    """A full model: each look for room costs one send, not a chain of them."""
    world = bench(names=('e1', 'e2'), service=MODEL, **STREAM)
    for name in ('e1', 'e2'):
        world.parts.endpoints.put(endpoint(name, 'model'), 0)
    sends = 0
    while world.caller.status is None and sends < 20:
        while world.reactor.tcpClients:
            side = world.connect()
            sends += 1
            side.answer(status=503, headers='X-Not-Run: 1\r\n')
        world.reactor.advance(HOLD_STEP_S)
    assert world.caller.status == 503
    assert sends <= 4


def test_requests_that_wait_together_do_not_spend_more_than_is_left():
    """Many requests that are refused at once look for room at once."""
    budget = RetryBudget(0, 8, 10, started_at=-10)
    worlds = [
        bench(names=('e1',), service=MODEL, budget=budget, **STREAM)
        for _ in range(30)
    ]
    sends = 0
    for world in worlds:
        world.parts.endpoints.put(endpoint('e1', 'model'), 0)
        # Nothing else can serve, so a resting endpoint is chosen again.
        world.parts.endpoints.record_refusal = lambda name, now: now
    for _ in range(10):
        for world in worlds:
            while world.reactor.tcpClients:
                sends += 1
                world.connect().answer(
                    status=503,
                    headers='X-Not-Run: 1\r\n',
                )
        for world in worlds:
            world.reactor.advance(HOLD_STEP_S)
    assert sends - len(worlds) <= 8
