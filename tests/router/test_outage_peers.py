"""What entries tell each other of the store."""

import asyncio
from types import SimpleNamespace

import cbor2
import pytest
from returns.result import Failure, Success

from foxtailhatch.relay.http_client import HttpResponse
from foxtailhatch.relay.http_connection import ResponseHead, TransportFailure
from foxtailhatch.router.outage_peers import (
    HttpOutagePeers,
    decode_view,
    encode_view,
)
from foxtailhatch.router.outage_site import OutagePage
from foxtailhatch.router.store_outage import OutageView
from tests.router.fakes import board


class Client:
    def __init__(self, outcome):
        self.outcome = outcome

    async def call(self, call):
        return self.outcome


def ask(outcome):
    blackboard = board()
    peers = HttpOutagePeers(None)
    peers._clients[blackboard.cfg.peer_address] = Client(outcome)
    return asyncio.run(peers.view(blackboard.own_entry()))


def answer(status, body):
    return Success(HttpResponse(ResponseHead(status, ()), body))


def render(blackboard):
    codes = []
    req = SimpleNamespace(setResponseCode=codes.append)
    body = OutagePage(blackboard).render_GET(req)
    return answer(codes[0] if codes else 200, body)


def test_ages_are_those_at_the_answer():
    blackboard = board()
    blackboard.clock.now = 100.0
    for sent_at in (98.0, 98.5, 99.0, 99.5):
        blackboard.outage.record_success(sent_at, sent_at)
    blackboard.outage.record_failure(99.2)
    blackboard.outage.record_success(99.5, 99.6)
    expected = pytest.approx([2.0, 0.5, 0.8, 0.4])
    view = ask(render(blackboard))
    assert [view.since, view.until, view.away_at, view.back_at] == expected


def test_an_entry_that_has_read_nothing_has_no_view():
    assert ask(render(board())) is None


@pytest.mark.parametrize(
    'outcome',
    [
        Failure(TransportFailure.TIMEOUT),
        answer(404, b''),
        answer(200, b'<html>'),
        answer(500, encode_view(OutageView(1, 2), 3)),
    ],
)
def test_no_answer_and_that_of_an_older_build_are_none(outcome):
    assert ask(outcome) is None


def test_further_fields_are_those_of_a_later_build():
    raw = cbor2.dumps([5, 1, None, None, 'more'])
    assert decode_view(raw) == OutageView(5, 1)


@pytest.mark.parametrize(
    'fields',
    [
        [],
        [1, 2, 3],
        {},
        [True, 1, None, None],
        [1, None, None, None],
        [1, 2, 'x', None],
        [1, 2, None, -3],
        [float('inf'), 1, None, None],
        [float('nan'), 1, None, None],
    ],
)
def test_malformed_views_are_none(fields):
    assert decode_view(cbor2.dumps(fields)) is None
