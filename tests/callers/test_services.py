import pytest
from returns.result import Failure

from foxtailhatch.callers.services import service_path
from foxtailhatch.core import ErrorCode, Refusal, RunState
from tests.callers.http import with_server

GOOD = {'Authorization': 'Bearer good'}


@with_server
async def test_a_call_is_passed_on_and_answered(server):
    headers = {**GOOD, 'Idempotency-Key': 'k-1', 'Content-Type': 'text/x'}
    reply = await server.ask(
        'PUT',
        '/v1/services/desk/reels/7?n=2',
        b'body',
        **headers,
    )
    assert (reply.status, reply.body) == (201, b'ok')
    call = server.gateway.calls[0]
    assert (call.service, call.method) == ('desk', 'PUT')
    assert (call.path, call.body) == ('/reels/7?n=2', b'body')
    assert (call.key, call.content_type) == ('k-1', 'text/x')


@with_server
async def test_a_refused_call_says_whether_it_ran(server):
    server.gateway.service_outcome = Failure(
        Refusal(ErrorCode.OUTCOME_UNKNOWN, 'Lost.', RunState.UNKNOWN),
    )
    reply = await server.ask('POST', '/v1/services/desk/book', **GOOD)
    assert (reply.status, reply.error()['run']) == (504, 'unknown')


@with_server
async def test_a_call_without_a_token_is_not_passed_on(server):
    reply = await server.ask('POST', '/v1/services/desk/book')
    assert reply.status == 401
    assert not server.gateway.calls


@with_server
async def test_a_method_that_is_none_is_refused(server):
    reply = await server.ask('BREW', '/v1/services/desk/book', **GOOD)
    assert (reply.status, reply.error()['code']) == (405, 'bad_method')
    assert 'PATCH' in reply.headers['allow'].upper()


@pytest.mark.parametrize('path', ['a/../book', './book', '/book', 'a%2fbook'])
def test_a_path_that_has_another_spelling_is_refused(path):
    refusal = service_path(b'/v1/services/desk/' + path.encode()).failure()
    assert refusal.code is ErrorCode.BAD_REQUEST


@with_server
async def test_an_escape_in_the_front_path_leaves_the_service_path(server):
    path = '/v1/%73ervices/d%65sk/book'
    await server.ask('POST', path, **GOOD)
    call = server.gateway.calls[0]
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
    @with_server
    async def ask(server):
        headers = {'Idempotency-Key': 'k-1', 'X-First-Try': first}
        reply = await server.ask('POST', '/v1/services/desk/book', **headers)
        assert reply.error()['run'] == run

    ask()
