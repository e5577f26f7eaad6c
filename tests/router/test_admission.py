from dataclasses import replace
from random import Random

import pytest

from foxtailhatch.relay.refusals import RefusalReason
from foxtailhatch.relay.request import RelayRequest
from foxtailhatch.router.admission import STOP_ACCEPT_S, admit
from foxtailhatch.routes import Account
from tests.relay.fakes import REQUEST_ID
from tests.router.fakes import SETTINGS, Clock, board
from tests.routes.configurations import configuration, route

ACCOUNT = Account('crew', ('key',), 0)
CFG = configuration(
    routes=(route('r', '/a/'), route('open', '/o/', public=True)),
    accounts=(ACCOUNT,),
)


def request(path='/a/b', key='key'):
    return RelayRequest(
        REQUEST_ID,
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


def admission_result(env, req=None, now=100.0):
    return admit(env, req or request(), now, Random(1))


def refusal_reason(env, req=None, now=100.0):
    return admission_result(env, req, now).failure().reason


def test_known_key_is_admitted_with_its_account():
    result = admission_result(board(cfg=CFG)).unwrap()
    assert (result.account, result.urgency) == ('crew', 0)


def test_public_route_needs_no_key():
    result = admission_result(
        board(cfg=CFG), request('/o/x', key=None)
    ).unwrap()
    assert result.account is None


# Guards against requests of which nobody can tell how old their data were.
def test_admitted_request_names_the_configuration_and_its_age():
    result = admission_result(board(cfg=CFG), now=101.5).unwrap()
    assert (result.version, result.configuration_age_s) == (CFG.version, 1.5)


def test_unknown_key_is_denied():
    assert (
        refusal_reason(board(cfg=CFG), request(key='x'))
        is RefusalReason.UNKNOWN_KEY
    )


def test_unknown_route_is_denied():
    assert (
        refusal_reason(board(cfg=CFG), request('/z/')) is RefusalReason.NO_ROUTE
    )


def test_missing_configuration_gives_a_retryable_refusal():
    env = board(has_configuration=False)
    refusal = admission_result(env).failure()
    assert refusal.status == 503
    assert refusal.retry_after_s is not None


# Guards against denials of routes and keys that were added in the meantime.
@pytest.mark.parametrize('req', [request('/z/'), request(key='x')])
def test_old_configuration_gives_503_instead_of_a_denial(req):
    env = board(Clock(), CFG)
    now = 100 + SETTINGS.bounds.change_s + 0.1
    assert admission_result(env, req, now).failure().status == 503


def test_keys_are_refused_once_a_revocation_may_be_missed():
    env = board(Clock(), CFG)
    assert refusal_reason(env, now=104.9) is RefusalReason.STALE_CONFIGURATION
    assert admission_result(env, now=104.5).map(lambda _: True).value_or(False)


def test_public_routes_are_admitted_with_an_old_configuration():
    env = board(Clock(), CFG)
    open_request = request('/o/x', key=None)
    assert admission_result(env, open_request, 200).map(lambda _: 1).value_or(0)


def test_stopping_entry_refuses_after_its_accept_time():
    env = board(Clock(), CFG)
    env.stop_requested_at = 99.0
    assert admission_result(env).map(lambda _: True).value_or(False)
    late = 99 + STOP_ACCEPT_S + 0.1
    assert refusal_reason(env, now=late) is RefusalReason.STOPPING


# Guards against requests that are taken when too little is left of the grace
# period to answer them.
@pytest.mark.parametrize('grace_s', [1.0, 3.0, 8.0, 30.0])
def test_stopping_entry_accepts_in_the_first_part_of_its_grace_period(grace_s):
    env = board(Clock(), CFG)
    bounds = replace(SETTINGS.bounds, stop_grace_s=grace_s)
    env.cfg = replace(SETTINGS, bounds=bounds)
    env.stop_requested_at = 100.0
    accept_s = min(STOP_ACCEPT_S, grace_s / 3)
    late = 100 + accept_s + 0.01
    assert refusal_reason(env, now=late) is RefusalReason.STOPPING
    early = admission_result(env, now=100 + accept_s / 2)
    assert early.map(lambda _: True).value_or(False)
