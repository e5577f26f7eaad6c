import pytest

from foxtailhatch.callers.errors import HTTP_STATUSES
from foxtailhatch.core import ErrorCode, Event, EventKind, HybridTimestamp
from tests.callers.http import LIMITS, read_reply, request_bytes, with_server


def test_every_code_has_a_status():
    assert set(HTTP_STATUSES) == set(ErrorCode)


@with_server
async def test_each_listing_answers(server):
    good = {'Authorization': 'Bearer good'}
    models = await server.ask('GET', '/v1/models', **good)
    assert models.json()['data'][0]['id'] == 'guide'
    entry = await server.ask('GET', '/v1/entry?zone=whk-a')
    assert entry.json() == {'addresses': ['10.0.0.1:80'], 'keep_s': 30}
    assert server.gateway.asked_zone == 'whk-a'
    metrics = await server.ask('GET', '/metrics')
    assert metrics.body == b'requests 1\n'
    stamp = HybridTimestamp(1.0, 0, 'entry-1')
    event = Event(stamp, EventKind.STARTED, 'entry-1')
    server.observability.events = [event]
    timeline = await server.ask('GET', '/timeline?subject=req-1')
    assert timeline.json() == []
    status = await server.ask('GET', '/status')
    assert status.json()['configuration_version'] == 3
    assert (await server.ask('GET', '/healthz')).status == 200
    assert (await server.ask('GET', '/readyz')).status == 503


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
        reply = await server.ask(method, path, body, **headers)
        assert reply.status == status
        if method != 'HEAD':
            assert reply.error()['code'] == code
            assert reply.error()['run'] == 'not_run'

    refused()


@with_server
async def test_every_fault_of_a_body_is_named_with_its_path(server):
    body = {'messages': [{'role': 'user', 'content': 3}], 'stream': 'yes'}
    reply = await server.post('/v1/chat/completions', body)
    message = reply.error()['message']
    for path in ('$.model:', '$.messages[0].content:', '$.stream:'):
        assert path in message


@with_server
async def test_a_bad_deadline_or_key_is_refused(server):
    ask = {'model': 'm', 'prompt': ''}
    late = await server.post('/v1/completions', ask, X_Deadline_Seconds='nan')
    long = 'k' * 256
    key = await server.post('/v1/completions', ask, Idempotency_Key=long)
    assert (late.status, key.status) == (400, 400)
    assert not server.gateway.generated


@with_server
async def test_an_announced_large_body_is_refused_before_it_is_sent(server):
    reader, writer = await server.connect()
    size = LIMITS.body_bytes + 1
    headers = {'Content-Length': size}
    writer.write(request_bytes('POST', '/v1/completions', b'', headers))
    assert b'413' in await reader.readline()
    server.clock.advance(2)
    await reader.read(-1)
    assert server.observability.ended == [ErrorCode.BODY_TOO_LARGE]


@with_server
async def test_a_refused_large_body_is_not_asked_for(server):
    reader, writer = await server.connect()
    size = LIMITS.body_bytes + 1
    headers = {'Content-Length': size, 'Expect': '100-continue'}
    writer.write(request_bytes('POST', '/v1/completions', b'', headers))
    assert b'413' in await reader.readline()
    server.clock.advance(2)
    assert b'100 Continue' not in await reader.read(-1)


@with_server
async def test_requests_on_one_connection_get_their_own_answers(server):
    reader, writer = await server.connect()
    keep = {'Connection': 'keep-alive'}
    for path in ('/healthz', '/v1/nothing'):
        writer.write(request_bytes('GET', path, b'', keep))
    writer.write(request_bytes('GET', '/readyz'))
    replies = await reader.read(-1)
    found = [replies.index(each) for each in (b'200', b'404', b'503')]
    assert found == sorted(found)


@with_server
async def test_a_large_body_in_chunks_is_refused_with_its_first_excess(server):
    reader, writer = await server.connect()
    headers = b'Transfer-Encoding: chunked\r\n\r\n'
    writer.write(b'POST /v1/completions HTTP/1.1\r\n' + headers)
    writer.write(b'7d1\r\n' + b'x' * 2001 + b'\r\n')
    assert b'413' in await reader.readline()
    writer.write(b'0\r\n\r\n')
    await reader.read(-1)


@with_server
async def test_a_slow_sender_is_refused(server):
    reader, writer = await server.connect()
    headers = {'Content-Length': 9}
    writer.write(request_bytes('POST', '/v1/completions', b'{', headers))
    while len(server.clock.getDelayedCalls()) < 3:
        await server.ask('GET', '/status')
    server.clock.advance(LIMITS.body_timeout_s)
    server.clock.advance(2)
    reply = await read_reply(reader)
    assert reply.error()['code'] == 'body_too_slow'
