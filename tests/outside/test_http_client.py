import asyncio

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from foxtailhatch.core import Address, EndpointKind
from foxtailhatch.outside import PlatformFault, ServiceCall
from foxtailhatch.outside.http_client import HttpCall, HttpClient
from foxtailhatch.outside.log_http import HttpLogService
from foxtailhatch.outside.service_http import HttpPlainService
from standins.log_service import LogStandIn
from standins.plain_service import PlainStandIn
from tests.outside.loop import reactor, run
from tests.outside.raw import raw_server
from tests.outside.standin import client, endpoint, listening

GET = HttpCall('GET', '/thing')
SHORT_S = 0.3
GIVEN = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


def _fault(outcome):
    return outcome.failure().fault


def test_a_connect_that_takes_too_long_is_unreachable():
    clock = MemoryReactorClock()
    sending = HttpClient(clock, connect_timeout_s=2).send(
        Address('10.0.0.1', 80),
        GET,
        timeout_s=1,
    )
    outcome = Deferred.fromCoroutine(sending)
    clock.advance(1)
    assert _fault(outcome.result) is PlatformFault.UNREACHABLE


@pytest.mark.parametrize(
    'sent',
    [b'', GIVEN[:9], GIVEN[:-1], b'rubbish\r\n\r\n'],
)
def test_an_answer_without_its_end_is_no_answer(sent):
    with raw_server({b'GET': sent}) as ports:
        outcome = run(client().send(ports.address(), GET))
    assert _fault(outcome) is PlatformFault.NO_RESPONSE


def test_a_frozen_server_gives_no_answer():
    standin = LogStandIn()
    standin.faults.freeze = True
    with listening(standin) as ports:
        outcome = run(client().send(ports.address(), GET, SHORT_S))
    assert _fault(outcome) is PlatformFault.NO_RESPONSE


def test_an_answer_that_is_too_large_is_a_bad_answer():
    small = HttpClient(reactor(), max_body_bytes=1)
    with raw_server({b'GET': GIVEN}) as ports:
        outcome = run(small.send(ports.address(), GET))
    assert _fault(outcome) is PlatformFault.INVALID_RESPONSE


def test_an_answer_of_another_shape_is_a_bad_answer():
    with raw_server({b'GET': GIVEN, b'POST': GIVEN}) as ports:
        log = HttpLogService(client(), ports.address())
        assert (
            _fault(run(log.read('c', 0, 1))) is PlatformFault.INVALID_RESPONSE
        )
        assert (
            _fault(run(log.append('c', b''))) is PlatformFault.INVALID_RESPONSE
        )


def test_a_request_on_a_dead_connection_is_not_sent_again():
    async def scenario(ports):
        shared = client()
        await shared.send(ports.address(), GET)
        return await shared.send(ports.address(), GET)

    with raw_server({b'GET': [GIVEN]}) as ports:
        outcome = run(scenario(ports))
        assert _fault(outcome) is PlatformFault.NO_RESPONSE
        assert ports.requests == [b'GET', b'GET']


def test_after_a_silent_connection_the_next_call_takes_a_new_one():
    async def scenario(ports):
        shared = client()
        log = HttpLogService(shared, ports.address())
        hasty = HttpLogService(shared, ports.address(), SHORT_S)
        # Two calls at once leave two idle connections in the pool.
        await asyncio.gather(log.read('c', 0, 1), log.read('c', 0, 1))
        ports.silence()
        return await hasty.read('c', 0, 1), await log.read('c', 0, 1)

    with listening(LogStandIn()) as ports:
        silent, fresh = run(scenario(ports))
    assert _fault(silent) is PlatformFault.NO_RESPONSE
    assert fresh.unwrap().end == 0


def test_a_call_with_an_effect_never_uses_an_old_connection():
    look = ServiceCall('GET', '/runs', b'', 'application/json')
    book = ServiceCall('POST', '/bookings', b'{}', 'application/json', 'k')

    async def scenario(ports):
        service = HttpPlainService(client())
        desk = endpoint(ports, 'desk', EndpointKind.SERVICE)
        await service.call(desk, look, 5)
        ports.silence()
        return await service.call(desk, book, 5)

    with listening(PlainStandIn()) as ports:
        assert run(scenario(ports)).unwrap().status == 200
