"""What callers get on connections that a planned stop finds in use."""

import asyncio
import signal
import socket

import pytest

from tests.soak_router.client import HOST
from tests.soak_router.planned_world import PlannedWorld
from tests.soak_router.test_router import run_scenario

BODY_BYTES = 1_000_000
PIECES = 40
PIECE_PAUSE_S = 0.1
# More than the system's own buffers take, so that the transport holds a part.
ANSWER_BYTES = 5_000_000
READ_BYTES_PER_S = 600_000
RECEIVE_BUFFER_BYTES = 32_768
# A stream that takes longer than the grace period of a stop.
STREAM_EVENTS = 110
STREAM_INTERVAL_MS = 100


def head(request_id, path, length=None, model=None):
    method = 'GET' if length is None else 'POST'
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Foxtailhatch-Request-Id: {request_id}',
        'Foxtailhatch-Deadline-Ms: 20000',
        'Authorization: Bearer key',
    ]
    if length is not None:
        lines.append(f'Content-Length: {length}')
    if model is not None:
        lines.append(f'Foxtailhatch-Model: {model}')
        lines.append(f'Foxtailhatch-Token-Usage: 100,{STREAM_EVENTS}')
    return '\r\n'.join([*lines, '', '']).encode()


async def connect(router, receive_buffer=None):
    """Return a connected socket; the buffer is set before the handshake."""
    host, _, port = router.address.rpartition(':')
    sock = socket.socket()
    if receive_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


async def read_all(sock, bytes_per_s=None):
    """Read to the end of the connection, at a limited rate."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    received = bytearray()
    while True:
        chunk = await loop.sock_recv(sock, 65_536)
        if not chunk:
            return bytes(received)
        received += chunk
        if bytes_per_s is not None:
            due_at = began_at + len(received) / bytes_per_s
            await asyncio.sleep(max(0, due_at - loop.time()))


def bodies(raw):
    """Return the bodies of whole responses that follow one another."""
    found = []
    while raw:
        fields, _, rest = raw.partition(b'\r\n\r\n')
        length = int(
            fields.lower().partition(b'content-length: ')[2].split(b'\r\n')[0]
        )
        assert len(rest) >= length
        found.append((int(fields.split(b' ')[1]), rest[:length]))
        raw = rest[length:]
    return found


async def stop(router):
    router.signal(signal.SIGTERM)
    return asyncio.ensure_future(asyncio.to_thread(router.process.wait, 15))


# Guards against answers that are dropped with the process, as they count as given
# once they are written to the transport.
def test_planned_stop_waits_until_a_slow_caller_has_read(tmp_path):
    async def scenario(world):
        world.pool.bodies['/read/x'] = b'a' * ANSWER_BYTES
        router = world.routers[0]
        sock = await connect(router, RECEIVE_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, head('q1', '/read/x'))
        reading = asyncio.ensure_future(read_all(sock, READ_BYTES_PER_S))
        await asyncio.sleep(0.3)
        code = await stop(router)
        assert [
            (status, len(body)) for status, body in bodies(await reading)
        ] == [(200, ANSWER_BYTES)]
        assert await code == 0

    run_scenario(tmp_path, scenario)


# Guards against callers that get no answer and no refusal, as the process ends
# while their bodies are on their way.
def test_planned_stop_refuses_a_body_that_takes_too_long(tmp_path):
    async def scenario(world):
        router = world.routers[0]
        sock = await connect(router)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, head('q1', '/once/x', BODY_BYTES))
        code = None
        for index in range(PIECES):
            if index == 3:
                code = await stop(router)
            await loop.sock_sendall(sock, b'x' * (BODY_BYTES // PIECES))
            await asyncio.sleep(PIECE_PAUSE_S)
        ((status, body),) = bodies(await read_all(sock))
        assert (status, body) == (503, b'{"error":"stopping"}')
        assert world.pool.runs['q1'] == 0
        sock.close()
        assert await code == 0

    run_scenario(tmp_path, scenario)


# Guards against a second request that is read and then dropped, as the answer to
# the one before it closes the connection.
def test_planned_stop_answers_requests_that_were_sent_at_once(tmp_path):
    async def scenario(world):
        router = world.routers[0]
        code = await stop(router)
        await asyncio.sleep(0.3)
        sock = await connect(router)
        loop = asyncio.get_running_loop()
        sent = head('q1', '/read/x') + head('q2', '/read/x')
        await loop.sock_sendall(sock, sent)
        found = bodies(await read_all(sock))
        assert found == [(200, b'done'), (200, b'done')]
        sock.close()
        assert await code == 0

    run_scenario(tmp_path, scenario)


# Guards against a request that is read and then lost, as the stream before it takes
# longer than the grace period of a stop.
def test_planned_stop_leaves_a_request_behind_a_long_stream_unread(tmp_path):
    async def scenario(world):
        router = world.routers[0]
        sock = await connect(router)
        loop = asyncio.get_running_loop()
        stream_id = f'q1-s{STREAM_EVENTS}x{STREAM_INTERVAL_MS}ms'
        sent = head(stream_id, '/m/x', model='m') + head('q2', '/once/0', 0)
        await loop.sock_sendall(sock, sent)
        received = await loop.sock_recv(sock, 65_536)
        assert received.startswith(b'HTTP/1.1 200')
        code = await stop(router)
        with pytest.raises(ConnectionResetError):
            await read_all(sock)
        sock.close()
        assert await code == 0
        assert world.pool.runs['q2'] == 0
        assert '"why":"behind_cut_answer"' in router.log_text()

    run_scenario(tmp_path, scenario, world_type=planned_world)


def planned_world(folder):
    return PlannedWorld(folder, 1)
