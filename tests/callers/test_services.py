import pytest
from returns.result import Failure

from foxtailhatch.callers.services import service_path
from foxtailhatch.core import ErrorCode, Refusal, RunState
from tests.callers.http import with_front

GOOD = {'Authorization': 'Bearer good'}


@with_front
async def test_a_call_is_passed_on_and_answered(front):
    headers = {**GOOD, 'Idempotency-Key': 'k-1', 'Content-Type': 'text/x'}
    reply = await front.ask(
        'PUT',
        '/v1/services/desk/reels/7?n=2',
        b'body',
        **headers,
    )
    assert (reply.status, reply.body) == (201, b'ok')
    call = front.gateway.calls[0]
    assert (call.service, call.method) == ('desk', 'PUT')
    assert (call.path, call.body) == ('/reels/7?n=2', b'body')
    assert (call.key, call.content_type) == ('k-1', 'text/x')


@with_front
async def test_a_refused_call_says_whether_it_ran(front):
    front.gateway.service_outcome = Failure(
        Refusal(ErrorCode.OUTCOME_UNKNOWN, 'Lost.', RunState.UNKNOWN),
    )
    reply = await front.ask('POST', '/v1/services/desk/book', **GOOD)
    assert (reply.status, reply.error()['run']) == (504, 'unknown')


@with_front
async def test_a_call_without_a_token_is_not_passed_on(front):
    reply = await front.ask('POST', '/v1/services/desk/book')
    assert reply.status == 401
    assert not front.gateway.calls


@with_front
async def test_a_method_that_is_none_is_refused(front):
    reply = await front.ask('BREW', '/v1/services/desk/book', **GOOD)
    assert (reply.status, reply.error()['code']) == (405, 'bad_method')
    assert 'PATCH' in reply.headers['allow'].upper()


@pytest.mark.parametrize('path', ['a/../book', './book', '/book', 'a%2fbook'])
def test_a_path_that_has_another_spelling_is_refused(path):
    refusal = service_path(b'/v1/services/desk/' + path.encode()).failure()
    assert refusal.code is ErrorCode.BAD_REQUEST


@with_front
async def test_an_escape_in_the_front_path_leaves_the_service_path(front):
    path = '/v1/%73ervices/d%65sk/book'
    await front.ask('POST', path, **GOOD)
    call = front.gateway.calls[0]
    assert (call.service, call.path) == ('desk', '/book')


def test_a_path_with_needless_escapes_reaches_the_service_without_them():
    spelled = service_path(b'/v1/services/desk/%62%6fok').unwrap()
    assert spelled == '/book'


def test_a_path_with_bytes_that_are_no_text_stays_what_it_is():
    spelled = service_path(b'/v1/services/desk/%ff\xfe:7?q=\xff%20').unwrap()
    assert spelled == '/%FF%FE:7?q=%FF%20'


@pytest.mark.parametrize(
    ('first', 'run'),
    [('true', 'not_run'), ('false', 'unknown')],
)
def test_a_second_try_the_front_refuses_is_not_called_not_run(first, run):
    @with_front
    async def ask(front):
        headers = {'Idempotency-Key': 'k-1', 'X-First-Try': first}
        reply = await front.ask('POST', '/v1/services/desk/book', **headers)
        assert reply.error()['run'] == run

    ask()
