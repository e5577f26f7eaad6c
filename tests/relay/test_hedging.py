"""Hedged attempts of one request, for each order in which both attempts end."""

import asyncio
from dataclasses import replace

import pytest

from foxtailhatch.core import InvariantViolation
from foxtailhatch.fleet import EndpointState
from foxtailhatch.placement.protocols import OrderOutcome, RerouteReply
from foxtailhatch.relay.hedging import (
    DELIVERY_MARGIN_S,
    MAX_HEDGES,
    MAX_REFUSED_HEDGES,
    MIN_PAUSE_S,
    NO_CHAIN_RETRY_S,
)
from foxtailhatch.relay.retry_budget import USABLE_SHARE, RetryBudget
from foxtailhatch.router.stall_detector import StallDetector
from foxtailhatch.routes import RouteKind
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import REQUEST_ID, start_relay
from tests.router.fakes import MemoryEngines

STREAM = {'kind': RouteKind.STREAM, 'resumable': True, 'layered': True}
NAMES = ('e1', 'e2', 'e3', 'e4')
NOT_RUN = 'X-Not-Run: 1\r\n'


def body(*numbers):
    return b''.join(b'id: %d\ndata: t%d\n\n' % (one, one) for one in numbers)


def paused_stream(events=2, **options):
    """Return a relay whose stream has paused for so long that a hedge is due."""
    env = start_relay(**{'names': NAMES, 'attempts': 3, **STREAM, **options})
    env.first = env.accept_connection()
    if events:
        env.first.start_stream('X-Attempt: first\r\n')
    for number in range(1, events + 1):
        env.first.send_event(number)
    now = env.reactor.seconds()
    env.reactor.advance(env.relay.hedging.due_at - now + 0.001)
    return env


def hedged_stream(events=2, **options):
    """Return a relay whose stream has paused and got a hedge."""
    env = paused_stream(events, **options)
    assert env.relay.hedging.try_start(env.reactor.seconds())
    env.hedge = env.accept_connection()
    return env


def finish(conn, first, last):
    for number in range(first, last + 1):
        conn.send_event(number)
    conn.end_stream()


def assert_is_whole(env, last):
    assert env.caller.body == body(*range(1, last + 1))
    assert env.caller.finished
    assert env.metrics.outcomes == ['answered']
    assert env.context.loads.in_progress() == {}


# Guards against a pause until the detection of a dead endpoint, which takes longer
# than the longest pause that is on time.
def test_hedge_with_the_next_event_is_kept():
    env = hedged_stream()
    assert b'X-To: e2' in env.hedge.request
    assert b'X-After: 2' in env.hedge.request
    env.hedge.start_stream()
    env.hedge.send_event(3)
    assert env.caller.body == body(1, 2, 3)
    assert env.first.is_aborted
    finish(env.hedge, 4, 5)
    assert_is_whole(env, 5)
    assert env.metrics.hedges == ['won']
    assert env.log.of('hedge_won')[0]['id'] == REQUEST_ID


# Guards against streams that lose a sound chain for a short pause.
def test_first_attempt_that_goes_on_is_kept():
    env = hedged_stream()
    env.hedge.start_stream()
    env.first.send_event(3)
    assert env.hedge.is_aborted
    assert not env.first.is_aborted
    finish(env.first, 4, 5)
    assert_is_whole(env, 5)
    assert env.metrics.hedges == ['lost']
    assert env.log.of('hedge_lost')[0]['id'] == REQUEST_ID


# Guards against an event that reaches the caller twice.
@pytest.mark.parametrize('is_hedge_first', [True, False])
def test_event_that_both_bring_is_forwarded_once(is_hedge_first):
    env = hedged_stream()
    env.hedge.start_stream()
    conns = (env.hedge, env.first) if is_hedge_first else (env.first, env.hedge)
    for conn in conns:
        conn.send_event(3)
        conn.send_event(4)
    conns[0].end_stream()
    assert_is_whole(env, 4)


# Guards against bytes of both attempts in one event.
def test_partial_events_of_both_attempts_are_not_mixed():
    env = hedged_stream()
    env.hedge.start_stream()
    env.first.send_chunk(b'id: 3\ndata: x')
    env.hedge.send_chunk(b'id: 3\ndata')
    env.hedge.send_chunk(b': t3\n\nid: 4\n')
    env.hedge.send_chunk(b'data: t4\n\n')
    env.first.send_chunk(b'yz\n\n')
    env.hedge.end_stream()
    assert_is_whole(env, 4)


# Guards against streams that wait for events when none is left.
def test_stream_ends_by_the_hedge_if_nothing_follows():
    env = hedged_stream()
    env.hedge.start_stream()
    env.hedge.end_stream()
    assert_is_whole(env, 2)
    assert env.first.is_aborted


# Guards against streams without an answer while a stage of their first chain is
# dead before the first event.
def test_request_without_an_event_is_hedged_at_half_of_its_target():
    env = paused_stream(events=0)
    target_s = env.relay.admitted.route.target_latency_s
    assert env.reactor.seconds() == pytest.approx(target_s / 2, abs=0.01)
    assert env.relay.hedging.try_start(env.reactor.seconds())
    hedge = env.accept_connection()
    assert b'X-After' not in hedge.request
    hedge.start_stream('X-Attempt: hedge\r\n')
    finish(hedge, 1, 2)
    assert_is_whole(env, 2)
    assert env.caller.headers[b'x-attempt'] == b'hedge'


# Guards against a second head in the caller's response.
def test_head_of_the_first_response_is_kept():
    env = hedged_stream()
    env.hedge.start_stream('X-Attempt: hedge\r\n')
    finish(env.hedge, 3, 4)
    assert_is_whole(env, 4)
    assert env.caller.headers[b'x-attempt'] == b'first'


# Guards against events in an answer that is an error, or after it.
def test_error_of_the_first_attempt_is_the_answer():
    env = hedged_stream(events=0)
    env.first.send_bytes(
        f'HTTP/1.1 404 X\r\nX-Id: {REQUEST_ID}\r\nContent-Length: 4\r\n\r\nno'.encode()
    )
    assert env.hedge.is_aborted
    env.first.send_bytes(b'ne')
    assert (env.caller.status, env.caller.body) == (404, b'none')


@pytest.mark.parametrize('events', [0, 2])
@pytest.mark.parametrize(
    'fail',
    [
        lambda conn: conn.close(clean=False),
        lambda conn: conn.respond(status=500),
        lambda conn: conn.send_bytes(b'no answer at all\r\n\r\n'),
    ],
    ids=['closed', 'error', 'malformed'],
)
# Guards against a stream that ends, or is sent a third time, as its hedge fails.
def test_stream_is_as_before_after_its_hedge_fails(fail, events):
    env = hedged_stream(events)
    fail(env.hedge)
    assert env.metrics.hedges == ['failed']
    assert env.reactor.tcpClients == []
    assert not env.first.is_aborted
    if not events:
        env.first.start_stream()
    finish(env.first, events + 1, events + 2)
    assert_is_whole(env, events + 2)


# Guards against more requests to an engine that has no capacity.
def test_engine_that_refuses_a_hedge_is_backed_off():
    env = hedged_stream()
    env.hedge.respond(status=503, headers=NOT_RUN)
    assert env.log.of('endpoint_backed_off')[0]['endpoint'] == 'e2'
    assert b'X-To: e3' in env.accept_connection().request


# Guards against streams that are late as several engines are lost together: each
# refusal names one of them, and the next check is due only later.
@pytest.mark.parametrize('events', [0, 2])
def test_refused_hedge_is_followed_by_another_one_at_once(events):
    env = hedged_stream(events)
    hedge = env.hedge
    refused = 0
    while hedge is not None:
        hedge.respond(status=503, headers=NOT_RUN)
        refused += 1
        hedge = env.accept_connection() if env.reactor.tcpClients else None
    assert 2 <= refused <= MAX_REFUSED_HEDGES + 1
    assert env.metrics.hedges == ['failed'] * refused
    assert not env.first.is_aborted
    if not events:
        env.first.start_stream()
    finish(env.first, events + 1, events + 2)
    assert_is_whole(env, events + 2)


# Guards against engines that stay in use after they refused connections.
def test_engine_that_refuses_the_connection_is_suspected():
    env = paused_stream()
    env.relay.hedging.try_start(env.reactor.seconds())
    env.refuse_connection()
    assert [name for name, _ in env.suspects] == ['e2']
    assert not env.first.is_aborted


# Guards against the death of a sound engine by a pause of its streams.
def test_engine_is_not_suspected_as_its_stream_was_hedged():
    env = hedged_stream()
    env.hedge.start_stream()
    finish(env.hedge, 3, 4)
    assert env.suspects == []
    assert env.log.of('suspect') == []
    assert not env.context.endpoints.is_lost('e1')
    now = env.reactor.seconds()
    assert 'e1' in [
        one.name for one in env.context.endpoints.usable('plain', now)
    ]


@pytest.mark.parametrize('has_head', [True, False])
@pytest.mark.parametrize(
    'fail',
    [
        lambda env: env.first.close(clean=False),
        lambda env: env.first.send_chunk(b'nothing known\n\n'),
        lambda env: env.relay.abandon_attempt('lost chain head'),
    ],
    ids=['closed', 'malformed', 'given up'],
)
# Guards against a third attempt, or a break, when the first attempt fails.
def test_hedge_replaces_a_first_attempt_that_fails(fail, has_head):
    env = hedged_stream()
    if has_head:
        env.hedge.start_stream()
        env.hedge.send_chunk(b'id: 3\n')
    fail(env)
    assert env.reactor.tcpClients == []
    assert env.metrics.hedges == ['took_over']
    if not has_head:
        env.hedge.start_stream()
        env.hedge.send_chunk(b'id: 3\n')
    env.hedge.send_chunk(b'data: t3\n\n')
    finish(env.hedge, 4, 4)
    assert_is_whole(env, 4)
    assert env.log.of('attempt_failed')[0]['next'] == 'hedge'


# Guards against an error status that is passed on while a hedge may still serve.
def test_hedge_replaces_a_first_attempt_with_an_error_status():
    env = hedged_stream(events=0, attempts=2)
    env.first.respond(status=500)
    env.hedge.start_stream()
    finish(env.hedge, 1, 2)
    assert_is_whole(env, 2)


# Guards against a stream that ends with the second of two failures.
def test_stream_is_resumed_after_both_attempts_fail():
    env = hedged_stream()
    env.first.close(clean=False)
    env.hedge.close(clean=False)
    third = env.accept_connection()
    assert b'X-After: 2' in third.request
    third.start_stream()
    finish(third, 3, 4)
    assert_is_whole(env, 4)


# Guards against "not run" for a request that a hedge may have run.
@pytest.mark.parametrize('fails_first', ['first', 'hedge'])
def test_refusal_by_one_attempt_does_not_cover_the_other(fails_first):
    env = hedged_stream(events=0, names=('e1', 'e2'), attempts=2)
    order = [env.first, env.hedge]
    if fails_first == 'hedge':
        order.reverse()
    order[0].close(clean=False)
    order[1].respond(status=503, headers=NOT_RUN)
    assert env.caller.status == 502


# Guards against "not run" for a request that a hedge may have run, where the hedge
# is cancelled as an endpoint is lost, or as the prompt is quarantined.
@pytest.mark.parametrize('is_lost', [True, False])
def test_refusal_does_not_cover_a_hedge_that_was_cancelled(is_lost):
    env = hedged_stream(
        events=0, names=('e1', 'e2'), attempts=2, fingerprint='f1'
    )
    if is_lost:
        env.context.endpoints.mark_silent('e2', 1)
    else:
        env.context.prompts.blocked.add('request:f1')
    env.first.respond(status=503, headers=NOT_RUN)
    assert env.hedge.is_aborted
    assert env.caller.status == 502


@pytest.mark.parametrize(
    'end',
    [
        lambda env: env.relay.caller_disconnected(),
        lambda env: env.relay.end_for_stop(),
        lambda env: env.reactor.advance(20),
    ],
    ids=['disconnect', 'stop', 'timeout'],
)
# Guards against work for a caller that is gone, and load that stays counted.
def test_both_attempts_are_cancelled_at_the_end(end):
    env = hedged_stream()
    work = env.context.loads.in_progress()
    assert {name: one.requests for name, one in work.items()} == {
        'e1': 1,
        'e2': 1,
    }
    end(env)
    assert env.first.is_aborted
    assert env.hedge.is_aborted
    assert env.context.loads.in_progress() == {}
    assert env.metrics.hedges == ['ended']


# Guards against "not run" at a stop, as only the hedge has reached an engine.
def test_stop_before_the_first_event_tells_that_the_hedge_may_have_run():
    env = start_relay(names=NAMES, attempts=3, **STREAM)
    env.reactor.advance(env.relay.hedging.due_at + 0.001)
    assert env.relay.hedging.try_start(env.reactor.seconds())
    env.reactor.tcpClients.pop(0)
    env.accept_connection()
    env.relay.end_for_stop()
    assert env.caller.status == 502


# Guards against a hedge for a request that is not repeatable.
@pytest.mark.parametrize('kind', [RouteKind.STREAM, RouteKind.AT_MOST_ONCE])
def test_route_that_is_not_resumable_gets_no_hedge(kind):
    env = paused_stream(events=0, kind=kind, resumable=False)
    assert not env.relay.hedging.try_start(10)
    with pytest.raises(InvariantViolation):
        env.relay.open_attempt(env.relay.attempt.chosen, env.relay, 10)


# Guards against work for an endpoint that leaves.
def test_hedge_is_not_sent_to_an_endpoint_that_leaves():
    env = paused_stream(names=('e1', 'e2'))
    endpoints = env.context.endpoints
    draining = replace(endpoints.get('e2'), state=EndpointState.DRAINING)
    endpoints.put(draining, env.reactor.seconds())
    assert not env.relay.hedging.try_start(env.reactor.seconds())


# Guards against hedges that take the budget of retries after failures.
@pytest.mark.parametrize(('spent', 'is_sent'), [(2, True), (3, False)])
def test_hedge_is_sent_while_half_of_the_budget_is_left(spent, is_sent):
    budget = RetryBudget(0, 5 / USABLE_SHARE, 10, started_at=-10)
    env = paused_stream(budget=budget)
    assert all(budget.spend('plain', 0, 1) for _ in range(spent))
    assert env.relay.hedging.try_start(env.reactor.seconds()) is is_sent


def test_hedge_counts_as_a_retry_and_as_a_send():
    env = paused_stream(attempts=2)
    now = env.reactor.seconds()
    before = env.context.budget.remaining('plain', now, 1)
    assert env.relay.hedging.try_start(now)
    assert env.context.budget.remaining('plain', now, 1) == before - 1
    assert env.relay._history.is_exhausted
    assert [line['send'] for line in env.log.of('sent')] == [1, 2]


# Guards against streams that read their prompt again and again.
def test_request_has_one_hedge_at_a_time_and_few_in_all():
    env = hedged_stream(attempts=9)
    assert not env.relay.hedging.try_start(env.reactor.seconds())
    env.hedge.respond(status=500)
    sent = 1
    while env.relay.hedging.try_start(env.reactor.seconds()):
        sent += 1
        env.accept_connection().respond(status=500)
    assert sent == MAX_HEDGES


# Guards against hedges for a caller that reads slowly.
def test_stream_that_its_caller_holds_back_is_not_paused():
    env = paused_stream()
    now = env.reactor.seconds()
    assert env.relay.hedging.is_paused(now)
    env.relay.attempt.transport.transport.pauseProducing = lambda: None
    env.relay.attempt.transport.pauseProducing()
    assert not env.relay.hedging.is_paused(now)


# Guards against hedges that come too late for the next event.
def test_pause_before_a_hedge_leaves_the_time_of_a_resumption():
    env = start_relay(names=NAMES, **STREAM)
    conn = env.accept_connection()
    conn.start_stream()
    conn.send_event(1)
    hedging = env.relay.hedging
    gap_s = env.relay.admitted.route.max_gap_s - DELIVERY_MARGIN_S
    assert hedging.due_at == pytest.approx(max(MIN_PAUSE_S, gap_s - 0.1))
    env.context.resumptions.record(0.05)
    assert hedging.due_at == pytest.approx(gap_s - 0.05)
    for _ in range(9):
        env.context.resumptions.record(1.0)
    assert hedging.due_at == pytest.approx(MIN_PAUSE_S)


def test_time_of_a_resumption_is_measured():
    env = hedged_stream()
    env.hedge.start_stream()
    env.reactor.advance(0.07)
    env.hedge.send_event(3)
    assert env.context.resumptions.expected_s == pytest.approx(0.07)


# Guards against the load of the hedge on the endpoints of a reroute that was under
# way when the hedge won.
def test_reroute_in_progress_ends_with_its_attempt():
    env = hedged_stream()
    env.hedge.start_stream()
    engines = MemoryEngines()
    moved_to = env.relay.attempt.chosen

    async def reroute(head, order):
        env.hedge.send_event(3)
        return RerouteReply(OrderOutcome.STARTED)

    engines.reroute = reroute
    detector = StallDetector(env.context, engines, lambda _: 0, None)
    asyncio.run(
        detector._send_reroute(env.relay, moved_to[0].endpoint, moved_to)
    )
    assert env.relay.attempt.head_name == 'e2'
    assert set(env.context.loads.in_progress()) == {'e2'}


# Guards against a hedge of malformed bytes that ends the sound first attempt.
@pytest.mark.parametrize('number', [2, 4])
def test_hedge_with_another_event_than_the_next_is_given_up(number):
    env = hedged_stream()
    env.hedge.start_stream()
    env.hedge.send_event(number)
    assert env.hedge.is_aborted
    finish(env.first, 3, 3)
    assert_is_whole(env, 3)


# Guards against two copies of a request that is held back until it is known
# whether it crashes engines.
def test_suspect_request_gets_no_hedge():
    env = paused_stream(fingerprint='f1')
    env.context.prompts.waiting.add('f1')
    assert not env.relay.hedging.try_start(env.reactor.seconds())


# Guards against hedges over the endpoint that has paused.
def test_hedge_needs_an_endpoint_that_the_first_does_not_use():
    env = paused_stream(names=('e1',))
    assert not env.relay.hedging.try_start(env.reactor.seconds())
    env.context.endpoints.put(endpoint('e9'), 0)
    env.reactor.advance(NO_CHAIN_RETRY_S)
    assert env.relay.hedging.try_start(env.reactor.seconds())
    assert b'X-To: e9' in env.accept_connection().request


def test_hedge_asks_for_a_chain_in_one_zone():
    env = paused_stream()
    asked = []
    env.context.selector.select = lambda selection, now: asked.append(selection)
    assert not env.relay.hedging.try_start(env.reactor.seconds())
    assert asked[0].is_single_zone
    assert 'e1' in asked[0].exclude
