"""Responses of engines to reroute orders."""

import asyncio

import pytest
from returns.result import Failure, Success

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.protocols import OrderOutcome, Reroute
from foxtailhatch.platform.engines import HttpEngineClient
from foxtailhatch.relay.http_client import HttpResponse
from foxtailhatch.relay.http_connection import ResponseHead, TransportFailure
from tests.fleet.endpoints import endpoint


def reroute_reply(outcome):
    calls = HttpEngineClient(reactor=None)

    async def answer(*_):
        return outcome

    calls._call = answer
    return asyncio.run(calls.reroute(endpoint('e1'), Reroute('id-1', ())))


def reply_to(status, body):
    return reroute_reply(Success(HttpResponse(ResponseHead(status, ()), body)))


def test_refused_reroute_names_the_failed_endpoint():
    reply = reply_to(409, b'{"address":"10.0.0.7:80"}')
    assert reply.outcome is OrderOutcome.CONFLICT
    assert reply.address == '10.0.0.7:80'
    assert reply.reason is None


@pytest.mark.parametrize('body', [b'no json', b'{"address":7}'])
def test_malformed_refusal_has_a_reason(body):
    reply = reply_to(409, body)
    assert reply.outcome is OrderOutcome.CONFLICT
    assert reply.address is None
    assert reply.reason


@pytest.mark.parametrize('body', [b'', b'{}'])
def test_refusal_for_lack_of_capacity_names_no_endpoint(body):
    reply = reply_to(409, body)
    assert (reply.address, reply.reason) == (None, None)


def test_lost_response_has_the_transport_failure_as_reason():
    reply = reroute_reply(Failure(TransportFailure.CLOSED))
    assert reply.outcome is OrderOutcome.NO_ANSWER
    assert reply.reason == TransportFailure.CLOSED.value


def make_client(headers, monkeypatch):
    """Return a client whose engine answers, and a list of those that leave."""
    response = HttpResponse(ResponseHead(503, headers), b'')

    class Http:
        def __init__(self, *_, **kwargs):
            """Open no connection."""

        async def call(self, call):
            return Success(response)

    monkeypatch.setattr('foxtailhatch.platform.engines.HttpClient', Http)
    calls = HttpEngineClient(reactor=None)
    leaving = []
    calls.notify(
        lambda one, notice: leaving.extend([one.name] * notice.is_leaving)
    )
    return calls, leaving


@pytest.mark.parametrize(
    ('value', 'expected'), [(b'1', ['e1']), (b'0', []), (b'yes', [])]
)
def test_each_answer_tells_whether_an_engine_leaves(
    monkeypatch, value, expected
):
    headers = ((b'server-leaving', value),)
    one = endpoint('e1')
    for call in ('report', 'place', 'reroute'):
        calls, leaving = make_client(headers, monkeypatch)
        further = {
            'report': (),
            'place': (LayerRange(0, 4), 1, 0),
            'reroute': (Reroute('id-1', ()),),
        }
        asyncio.run(getattr(calls, call)(one, *further[call]))
        assert leaving == expected
