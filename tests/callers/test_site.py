import pytest

from foxtailhatch.callers.errors import HTTP_STATUSES
from foxtailhatch.core import ErrorCode, Event, EventKind, HybridTimestamp
from tests.callers.http import LIMITS, read_reply, request_bytes, with_server


def test_every_error_code_has_a_status():
    assert set(HTTP_STATUSES) == set(ErrorCode)


@with_server
async def test_each_read_only_path_returns_its_document(server):
    token = {'Authorization': 'Bearer good'}
    models = await server.request('GET', '/v1/models', **token)
    assert models.json()['data'][0]['id'] == 'guide'
    entry = await server.request('GET', '/v1/entry?zone=whk-a')
    assert entry.json() == {'addresses': ['10.0.0.1:80'], 'keep_s': 30}
    assert server.gateway.requested_zone == 'whk-a'
    metrics = await server.request('GET', '/metrics')
    assert metrics.body == b'requests 1\n'
    stamp = HybridTimestamp(1.0, 0, 'entry-1')
    event = Event(stamp, EventKind.STARTED, 'entry-1')
    server.observability.events = [event]
    timeline = await server.request('GET', '/timeline?subject=req-1')
    assert timeline.json() == []
    status = await server.request('GET', '/status')
    assert status.json()['configuration_version'] == 3
    assert (await server.request('GET', '/healthz')).status == 200
    assert (await server.request('GET', '/readyz')).status == 503


CASES = (
    ('POST', '/v1/nothing', {}, b'', 404, 'unknown_path'),
    ('GET', '/v1/models/guide', {}, b'', 404, 'unknown_path'),
    ('PUT', '/v1/models', {}, b'', 405, 'bad_method'),
    ('GET', '/v1/models', {'Authorization': 'Bearer x'}, b'', 401, 'bad_token'),
    ('GET', '/v1/models', {}, b'', 401, 'bad_token'),
    ('POST', '/v1/completions', {}, b'{"model', 400, 'bad_request'),
    ('HEAD', '/v1/nothing', {}, b'', 404, None),
    ('HEAD', '/v1/completions', {}, b'', 405, None),
)


@pytest.mark.parametrize('case', CASES)
def test_a_bad_request_is_refused_as_not_run(case):
    method, path, headers, body, status, code = case

    @with_server
    async def refused(server):
        reply = await server.request(method, path, body, **headers)
        assert reply.status == status
        if method != 'HEAD':
            assert reply.error()['code'] == code
            assert reply.error()['run'] == 'not_run'

    refused()


@with_server
async def test_every_fault_of_a_body_is_listed_with_its_path(server):
    body = {'messages': [{'role': 'user', 'content': 3}], 'stream': 'yes'}
    reply = await server.post('/v1/chat/completions', body)
    message = reply.error()['message']
    for path in ('$.model:', '$.messages[0].content:', '$.stream:'):
        assert path in message


@with_server
async def test_a_bad_deadline_or_key_is_refused(server):
    body = {'model': 'm', 'prompt': ''}
    bad_deadline = await server.post(
        '/v1/completions', body, X_Deadline_Seconds='nan'
    )
    too_long = 'k' * 256
    bad_key = await server.post(
        '/v1/completions', body, Idempotency_Key=too_long
    )
    assert (bad_deadline.status, bad_key.status) == (400, 400)
    assert not server.gateway.requests


@with_server
async def test_a_large_content_length_is_refused_before_the_body_is_sent(
    server,
):
    reader, writer = await server.connect()
    size = LIMITS.body_bytes + 1
    headers = {'Content-Length': size}
    writer.write(request_bytes('POST', '/v1/completions', b'', headers))
    assert b'413' in await reader.readline()
    server.clock.advance(2)
    await reader.read(-1)
    assert server.observability.outcomes == [ErrorCode.BODY_TOO_LARGE]


@with_server
async def test_a_refused_large_body_gets_no_100_continue(server):
    reader, writer = await server.connect()
    size = LIMITS.body_bytes + 1
    headers = {'Content-Length': size, 'Expect': '100-continue'}
    writer.write(request_bytes('POST', '/v1/completions', b'', headers))
    assert b'413' in await reader.readline()
    server.clock.advance(2)
    assert b'100 Continue' not in await reader.read(-1)


@with_server
async def test_pipelined_requests_get_their_responses_in_order(server):
    reader, writer = await server.connect()
    keep = {'Connection': 'keep-alive'}
    for path in ('/healthz', '/v1/nothing'):
        writer.write(request_bytes('GET', path, b'', keep))
    writer.write(request_bytes('GET', '/readyz'))
    replies = await reader.read(-1)
    positions = [replies.index(each) for each in (b'200', b'404', b'503')]
    assert positions == sorted(positions)


@with_server
async def test_a_large_chunked_body_is_refused_at_the_limit(server):
    reader, writer = await server.connect()
    headers = b'Transfer-Encoding: chunked\r\n\r\n'
    writer.write(b'POST /v1/completions HTTP/1.1\r\n' + headers)
    writer.write(b'7d1\r\n' + b'x' * 2001 + b'\r\n')
    assert b'413' in await reader.readline()
    writer.write(b'0\r\n\r\n')
    await reader.read(-1)


@with_server
async def test_a_slow_request_is_refused(server):
    reader, writer = await server.connect()
    headers = {'Content-Length': 9}
    writer.write(request_bytes('POST', '/v1/completions', b'{', headers))
    while len(server.clock.getDelayedCalls()) < 3:
        await server.request('GET', '/status')
    server.clock.advance(LIMITS.body_timeout_s)
    server.clock.advance(2)
    reply = await read_reply(reader)
    assert reply.error()['code'] == 'body_too_slow'
