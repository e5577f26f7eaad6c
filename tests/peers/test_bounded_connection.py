"""What a node accepts of strangers and peers beside whole messages."""

import asyncio
from contextlib import suppress

import pytest
from websockets.exceptions import ConnectionClosed

from foxtailhatch.peers.bounded_connection import (
    CONTROL_FRAMES_MAX,
    STRANGERS_MAX,
)
from tests.peers.network import (
    Peer,
    raw_authenticated,
    raw_connection,
    run_on_loop,
    running_peers,
)


async def _open(peer):
    address = peer.address
    return await asyncio.open_connection(address.host, address.port)


async def _read_end(reader):
    """Read until the other side ends the connection."""
    received = b''
    with suppress(ConnectionError):
        while chunk := await reader.read(1000):
            received += chunk
    return received


# Guards against connections that ask for nothing, whose number had no limit.
@run_on_loop
async def test_connections_that_ask_for_nothing_are_limited():
    async with running_peers(Peer('a')) as (peer,):
        waiting = [await _open(peer) for _ in range(STRANGERS_MAX)]
        late_reader, late_writer = await _open(peer)
        assert await _read_end(late_reader) == b''
        assert peer.node.counters.links_refused == 1
        for _, writer in waiting:
            writer.close()
        late_writer.close()


# Guards against heads of strangers that take a megabyte each.
@run_on_loop
async def test_a_large_head_ends_its_connection():
    async with running_peers(Peer('a')) as (peer,):
        reader, writer = await _open(peer)
        header = b'a: ' + b'b' * 1000 + b'\r\n'
        writer.write(b'GET / HTTP/1.1\r\n' + header * 8)
        assert await _read_end(reader) == b''
        assert peer.node.counters.links_refused == 1
        writer.close()


# Guards against pings without end, each of whose replies is kept until it is
# read.
@pytest.mark.parametrize('connect', [raw_connection, raw_authenticated])
@run_on_loop
async def test_control_frames_without_end_end_the_connection(connect):
    async with running_peers(Peer('a')) as (peer,):
        opened = await connect(peer)
        conn = opened if connect is raw_connection else opened[0]
        with pytest.raises(ConnectionClosed):
            for _ in range(10 * CONTROL_FRAMES_MAX):
                await (await conn.ping())


# Guards against empty parts of a message, which no limit on its size counts.
@run_on_loop
async def test_a_message_in_parts_ends_the_connection():
    async with running_peers(Peer('a')) as (peer,):
        conn, _ = await raw_authenticated(peer)
        with suppress(ConnectionClosed):
            await conn.send([b'', b'', b''])
        with pytest.raises(ConnectionClosed) as closed:
            await conn.recv()
        assert closed.value.rcvd is None


# Guards against messages that begin on all links, each within its limit, and
# fill the memory together.
@run_on_loop
async def test_messages_that_arrive_keep_within_the_memory():
    async with running_peers(Peer('a')) as (peer,):
        memory = peer.node._limits.memory
        memory._limit_bytes = 400_000
        opened = [(await raw_authenticated(peer))[0] for _ in range(3)]
        for conn in opened:
            # The beginning of a frame of 3,000,000 bytes.
            head = b'\x82\xff' + (3_000_000).to_bytes(8, 'big') + b'mask'
            conn.transport.write(head + b'x' * 140_000)
        while not peer.node.counters.links_refused:
            await asyncio.sleep(0)
        assert memory.held_bytes <= 300_000
        assert peer.node.counters.links_refused == 1
        for conn in opened:
            conn.transport.abort()
        while memory.held_bytes:
            await asyncio.sleep(0)
