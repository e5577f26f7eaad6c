"""A request under which engines crash, beside others at the same engines."""

from foxtailhatch.relay.relay import CAPACITY_RETRY_S
from foxtailhatch.routes import RouteKind
from tests.relay.fakes import start_relay
from tests.routes.configurations import MODEL

STREAM = {
    'kind': RouteKind.STREAM,
    'resumable': True,
    'layered': True,
    'names': ('e1', 'e2', 'e3', 'e4'),
}
PARTS = ('s', 'bad', 'own')


def crash(env, name):
    """Close the connection of the running attempt, as its engine is gone."""
    conn = env.accept_connection()
    env.context.endpoints.mark_dead(name, 1, env.reactor.seconds())
    return conn


# Guards against one request that crashes an engine after the other.
def test_request_that_lost_two_engines_before_its_first_event_is_not_repeated():
    env = start_relay(**STREAM, parts=PARTS)
    crash(env, 'e1').close()
    crash(env, 'e2').close()
    assert env.reactor.tcpClients == []
    assert env.caller.status == 502


def test_stream_that_lost_two_engines_after_events_goes_on():
    env = start_relay(**STREAM, parts=PARTS)
    for number, name in enumerate(('e1', 'e2'), 1):
        conn = crash(env, name)
        conn.start_stream()
        conn.send_event(number)
        conn.close()
    last = env.accept_connection()
    last.start_stream()
    last.send_event(3)
    last.end_stream()
    assert env.caller.finished
    assert env.caller.body.count(b'id:') == 3


def test_sound_request_beside_the_cause_is_repeated_as_before():
    env = start_relay(**STREAM, parts=PARTS)
    env.context.prompts.sound = {'s', 'bad'}
    crash(env, 'e1').close()
    crash(env, 'e2').close()
    assert b'X-To: e3' in env.accept_connection().request


def test_endpoints_that_live_on_do_not_make_a_request_suspect():
    env = start_relay(**STREAM, attempts=4, parts=PARTS)
    for _ in range(3):
        env.accept_connection().close()
    assert len(env.reactor.tcpClients) == 1


def test_prompt_of_a_lost_request_is_reported_and_of_a_begun_one_cleared():
    env = start_relay(**STREAM, parts=PARTS)
    crash(env, 'e1').close()
    second = env.accept_connection()
    second.start_stream()
    second.send_event(1)
    second.send_event(2)
    second.close()
    assert env.context.prompts.lost == [('e1', ('s', 'bad'))]
    assert env.context.prompts.begun == [('s', 'bad')]


def test_request_with_a_quarantined_part_is_not_repeated():
    env = start_relay(**STREAM, parts=PARTS)
    conn = crash(env, 'e1')
    env.context.prompts.blocked = {'bad'}
    conn.close()
    assert env.reactor.tcpClients == []
    assert env.caller.status == 502


def test_request_that_waits_for_capacity_is_refused_once_its_part_is_blocked():
    env = start_relay(**STREAM | {'names': ()}, parts=PARTS, service=MODEL)
    env.context.prompts.blocked = {'bad'}
    env.reactor.advance(CAPACITY_RETRY_S)
    assert env.caller.status == 503
    assert env.metrics.outcomes == ['quarantined_prompt']


def test_started_stream_is_not_resumed_with_a_quarantined_part():
    env = start_relay(**STREAM, parts=PARTS)
    conn = crash(env, 'e1')
    conn.start_stream()
    conn.send_event(1)
    env.context.prompts.blocked = {'bad'}
    conn.close()
    assert env.reactor.tcpClients == []
    assert env.caller.aborted


def test_request_at_an_engine_is_stopped_before_it_can_crash_it():
    env = start_relay(**STREAM, parts=PARTS)
    conn = env.accept_connection()
    env.relay.stop_before_event()
    assert conn.is_aborted
    assert env.caller.status == 502


def test_started_stream_is_not_stopped():
    env = start_relay(**STREAM, parts=PARTS)
    conn = env.accept_connection()
    conn.start_stream()
    conn.send_event(1)
    env.relay.stop_before_event()
    assert not conn.is_aborted
