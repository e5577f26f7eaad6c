import asyncio

import pytest
from websockets.exceptions import ConnectionClosed

from foxtailhatch.core import (
    Address,
    Invariant,
    InvariantBroken,
    Stamp,
)
from foxtailhatch.peers import (
    ConfigurationPush,
    ConfigurationRequest,
    PeerSettings,
    SendOutcome,
    encode,
    link,
)
from foxtailhatch.peers.link import MESSAGE_MAX_BYTES
from tests.peers.network import (
    KEY,
    RAW_CLIENT,
    Peer,
    cbor,
    on_loop,
    raw_connection,
    raw_proven,
    running,
)

ASK = ConfigurationRequest(7)
STAMP = Stamp(100.0, 0, 'raw')


async def closed(conn):
    """Wait until the other side has closed; fail if it sends anything."""
    with pytest.raises(ConnectionClosed):
        await conn.recv()


@on_loop
async def test_peers_talk_both_ways_over_one_link():
    async with running(Peer('a'), Peer('b')) as (one, other):
        one.node.send(other.address, ASK)
        peer, message = await other.messages.get()
        assert (peer, message) == (one.node.identity, ASK)
        other.node.send(peer.address, ConfigurationPush(8, 3, b'body'))
        _, answer = await one.messages.get()
        assert answer == ConfigurationPush(8, 3, b'body')
        assert (one.node.link_count(), other.node.link_count()) == (1, 1)


@on_loop
async def test_a_configuration_of_megabytes_passes_after_the_proof():
    body = b'x' * 3_000_000
    async with running(Peer('a'), Peer('b')) as (one, other):
        one.node.send(other.address, ConfigurationPush(8, 3, body))
        _, message = await other.messages.get()
        assert message.body == body


@on_loop
async def test_a_client_with_another_key_is_refused():
    async with running(Peer('a', key=b'wrong'), Peer('b')) as (one, other):
        one.node.send(other.address, ASK)
        assert await one.unreachable.get() == other.address
        assert one.node.link_count() == 0
        assert other.node.counters.links_opened == 0
        assert other.messages.empty()


@on_loop
async def test_a_client_that_forges_its_proof_is_refused():
    async with running(Peer('a')) as (peer,):
        conn = await raw_connection(peer)
        await conn.send(cbor([1, 'raw', '127.0.0.1', 9, b'n' * 32]))
        await conn.recv()
        await conn.send(b'p' * 32)
        await closed(conn)
        assert peer.node.counters.links_refused == 1


@pytest.mark.parametrize(
    'frame',
    [b'', b'\xff\xff', cbor([1, 'raw']), cbor({}), b'\x81' * 500],
)
@on_loop
async def test_garbage_in_place_of_a_hello_is_refused(frame):
    async with running(Peer('a')) as (peer,):
        conn = await raw_connection(peer)
        await conn.send(frame)
        await closed(conn)
        assert peer.node.counters.links_refused == 1


@on_loop
async def test_a_stranger_cannot_send_large_frames():
    async with running(Peer('a')) as (peer,):
        conn = await raw_connection(peer)
        await conn.send(b'x' * 10_000)
        await closed(conn)
        assert conn.close_code == 1009


@on_loop
async def test_a_stranger_that_says_nothing_is_dropped(monkeypatch):
    monkeypatch.setattr('foxtailhatch.peers.node.HANDSHAKE_TIMEOUT_S', 0.02)
    async with running(Peer('a')) as (peer,):
        conn = await raw_connection(peer)
        await closed(conn)
        assert peer.node.counters.links_refused == 1


@on_loop
async def test_strangers_take_no_more_than_their_places(monkeypatch):
    monkeypatch.setattr('foxtailhatch.peers.node.UNPROVEN_MAX', 0)
    monkeypatch.setattr('foxtailhatch.peers.node.HANDSHAKE_TIMEOUT_S', 1e6)
    async with running(Peer('a')) as (peer,):
        await closed(await raw_connection(peer))


@on_loop
async def test_garbage_from_a_proven_peer_is_counted_and_survived():
    async with running(Peer('a')) as (peer,):
        conn, proven = await raw_proven(peer)
        for frame in (b'\xff', cbor([1, 2, 3]), encode(ASK, STAMP)):
            await conn.send(proven.seals.outgoing.seal(frame))
        _, message = await peer.messages.get()
        assert message == ASK
        assert peer.node.counters.frames_rejected == 2


@on_loop
async def test_a_frame_sent_twice_ends_the_link():
    async with running(Peer('a')) as (peer,):
        conn, proven = await raw_proven(peer)
        frame = proven.seals.outgoing.seal(encode(ASK, STAMP))
        await conn.send(frame)
        await conn.send(frame)
        await closed(conn)
        assert peer.messages.qsize() == 1


@on_loop
async def test_an_oversize_frame_of_a_proven_peer_ends_the_link():
    async with running(Peer('a')) as (peer,):
        conn, _ = await raw_proven(peer)
        await conn.send(b'x' * (MESSAGE_MAX_BYTES + 1))
        await closed(conn)
        assert conn.close_code == 1009


@on_loop
async def test_a_link_that_went_silent_is_closed_and_opened_anew(monkeypatch):
    monkeypatch.setattr(link, 'IDLE_TIMEOUT_S', 0.05)
    async with running(Peer('a'), Peer('b')) as (one, other):
        conn, _ = await raw_proven(other)
        await closed(conn)
        assert other.node.link_count() == 0
        one.node.send(other.address, ASK)
        await other.messages.get()


@on_loop
async def test_a_fresh_link_replaces_the_open_one():
    async with running(Peer('a'), Peer('b')) as (one, other):
        one.node.send(other.address, ASK)
        await other.messages.get()
        one.node.send(other.address, ASK, reconnect=True)
        await other.messages.get()
        assert one.node.counters.links_opened == 2
        assert one.node.link_count() == 1


@on_loop
async def test_links_beyond_the_bound_are_closed_oldest_first():
    peers = [Peer('a', links_max=2), Peer('b'), Peer('c'), Peer('d')]
    async with running(*peers) as (one, *others):
        for other in others:
            one.node.send(other.address, ASK)
            await other.messages.get()
        assert one.node.link_count() == 2


@on_loop
async def test_a_link_beyond_the_bound_is_closed_and_not_just_forgotten():
    async with running(Peer('a', links_max=1)) as (peer,):
        first, _ = await raw_proven(peer)
        await raw_proven(peer)
        await closed(first)


@on_loop
async def test_an_address_where_nobody_listens_is_told():
    async with running(Peer('a'), Peer('b')) as (one, other):
        gone = other.address
        await other.node.stop()
        one.node.send(gone, ASK)
        assert await one.unreachable.get() == gone


@on_loop
async def test_a_node_opens_no_link_with_itself():
    async with running(Peer('a')) as (peer,):
        peer.node.send(peer.address, ASK)
        assert await peer.unreachable.get() == peer.address


@on_loop
async def test_a_message_moves_the_hybrid_clock_of_the_receiver():
    ahead = Peer('a', wall=lambda: 130.0)
    async with running(ahead, Peer('b')) as (one, other):
        one.node.send(other.address, ASK)
        await other.messages.get()
        assert other.clock.tick(100.0).wall == 130.0


@on_loop
async def test_a_clock_far_ahead_does_not_take_others_along():
    astray = Peer('a', wall=lambda: 9e9)
    async with running(astray, Peer('b')) as (one, other):
        one.node.send(other.address, ASK)
        await other.messages.get()
        assert other.clock.tick(101.0).wall == 101.0


@on_loop
async def test_a_broken_invariant_in_a_listener_reaches_the_loop():
    async with running(Peer('a'), Peer('b')) as (one, other):
        seen = asyncio.Queue()
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: seen.put_nowait(context['exception']),
        )

        def broken(peer, message):
            raise InvariantBroken(Invariant.AT_MOST_ONCE, 'told twice')

        other.node._on_message = broken
        one.node.send(other.address, ASK)
        assert isinstance(await seen.get(), InvariantBroken)


@on_loop
async def test_a_stopped_node_takes_no_message():
    async with running(Peer('a'), Peer('b')) as (one, other):
        await one.node.stop()
        assert one.node.send(other.address, ASK) is SendOutcome.STOPPED


@on_loop
async def test_messages_for_a_link_that_is_not_open_wait_in_a_bounded_queue():
    unread = Address('127.0.0.1', 9)
    async with running(Peer('a')) as (one,):
        outcomes = [one.node.send(unread, ASK) for _ in range(200)]
        assert outcomes.count(SendOutcome.QUEUED) == 64
        assert one.node.counters.messages_dropped == 136


def test_settings_that_are_printed_do_not_show_the_key():
    settings = PeerSettings(RAW_CLIENT, KEY)
    assert KEY.decode() not in repr(settings)
