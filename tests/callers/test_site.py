import pytest

from foxtailhatch.callers.errors import STATUSES
from foxtailhatch.core import ErrorCode, Event, EventKind, HybridTimestamp
from tests.callers.http import LIMITS, read_reply, request_bytes, with_front


def test_every_code_has_a_status():
    assert set(STATUSES) == set(ErrorCode)


@with_front
async def test_each_listing_answers(front):
    good = {'Authorization': 'Bearer good'}
    models = await front.ask('GET', '/v1/models', **good)
    assert models.json()['data'][0]['id'] == 'guide'
    entry = await front.ask('GET', '/v1/entry?zone=whk-a')
    assert entry.json() == {'addresses': ['10.0.0.1:80'], 'keep_s': 30}
    assert front.gateway.asked_zone == 'whk-a'
    metrics = await front.ask('GET', '/metrics')
    assert metrics.body == b'requests 1\n'
    stamp = HybridTimestamp(1.0, 0, 'entry-1')
    event = Event(stamp, EventKind.STARTED, 'entry-1')
    front.observability.events = [event]
    timeline = await front.ask('GET', '/timeline?subject=req-1')
    assert timeline.json() == []
    status = await front.ask('GET', '/status')
    assert status.json()['configuration_version'] == 3
    assert (await front.ask('GET', '/healthz')).status == 200
    assert (await front.ask('GET', '/readyz')).status == 503


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

    @with_front
    async def refused(front):
        reply = await front.ask(method, path, body, **headers)
        assert reply.status == status
        if method != 'HEAD':
            assert reply.error()['code'] == code
            assert reply.error()['run'] == 'not_run'

    refused()


@with_front
async def test_every_fault_of_a_body_is_named_with_its_path(front):
    body = {'messages': [{'role': 'user', 'content': 3}], 'stream': 'yes'}
    reply = await front.post('/v1/chat/completions', body)
    message = reply.error()['message']
    for path in ('$.model:', '$.messages[0].content:', '$.stream:'):
        assert path in message


@with_front
async def test_a_bad_deadline_or_key_is_refused(front):
    ask = {'model': 'm', 'prompt': ''}
    late = await front.post('/v1/completions', ask, X_Deadline_Seconds='nan')
    long = 'k' * 256
    key = await front.post('/v1/completions', ask, Idempotency_Key=long)
    assert (late.status, key.status) == (400, 400)
    assert not front.gateway.generated


@with_front
async def test_an_announced_large_body_is_refused_before_it_is_sent(front):
    reader, writer = await front.connect()
    size = LIMITS.body_bytes + 1
    headers = {'Content-Length': size}
    writer.write(request_bytes('POST', '/v1/completions', b'', headers))
    assert b'413' in await reader.readline()
    front.clock.advance(2)
    await reader.read(-1)
    assert front.observability.ended == [ErrorCode.BODY_TOO_LARGE]


@with_front
async def test_a_refused_large_body_is_not_asked_for(front):
    reader, writer = await front.connect()
    size = LIMITS.body_bytes + 1
    headers = {'Content-Length': size, 'Expect': '100-continue'}
    writer.write(request_bytes('POST', '/v1/completions', b'', headers))
    assert b'413' in await reader.readline()
    front.clock.advance(2)
    assert b'100 Continue' not in await reader.read(-1)


@with_front
async def test_requests_on_one_connection_get_their_own_answers(front):
    reader, writer = await front.connect()
    keep = {'Connection': 'keep-alive'}
    for path in ('/healthz', '/v1/nothing'):
        writer.write(request_bytes('GET', path, b'', keep))
    writer.write(request_bytes('GET', '/readyz'))
    replies = await reader.read(-1)
    found = [replies.index(each) for each in (b'200', b'404', b'503')]
    assert found == sorted(found)


@with_front
async def test_a_large_body_in_chunks_is_refused_with_its_first_excess(front):
    reader, writer = await front.connect()
    headers = b'Transfer-Encoding: chunked\r\n\r\n'
    writer.write(b'POST /v1/completions HTTP/1.1\r\n' + headers)
    writer.write(b'7d1\r\n' + b'x' * 2001 + b'\r\n')
    assert b'413' in await reader.readline()
    writer.write(b'0\r\n\r\n')
    await reader.read(-1)


@with_front
async def test_a_slow_sender_is_refused(front):
    reader, writer = await front.connect()
    headers = {'Content-Length': 9}
    writer.write(request_bytes('POST', '/v1/completions', b'{', headers))
    while len(front.clock.getDelayedCalls()) < 3:
        await front.ask('GET', '/status')
    front.clock.advance(LIMITS.body_timeout_s)
    front.clock.advance(2)
    reply = await read_reply(reader)
    assert reply.error()['code'] == 'body_too_slow'
