"""Endpoints that say in their answers that they leave, or want a pause."""

import pytest

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointState
from foxtailhatch.fleet.pauses import EndpointNotice
from foxtailhatch.fleet.table import MAX_DRAINING
from foxtailhatch.relay.context import SelectedStage
from foxtailhatch.relay.relay import Relay
from foxtailhatch.routes import RouteKind
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import FakeCaller, start_relay

LEAVING = 'X-Leaving: 1\r\n'


def send_another(env):
    """Relay the same request for another caller; return the connection."""
    env.caller = FakeCaller()
    admitted = env.relay.admitted
    env.relay = Relay(env.context, admitted, env.caller, env.context.clock())
    env.relay.begin()
    return env.accept_connection() if env.reactor.tcpClients else None


# Guards against new work for an endpoint that has said that it leaves, before the
# store tells of it, or at an entry that does not reach the store.
@pytest.mark.parametrize('status', [200, 404, 500])
def test_endpoint_that_leaves_by_its_answer_gets_no_new_request(status):
    env = start_relay(attempts=1)
    env.accept_connection().respond(status=status, headers=LEAVING)
    assert env.caller.status == status
    assert b'X-To: e2' in send_another(env).request
    assert env.log.of('endpoint_leaves')[0]['endpoint'] == 'e1'


def test_endpoint_that_leaves_with_a_refusal_gets_no_retry():
    env = start_relay()
    first = env.accept_connection()
    first.respond(status=503, headers=f'X-Not-Run: 1\r\n{LEAVING}')
    assert b'X-To: e2' in env.accept_connection().request
    assert not env.context.endpoints.accepts_work(endpoint('e1'))


def test_stream_goes_on_at_an_endpoint_that_leaves():
    env = start_relay(kind=RouteKind.STREAM, resumable=True)
    first = env.accept_connection()
    first.start_stream(headers=LEAVING)
    first.send_event(1)
    first.end_stream()
    assert env.caller.finished
    assert b'X-To: e2' in send_another(env).request


# Guards against a sound stage that is taken out of service for the word of the head
# that could not reach it.
def test_head_that_answers_is_the_one_that_leaves_whatever_stage_it_names():
    env = start_relay(kind=RouteKind.STREAM, resumable=True)
    endpoints = env.context.endpoints
    stages = tuple(
        SelectedStage(endpoints.get(name), LayerRange(first, first + 40))
        for name, first in (('e1', 0), ('e2', 40))
    )
    env.relay.attempt.switch_chain(stages)
    address = endpoints.get('e2').address
    env.accept_connection().respond(
        status=503, headers=f'X-Not-Run: 1\r\nX-At: {address}\r\n{LEAVING}'
    )
    assert not endpoints.accepts_work(endpoints.get('e1'))
    assert endpoints.accepts_work(endpoints.get('e2'))


def test_last_endpoint_that_leaves_is_not_used_either():
    env = start_relay(names=('e1',))
    env.accept_connection().respond(headers=LEAVING)
    assert send_another(env) is None
    assert env.caller.status == 503


def test_older_or_later_record_does_not_bring_it_work_again():
    env = start_relay(names=('e1',))
    env.accept_connection().respond(headers=LEAVING)
    endpoints = env.context.endpoints
    endpoints.put(endpoint('e1', state=EndpointState.READY), 1)
    endpoints.remove('e1', 2)
    endpoints.put(endpoint('e1', heartbeats=9), 3)
    assert send_another(env) is None


def test_new_start_of_an_endpoint_gets_work():
    env = start_relay(names=('e1',))
    env.accept_connection().respond(headers=LEAVING)
    env.context.endpoints.put(endpoint('e1', incarnation=2), 1)
    assert b'X-To: e1' in send_another(env).request


@pytest.mark.parametrize('value', ['0', 'true', '11', '-1', ''])
def test_other_values_of_the_header_say_nothing(value):
    env = start_relay(names=('e1',))
    env.accept_connection().respond(headers=f'X-Leaving: {value}\r\n')
    assert b'X-To: e1' in send_another(env).request


def test_endpoints_that_left_are_forgotten_oldest_first():
    env = start_relay(names=('e1',))
    endpoints = env.context.endpoints
    endpoints.mark_leaving('e1', 1, 0)
    for number in range(MAX_DRAINING + 10):
        endpoints.mark_leaving(f'gone-{number}', 1, 0)
    assert not endpoints.accepts_work(endpoints.get('e1'))
    assert len(endpoints._draining_since) == MAX_DRAINING


PAUSE = 'X-Not-Run: 1\r\nX-Pause: 2.5\r\n'


def test_refusal_with_a_pause_closes_the_endpoint():
    env = start_relay()
    env.accept_connection().respond(status=503, headers=PAUSE)
    pauses = env.context.endpoints.pauses
    assert pauses.left_s(endpoint('e1'), env.context.clock()) == 2.5
    assert env.log.of('endpoint_pauses')[0]['for_s'] == 2.5
    assert b'X-To: e2' in env.accept_connection().request


def test_each_notice_that_is_news_is_counted_once():
    env = start_relay()
    env.accept_connection().respond(status=503, headers=PAUSE)
    env.accept_connection().respond(headers=LEAVING)
    one = env.context.endpoints.get('e2')
    env.context.record_notice(one, EndpointNotice(is_leaving=True))
    one = env.context.endpoints.get('e1')
    env.context.record_notice(one, EndpointNotice(pause_s=5))
    assert env.metrics.notices == ['pause', 'leaving']


def test_caller_is_told_to_return_after_the_pause_of_all_endpoints():
    env = start_relay(names=('e1',))
    env.accept_connection().respond(status=503, headers=PAUSE)
    assert env.caller.status == 503
    assert env.caller.headers[b'retry-after'] == b'2.50'


def test_stage_that_an_answer_names_is_the_one_that_pauses():
    env = start_relay(kind=RouteKind.STREAM, resumable=True)
    endpoints = env.context.endpoints
    stages = tuple(
        SelectedStage(endpoints.get(name), LayerRange(first, first + 40))
        for name, first in (('e1', 0), ('e2', 40))
    )
    env.relay.attempt.switch_chain(stages)
    address = endpoints.get('e2').address
    env.accept_connection().respond(
        status=503, headers=f'X-At: {address}\r\n{PAUSE}'
    )
    assert [one.name for one in endpoints.paused('plain', 0)] == ['e2']


# Guards against stages that get five requests a second for good after a pause.
def test_success_of_a_chain_ends_the_return_of_all_its_stages():
    env = start_relay(kind=RouteKind.STREAM, resumable=True)
    endpoints = env.context.endpoints
    endpoints.pauses.record(endpoint('e2'), 0.1, -1)
    stages = tuple(
        SelectedStage(endpoints.get(name), LayerRange(first, first + 40))
        for name, first in (('e1', 0), ('e2', 40))
    )
    env.relay.attempt.switch_chain(stages)
    env.accept_connection().start_stream()
    assert len(endpoints.pauses) == 0
