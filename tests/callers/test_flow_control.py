import json

from foxtailhatch.core import ErrorCode
from tests.callers.http import LIMITS, request_bytes, with_server

STREAM = json.dumps({'model': 'm', 'prompt': '', 'stream': True}).encode()
MANY_TOKENS = 100_000


async def start_without_reading(server):
    """Fill the send buffer of a caller that reads nothing."""
    reader, writer = await server.connect()
    reader._transport.pause_reading()
    headers = {'Authorization': 'Bearer good'}
    request = request_bytes('POST', '/v1/completions', STREAM, headers)
    writer.write(request)

    def script(req, sink):
        for index in range(MANY_TOKENS):
            sink.token(index, 97)

    server.gateway.script = script
    await server.gateway.answer.wait_for('pause')
    return reader, writer


@with_server
async def test_a_full_send_buffer_pauses_and_an_empty_one_resumes(server):
    reader, _writer = await start_without_reading(server)
    reader._transport.resume_reading()
    while 'resume' not in server.gateway.answer.calls:
        assert await reader.read(2**20)
    server.clock.advance(LIMITS.slow_caller_s)
    assert server.gateway.answer.calls == ['pause', 'resume']


@with_server
async def test_a_caller_that_reads_nothing_is_disconnected(server):
    _reader, _writer = await start_without_reading(server)
    server.clock.advance(LIMITS.slow_caller_s)
    assert server.gateway.answer.calls == ['pause', 'cancel']
    assert server.observability.outcomes == [ErrorCode.SLOW_CALLER]
