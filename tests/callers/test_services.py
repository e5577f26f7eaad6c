import pytest
from returns.result import Failure

from foxtailhatch.callers.services import service_path
from foxtailhatch.core import ErrorCode, Refusal, RunState
from tests.callers.http import with_server

VALID_TOKEN = {'Authorization': 'Bearer good'}


@with_server
async def test_a_call_is_forwarded_and_its_response_returned(server):
    headers = {
        **VALID_TOKEN,
        'Idempotency-Key': 'k-1',
        'Content-Type': 'text/x',
    }
    reply = await server.request(
        'PUT',
        '/v1/services/desk/reels/7?n=2',
        b'body',
        **headers,
    )
    assert (reply.status, reply.body) == (201, b'ok')
    call = server.gateway.service_calls[0]
    assert (call.service, call.method) == ('desk', 'PUT')
    assert (call.path, call.body) == ('/reels/7?n=2', b'body')
    assert (call.key, call.content_type) == ('k-1', 'text/x')


@with_server
async def test_a_refused_call_has_the_run_state(server):
    server.gateway.service_outcome = Failure(
        Refusal(ErrorCode.OUTCOME_UNKNOWN, 'Lost.', RunState.UNKNOWN),
    )
    reply = await server.request(
        'POST', '/v1/services/desk/book', **VALID_TOKEN
    )
    assert (reply.status, reply.error()['run']) == (504, 'unknown')


@with_server
async def test_a_call_without_a_token_is_not_forwarded(server):
    reply = await server.request('POST', '/v1/services/desk/book')
    assert reply.status == 401
    assert not server.gateway.service_calls


@with_server
async def test_an_unknown_method_is_refused(server):
    reply = await server.request(
        'BREW', '/v1/services/desk/book', **VALID_TOKEN
    )
    assert (reply.status, reply.error()['code']) == (405, 'bad_method')
    assert 'PATCH' in reply.headers['allow'].upper()


@pytest.mark.parametrize('path', ['a/../book', './book', '/book', 'a%2fbook'])
def test_a_path_that_is_not_normalized_is_refused(path):
    refusal = service_path(b'/v1/services/desk/' + path.encode()).failure()
    assert refusal.code is ErrorCode.BAD_REQUEST


@with_server
async def test_escapes_before_the_service_path_are_decoded(server):
    path = '/v1/%73ervices/d%65sk/book'
    await server.request('POST', path, **VALID_TOKEN)
    call = server.gateway.service_calls[0]
    assert (call.service, call.path) == ('desk', '/book')


def test_needless_escapes_are_removed_from_the_path():
    path = service_path(b'/v1/services/desk/%62%6fok').unwrap()
    assert path == '/book'


def test_bytes_that_are_not_utf8_stay_escaped():
    path = service_path(b'/v1/services/desk/%ff\xfe:7?q=\xff%20').unwrap()
    assert path == '/%FF%FE:7?q=%FF%20'


@pytest.mark.parametrize(
    ('first', 'run'),
    [('true', 'not_run'), ('false', 'unknown')],
)
def test_a_retry_without_a_token_has_an_unknown_run_state(first, run):
    @with_server
    async def refused(server):
        headers = {'Idempotency-Key': 'k-1', 'X-First-Try': first}
        reply = await server.request(
            'POST', '/v1/services/desk/book', **headers
        )
        assert reply.error()['run'] == run

    refused()
