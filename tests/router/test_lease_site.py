"""Calls between entries about the lease, over the page of one of them."""

import asyncio
from types import SimpleNamespace

import pytest
from returns.result import Failure, Success

from foxtailhatch.relay.http_client import HttpResponse
from foxtailhatch.relay.http_connection import ResponseHead, TransportFailure
from foxtailhatch.router.lease_peers import (
    HttpLeasePeers,
    PeerSilent,
    PeerUnaware,
)
from foxtailhatch.router.lease_site import UP_TO_DATE_S, LeasePage
from tests.router.fakes import board


class PageClient:
    """Call a page, or an older build that has none."""

    def __init__(self, page=None):
        self.page = page

    async def call(self, call):
        status = []
        if self.page is None:
            return Success(HttpResponse(ResponseHead(404, ()), b''))
        req = SimpleNamespace(setResponseCode=status.append)
        body = getattr(self.page, f'render_{call.method}')(req)
        head = ResponseHead(status[0] if status else 200, ())
        return Success(HttpResponse(head, body))


class SilentClient:
    """Call an entry that does not answer."""

    async def call(self, call):
        return Failure(TransportFailure.TIMEOUT)


def peers_with(client, blackboard):
    peers = HttpLeasePeers(None)
    peers._clients[blackboard.cfg.peer_address] = client
    return peers


def offer(client, blackboard):
    peers = peers_with(client, blackboard)
    return asyncio.run(peers.offer(blackboard.own_entry()))


def age(client, blackboard):
    peers = peers_with(client, blackboard)
    return asyncio.run(peers.data_age_s(blackboard.own_entry()))


def test_offer_is_noted():
    blackboard = board()
    assert offer(PageClient(LeasePage(blackboard)), blackboard)
    assert blackboard.lease_offered_at == blackboard.clock()


def stopping(blackboard):
    blackboard.stop_requested_at = 1.0


def outdated(blackboard):
    blackboard.configuration_confirmed_at -= UP_TO_DATE_S + 0.1


def cut_off(blackboard):
    model = next(iter(blackboard.table.services))
    blackboard.reach.record_sample(model, accepted=0, asked=4)


@pytest.mark.parametrize('change', [stopping, outdated, cut_off])
def test_entry_that_cannot_lead_refuses_an_offer(change):
    blackboard = board()
    change(blackboard)
    assert not offer(PageClient(LeasePage(blackboard)), blackboard)
    assert blackboard.lease_offered_at is None


def test_age_of_the_configuration_is_told():
    blackboard = board()
    blackboard.configuration_confirmed_at -= 3
    assert age(PageClient(LeasePage(blackboard)), blackboard) == 3


def test_older_build_accepts_nothing_and_confirms_nothing():
    blackboard = board()
    assert not offer(PageClient(), blackboard)
    assert isinstance(age(PageClient(), blackboard), PeerUnaware)


def test_silent_entry_accepts_nothing_and_confirms_nothing():
    blackboard = board()
    assert not offer(SilentClient(), blackboard)
    assert isinstance(age(SilentClient(), blackboard), PeerSilent)
