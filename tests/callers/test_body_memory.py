"""What the bodies of all requests take together."""

import asyncio
from contextlib import suppress

from foxtailhatch.core import ErrorCode
from foxtailhatch.relay.body_memory import BodyMemory
from tests.callers.http import read_reply, request_bytes, with_server

PATH = '/v1/completions'
BODY = b'x' * 1500
ROOM_FOR = 3
HEADERS = {'Authorization': 'Bearer good'}


def _bodies(server, limit_bytes):
    """Return the memory of a server, with another limit."""
    context = server.listening.factory.requestFactory.args[0]
    memory: BodyMemory = context.bodies
    memory._limit_bytes = limit_bytes
    return memory


async def _until(condition):
    while not condition():
        await asyncio.sleep(0)


async def _send_part(server, memory):
    """Send a request but for the last byte of its body."""
    held = memory.held_bytes
    reader, writer = await server.connect()
    writer.write(request_bytes('POST', PATH, BODY, HEADERS)[:-1])
    await _until(lambda: memory.held_bytes == held + len(BODY) - 1)
    return reader, writer


# Guards against requests that never end on many connections, each within its
# limit, whose bodies filled the memory together.
@with_server
async def test_all_bodies_together_keep_within_the_memory(server):
    memory = _bodies(server, ROOM_FOR * len(BODY))
    waiting = [await _send_part(server, memory) for _ in range(ROOM_FOR)]
    reply = await server.request('POST', PATH, BODY, **HEADERS)
    assert reply.status == 503
    assert reply.error()['code'] == ErrorCode.QUEUE_FULL
    assert reply.error()['run'] == 'not_run'
    assert 'memory' in reply.error()['message']
    assert reply.headers['retry-after'] == '1'
    assert memory.held_bytes == ROOM_FOR * (len(BODY) - 1)
    assert server.observability.outcomes == [ErrorCode.QUEUE_FULL]
    # A request that was there before is served when it is complete.
    reader, writer = waiting[0]
    writer.write(BODY[-1:])
    assert (await read_reply(reader)).status == 400
    for _, each in waiting:
        each.close()
    await _until(lambda: memory.held_bytes == 0)


# Guards against memory that is not given back, whatever the end of a request.
@with_server
async def test_the_memory_of_a_body_is_given_back(server):
    memory = _bodies(server, 100 * len(BODY))
    assert (await server.post(PATH, {'model': 1})).status == 400
    assert (await server.request('POST', PATH, b'x' * 9000)).status == 413
    _, lost = await _send_part(server, memory)
    lost.close()
    await _until(lambda: memory.held_bytes == 0)
    slow_reader, slow_writer = await _send_part(server, memory)
    server.clock.advance(10)
    assert (await read_reply(slow_reader)).status == 408
    slow_writer.close()
    await _until(lambda: memory.held_bytes == 0)


# Guards against heads without end, of many lines or of one.
@with_server
async def test_a_head_without_end_ends_its_connection(server):
    for line in (b'a: b\r\n', b'a: ' + b'b' * 9000 + b'\r\n', b'x' * 9000):
        reader, writer = await server.connect()
        writer.write(b'GET /healthz HTTP/1.1\r\n' + line * 3000)
        # The server's clock stands still, so that no timeout ends it.
        with suppress(ConnectionError):
            await reader.read(-1)
        assert reader.at_eof() or reader.exception() is not None
        writer.transport.abort()


# Guards against requests without end behind one that is being served.
@with_server
async def test_input_behind_a_request_is_not_read_without_end(server):
    reader, writer = await server.connect()
    document = b'{"model":"guide","prompt":"x"}'
    writer.write(request_bytes('POST', PATH, document, HEADERS))
    await _until(lambda: server.gateway.requests)
    (channel,) = server.connections._channels
    writer.write(b'x' * 10_000_000)
    await _until(lambda: any(channel._dataBuffer))
    for _ in range(200):
        await asyncio.sleep(0)
    assert sum(map(len, channel._dataBuffer)) < 1_000_000
    writer.transport.abort()
