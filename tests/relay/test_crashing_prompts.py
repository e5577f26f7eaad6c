"""A request under which engines crash, beside others at the same engines."""

import pytest

from foxtailhatch.routes import RouteKind
from tests.relay.fakes import start_relay

STREAM = {
    'kind': RouteKind.STREAM,
    'resumable': True,
    'layered': True,
    'names': ('e1', 'e2', 'e3', 'e4'),
}


def crash(env, name):
    """Close the connection of the running attempt, as its engine is gone."""
    conn = env.accept_connection()
    env.context.endpoints.mark_dead(name, 1, env.reactor.seconds())
    return conn


# Guards against one request that crashes an engine after the other.
@pytest.mark.xfail(strict=True, reason='listed in KNOWN-RED.txt')
def test_request_that_lost_two_engines_before_its_first_event_is_not_repeated():
    env = start_relay(**STREAM)
    crash(env, 'e1').close()
    crash(env, 'e2').close()
    assert env.reactor.tcpClients == []
    assert env.caller.status == 502


def test_stream_that_lost_two_engines_after_events_goes_on():
    env = start_relay(**STREAM)
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
