from random import Random

import pytest

from foxtailhatch.relay.refusals import RefusalReason
from foxtailhatch.relay.request import RelayRequest
from foxtailhatch.router.admission import (
    DENIAL_AGE_S,
    STOPPING_ACCEPTS_S,
    admit,
)
from foxtailhatch.routes import Account
from tests.relay.fakes import ID
from tests.router.fakes import Clock, board
from tests.routes.configurations import configuration, route

CREW = Account('crew', ('key',), 0)
CFG = configuration(
    routes=(route('r', '/a/'), route('open', '/o/', public=True)),
    accounts=(CREW,),
)


def request(path='/a/b', key='key'):
    return RelayRequest(
        ID,
        'GET',
        path,
        'host.example',
        (),
        b'',
        key,
        5,
        None,
        None,
    )


def verdict(made, req=None, now=100.0):
    return admit(made, req or request(), now, Random(1))


def reason(made, req=None, now=100.0):
    return verdict(made, req, now).failure().reason


def test_known_key_is_admitted_under_its_account():
    found = verdict(board(cfg=CFG)).unwrap()
    assert (found.account, found.urgency) == ('crew', 0)


def test_public_route_needs_no_key():
    found = verdict(board(cfg=CFG), request('/o/x', key=None)).unwrap()
    assert found.account is None


def test_unknown_key_is_denied():
    assert reason(board(cfg=CFG), request(key='x')) is RefusalReason.UNKNOWN_KEY


def test_unknown_route_is_denied():
    assert reason(board(cfg=CFG), request('/z/')) is RefusalReason.NO_ROUTE


def test_without_configuration_nothing_is_denied():
    made = board(known=False)
    refusal = verdict(made).failure()
    assert refusal.status == 503
    assert refusal.retry_after_s is not None


@pytest.mark.parametrize('req', [request('/z/'), request(key='x')])
def test_old_knowledge_does_not_deny(req):
    made = board(Clock(), CFG)
    now = 100 + DENIAL_AGE_S + 0.1
    assert verdict(made, req, now).failure().status == 503


def test_keys_are_refused_once_they_may_have_been_revoked():
    made = board(Clock(), CFG)
    assert reason(made, now=104.9) is RefusalReason.STALE_CONFIGURATION
    assert verdict(made, now=104.5).map(lambda _: True).value_or(False)


def test_public_routes_go_on_with_old_knowledge():
    made = board(Clock(), CFG)
    open_request = request('/o/x', key=None)
    assert verdict(made, open_request, 200).map(lambda _: 1).value_or(0)


def test_stopping_entry_refuses_after_a_while():
    made = board(Clock(), CFG)
    made.stop_requested_at = 99.0
    assert verdict(made).map(lambda _: True).value_or(False)
    late = 99 + STOPPING_ACCEPTS_S + 0.1
    assert reason(made, now=late) is RefusalReason.STOPPING
