import json

from foxtailhatch.core import ErrorCode
from tests.callers.http import LIMITS, request_bytes, with_front

STREAM = json.dumps({'model': 'm', 'prompt': '', 'stream': True}).encode()
MANY_TOKENS = 100_000


async def start_unread(front):
    """Fill the connection of a caller that reads nothing."""
    reader, writer = await front.connect()
    reader._transport.pause_reading()
    headers = {'Authorization': 'Bearer good'}
    request = request_bytes('POST', '/v1/completions', STREAM, headers)
    writer.write(request)

    def script(req, sink):
        for index in range(MANY_TOKENS):
            sink.token(index, 97)

    front.gateway.script = script
    await front.gateway.answer.until('pause')
    return reader, writer


@with_front
async def test_a_full_buffer_pauses_and_an_empty_one_resumes(front):
    reader, _writer = await start_unread(front)
    reader._transport.resume_reading()
    while 'resume' not in front.gateway.answer.asked:
        assert await reader.read(2**20)
    front.clock.advance(LIMITS.slow_caller_s)
    assert front.gateway.answer.asked == ['pause', 'resume']


@with_front
async def test_a_caller_that_reads_nothing_is_cut_off(front):
    _reader, _writer = await start_unread(front)
    front.clock.advance(LIMITS.slow_caller_s)
    assert front.gateway.answer.asked == ['pause', 'cancel']
    assert front.observability.ended == [ErrorCode.SLOW_CALLER]
