"""Answers of engines to orders that move a request."""

import asyncio

import pytest
from returns.result import Failure, Success

from foxtailhatch.placement.protocols import OrderOutcome, Reroute
from foxtailhatch.platform.engines import HttpEngineClient
from foxtailhatch.relay.http_client import HttpResponse
from foxtailhatch.relay.http_connection import ResponseHead, TransportFailure
from tests.fleet.endpoints import endpoint


def moved(outcome):
    calls = HttpEngineClient(reactor=None)

    async def answer(*_):
        return outcome

    calls._call = answer
    return asyncio.run(calls.reroute(endpoint('e1'), Reroute('id-1', ())))


def answered(status, body):
    return moved(Success(HttpResponse(ResponseHead(status, ()), body)))


def test_refused_move_names_the_endpoint_against_it():
    found = answered(409, b'{"address":"10.0.0.7:80"}')
    assert found.outcome is OrderOutcome.CONFLICT
    assert found.address == '10.0.0.7:80'
    assert found.reason is None


@pytest.mark.parametrize('body', [b'no json', b'{"address":7}'])
def test_unreadable_refusal_says_why(body):
    found = answered(409, body)
    assert found.outcome is OrderOutcome.CONFLICT
    assert found.address is None
    assert found.reason


@pytest.mark.parametrize('body', [b'', b'{}'])
def test_refusal_for_want_of_room_names_nobody(body):
    found = answered(409, body)
    assert (found.address, found.reason) == (None, None)


def test_lost_answer_says_how_it_was_lost():
    found = moved(Failure(TransportFailure.CLOSED))
    assert found.outcome is OrderOutcome.NO_ANSWER
    assert found.reason == TransportFailure.CLOSED.value
