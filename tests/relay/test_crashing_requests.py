"""A request under which endpoints may crash waits before it is repeated."""

from foxtailhatch.relay.relay import (
    MAX_SUSPECT_WAIT_S,
    SUSPECT_CHECK_S,
)
from foxtailhatch.routes import RouteKind
from tests.relay.fakes import start_relay

STREAM = {
    'kind': RouteKind.STREAM,
    'resumable': True,
    'layered': True,
    'names': ('e1', 'e2', 'e3', 'e4'),
    'fingerprint': 'f1',
}


def crash(env, name):
    """Close the connection of the running attempt, as its engine is gone."""
    conn = env.accept_connection()
    env.context.endpoints.mark_dead(name, 1, env.reactor.seconds())
    conn.close()


def start_suspect():
    """Return a relay whose request has to wait after a crash."""
    env = start_relay(**STREAM)
    env.context.prompts.waiting = {'f1'}
    crash(env, 'e1')
    return env


# Guards against a request that crashes an engine after the other.
def test_suspect_is_not_sent_before_the_verdict():
    env = start_suspect()
    env.reactor.advance(SUSPECT_CHECK_S)
    assert env.reactor.tcpClients == []
    assert env.caller.status is None


def test_suspect_is_sent_on_once_it_is_its_turn():
    env = start_suspect()
    env.context.prompts.waiting = set()
    env.reactor.advance(SUSPECT_CHECK_S)
    assert b'X-To: e2' in env.accept_connection().request


def test_convicted_request_fails():
    env = start_suspect()
    env.context.prompts.blocked = {'request:f1'}
    env.reactor.advance(SUSPECT_CHECK_S)
    assert env.caller.status == 502
    assert env.reactor.tcpClients == []


def test_wait_of_a_suspect_is_bounded():
    env = start_suspect()
    for _ in range(int(MAX_SUSPECT_WAIT_S / SUSPECT_CHECK_S) + 2):
        env.reactor.advance(SUSPECT_CHECK_S)
    assert env.caller.status == 502


def test_stream_that_crashes_engines_in_turn_is_not_resumed():
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.start_stream()
    conn.send_event(1)
    env.context.prompts.waiting = {'f1'}
    env.context.endpoints.mark_dead('e1', 1, env.reactor.seconds())
    conn.close()
    env.reactor.advance(SUSPECT_CHECK_S)
    assert env.context.prompts.lost_requests == [('e1', 'f1')]
    assert env.reactor.tcpClients == []


# Guards against streams that break off while they wait for a verdict.
def test_stream_that_goes_on_after_its_first_event_caused_no_crash():
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.start_stream()
    conn.send_event(1)
    conn.send_event(2)
    conn.close()
    assert env.context.prompts.lost_requests == []
    assert env.context.prompts.ran == ['f1']


def test_complete_answer_of_a_plain_service_clears_the_request():
    env = start_relay(fingerprint='f1')
    env.accept_connection().respond()
    assert env.context.prompts.ran == ['f1']
    assert env.context.prompts.ended == ['f1']


def test_head_that_closed_before_the_first_event_is_probed():
    """Its response may have begun, so that no other failure suspects it."""
    env = start_relay(**STREAM)
    conn = env.accept_connection()
    conn.start_stream()
    conn.close()
    assert env.suspects == [('e1', 'closed')]
