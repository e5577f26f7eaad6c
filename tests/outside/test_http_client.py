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
SHORT_TIMEOUT_S = 0.3
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


def _fault(outcome):
    return outcome.failure().fault


def test_a_connect_timeout_is_unreachable():
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
    [b'', RESPONSE[:9], RESPONSE[:-1], b'rubbish\r\n\r\n'],
)
def test_a_truncated_response_is_no_response(sent):
    with raw_server({b'GET': sent}) as ports:
        outcome = run(client().send(ports.address(), GET))
    assert _fault(outcome) is PlatformFault.NO_RESPONSE


# Guards against a success for an answer that ended in its head or body.
@pytest.mark.parametrize('sent', range(len(RESPONSE)))
def test_a_response_that_ends_anywhere_is_no_response(sent):
    with raw_server({b'GET': RESPONSE[:sent]}) as ports:
        outcome = run(client().send(ports.address(), GET))
    assert _fault(outcome) is PlatformFault.NO_RESPONSE


def test_a_frozen_server_gives_no_response():
    standin = LogStandIn()
    standin.faults.freeze = True
    with listening(standin) as ports:
        outcome = run(client().send(ports.address(), GET, SHORT_TIMEOUT_S))
    assert _fault(outcome) is PlatformFault.NO_RESPONSE


def test_too_large_a_response_is_invalid():
    small = HttpClient(reactor(), max_body_bytes=1)
    with raw_server({b'GET': RESPONSE}) as ports:
        outcome = run(small.send(ports.address(), GET))
    assert _fault(outcome) is PlatformFault.INVALID_RESPONSE


def test_a_response_with_another_schema_is_invalid():
    with raw_server({b'GET': RESPONSE, b'POST': RESPONSE}) as ports:
        log = HttpLogService(client(), ports.address())
        assert (
            _fault(run(log.read('c', 0, 1))) is PlatformFault.INVALID_RESPONSE
        )
        assert (
            _fault(run(log.append('c', b''))) is PlatformFault.INVALID_RESPONSE
        )


def test_a_request_on_a_failed_connection_is_not_retried():
    async def scenario(ports):
        shared = client()
        await shared.send(ports.address(), GET)
        return await shared.send(ports.address(), GET)

    with raw_server({b'GET': [RESPONSE]}) as ports:
        outcome = run(scenario(ports))
        assert _fault(outcome) is PlatformFault.NO_RESPONSE
        assert ports.requests == [b'GET', b'GET']


def test_after_a_timeout_the_next_call_uses_a_new_connection():
    async def scenario(ports):
        shared = client()
        log = HttpLogService(shared, ports.address())
        short = HttpLogService(shared, ports.address(), SHORT_TIMEOUT_S)
        # Two calls at once leave two idle connections in the pool.
        await asyncio.gather(log.read('c', 0, 1), log.read('c', 0, 1))
        ports.silence()
        return await short.read('c', 0, 1), await log.read('c', 0, 1)

    with listening(LogStandIn()) as ports:
        first, second = run(scenario(ports))
    assert _fault(first) is PlatformFault.NO_RESPONSE
    assert second.unwrap().end == 0


def test_a_call_with_side_effects_uses_no_idle_connection():
    read_call = ServiceCall('GET', '/runs', b'', 'application/json')
    write_call = ServiceCall(
        'POST', '/bookings', b'{}', 'application/json', 'k'
    )

    async def scenario(ports):
        service = HttpPlainService(client())
        desk = endpoint(ports, 'desk', EndpointKind.SERVICE)
        await service.call(desk, read_call, 5)
        ports.silence()
        return await service.call(desk, write_call, 5)

    with listening(PlainStandIn()) as ports:
        assert run(scenario(ports)).unwrap().status == 200
