"""What the registry of callers' connections knows of each answer."""

import asyncio
import socket

from returns.result import Success

from foxtailhatch.callers.connections import CutReason
from foxtailhatch.core import ErrorCode, Refusal
from foxtailhatch.outside import ServiceResponse
from tests.callers.http import read_reply, request_bytes, with_server

CALL = '/v1/services/desk/echo'
TOKEN = {'Authorization': 'Bearer good'}
KEEP = {**TOKEN, 'Connection': 'keep-alive'}
STOPPING = Refusal(ErrorCode.SHUTTING_DOWN, 'This entry is shutting down.')
# More than the system buffers of both ends take.
LARGE = b'x' * 16_000_000


async def until(holds):
    while not holds():
        await asyncio.sleep(0)


async def connect_slow_reader(server):
    conn = socket.socket()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    conn.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(conn, ('127.0.0.1', server.port))
    return await asyncio.open_connection(sock=conn, limit=1024)


async def call_for_large_answer(server, headers):
    server.gateway.service_outcome = Success(
        ServiceResponse(200, LARGE, 'text/plain')
    )
    reader, writer = await connect_slow_reader(server)
    writer.write(request_bytes('GET', CALL, b'', headers))
    await until(lambda: server.observability.outcomes)
    return reader, writer


# An answer counted as given as soon as it was written to the transport.
@with_server
async def test_answer_is_pending_until_the_transport_has_taken_all(server):
    reader, writer = await call_for_large_answer(server, KEEP)
    assert server.connections.pending() == 1
    assert not server.delivered
    head = await reader.readuntil(b'\r\n\r\n')
    await reader.readexactly(len(LARGE))
    await until(lambda: not server.connections.pending())
    assert server.delivered[0].encode() in head
    writer.close()
    await until(lambda: not server.connections.has_open())
    assert not server.cut


# An answer that its caller left unread looked like a complete one.
@with_server
async def test_answer_that_the_caller_leaves_is_recorded_as_cut(server):
    reader, writer = await call_for_large_answer(server, KEEP)
    head = await reader.readuntil(b'\r\n\r\n')
    writer.transport.abort()
    await until(lambda: server.cut)
    subject, reason, _ = server.cut[0]
    assert subject.encode() in head
    assert reason is CutReason.NOT_DELIVERED
    assert not server.delivered


# The rest of an unread answer was dropped with the connection.
@with_server
async def test_closing_connection_hands_over_the_answer_first(server):
    reader, writer = await call_for_large_answer(server, KEEP)
    server.connections.closing = True
    server.connections.close_idle()
    await reader.readuntil(b'\r\n\r\n')
    await reader.readexactly(len(LARGE))
    await until(lambda: server.delivered)
    server.connections.close_idle()
    assert await reader.read(-1) == b''
    assert not server.cut


# Unread input made the closed socket reset, and the answer was lost.
@with_server
async def test_input_behind_the_last_answer_does_not_reset_it(server):
    reader, writer = await call_for_large_answer(server, TOKEN)
    writer.write(request_bytes('GET', '/healthz'))
    await reader.readuntil(b'\r\n\r\n')
    assert await reader.read(-1) == LARGE
    await until(lambda: server.delivered)


@with_server
async def test_closing_connection_ends_when_its_caller_does_not(server):
    reader, writer = await server.connect()
    writer.write(request_bytes('GET', '/healthz'))
    assert (await read_reply(reader)).status == 200
    assert server.connections.has_open()
    server.clock.advance(2)
    assert not server.connections.has_open()
    assert not server.connections.pending()


# A caller that was still sending a refused body met a broken pipe after two seconds.
@with_server
async def test_refused_body_that_is_sent_on_is_read(server):
    reader, writer = await server.connect()
    headers = {**KEEP, 'Content-Length': 10**9}
    writer.write(request_bytes('POST', CALL, b'x', headers))
    reply = await read_reply(reader)
    assert reply.error()['code'] == 'body_too_large'
    (channel,) = server.connections._channels
    for _ in range(4):
        server.clock.advance(1.5)
        channel.dataReceived(b'x')
        assert server.connections.has_open()
    server.clock.advance(2)
    assert not server.connections.has_open()


# A caller that sends on for ever must not hold up a stop.
@with_server
async def test_refused_body_is_not_read_for_ever(server):
    reader, writer = await server.connect()
    headers = {**KEEP, 'Content-Length': 10**9}
    writer.write(request_bytes('POST', CALL, b'x', headers))
    await read_reply(reader)
    (channel,) = server.connections._channels
    for _ in range(9):
        server.clock.advance(1)
        channel.dataReceived(b'x')
    assert server.connections.has_open()
    server.clock.advance(1)
    assert not server.connections.has_open()


# A request whose body was on its way was not counted at all.
@with_server
async def test_incomplete_request_is_pending_until_it_is_refused(server):
    reader, writer = await server.connect()
    headers = {**KEEP, 'Content-Length': 9}
    writer.write(request_bytes('POST', CALL, b'x', headers))
    await until(server.connections.pending)
    server.connections.refuse_incomplete(STOPPING)
    reply = await read_reply(reader)
    writer.write(b'x' * 8)
    assert (reply.status, reply.headers['connection']) == (503, 'close')
    assert reply.error()['run'] == 'not_run'
    assert not server.connections.pending()
    assert server.observability.outcomes == [ErrorCode.SHUTTING_DOWN]
    assert not server.gateway.service_calls
    assert not server.cut


@with_server
async def test_incomplete_request_line_is_refused_as_well(server):
    reader, writer = await server.connect()
    writer.write(b'POST /v1/serv')
    await until(server.connections.pending)
    server.connections.refuse_incomplete(STOPPING)
    assert (await read_reply(reader)).error()['code'] == 'shutting_down'


@with_server
async def test_complete_request_is_not_refused_as_incomplete(server):
    reader, writer = await server.connect()
    gate = asyncio.Event()

    async def answer_later(req):
        await gate.wait()
        return server.gateway.service_outcome

    server.gateway.call_service = answer_later
    writer.write(request_bytes('GET', CALL, b'', TOKEN))
    await until(server.connections.pending)
    server.connections.refuse_incomplete(STOPPING)
    server.connections.close_idle()
    gate.set()
    assert (await read_reply(reader)).status == 201


# A request behind one in progress must not be dropped once it was read.
@with_server
async def test_request_read_behind_another_is_answered_when_closing(server):
    reader, writer = await server.connect()
    server.connections.closing = True
    requests = request_bytes('GET', '/healthz', b'', KEEP) * 2
    writer.write(requests)
    replies = await reader.read(-1)
    assert replies.count(b'HTTP/1.1 200 OK') == 2
    assert replies.lower().count(b'connection: close') == 1


@with_server
async def test_request_after_the_last_answer_is_logged_as_not_read(server):
    reader, writer = await server.connect()
    writer.write(request_bytes('GET', '/healthz'))
    await read_reply(reader)
    writer.write(request_bytes('GET', '/healthz'))
    await until(lambda: server.cut)
    assert [reason for _, reason, _ in server.cut] == [CutReason.NOT_READ]


# A process that ended early left no trace of the requests that it cut.
@with_server
async def test_cut_names_each_pending_request_once(server):
    _, incomplete = await server.connect()
    headers = {**KEEP, 'Content-Length': 9}
    incomplete.write(request_bytes('POST', CALL, b'x', headers))
    await until(server.connections.pending)
    await call_for_large_answer(server, KEEP)
    assert server.connections.cut('invariant broken') == 2
    assert {(reason, cause) for _, reason, cause in server.cut} == {
        (CutReason.INCOMPLETE, 'invariant broken'),
        (CutReason.NOT_DELIVERED, 'invariant broken'),
    }
    server.abort_connections()
    await until(lambda: not server.connections.has_open())
    assert len(server.cut) == 2


# A caller that never reads its last answer would hold a stop for ever.
@with_server
async def test_caller_that_takes_nothing_is_cut(server):
    reader, writer = await call_for_large_answer(server, TOKEN)
    while not server.cut:
        server.clock.advance(60)
        await asyncio.sleep(0)
    assert server.cut[0][1] is CutReason.NOT_DELIVERED


# A caller that reads on is not cut, however long its answer takes.
@with_server
async def test_caller_that_goes_on_reading_is_not_cut(server):
    reader, writer = await call_for_large_answer(server, TOKEN)
    await reader.readuntil(b'\r\n\r\n')
    for _ in range(8):
        server.clock.advance(60)
        await reader.readexactly(len(LARGE) // 8)
    await until(lambda: server.delivered)
    assert not server.cut
