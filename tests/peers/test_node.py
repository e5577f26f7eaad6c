import asyncio

import pytest
from websockets.exceptions import ConnectionClosed

from foxtailhatch.core import (
    Address,
    HybridTimestamp,
    Invariant,
    InvariantViolation,
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
    raw_authenticated,
    raw_connection,
    run_on_loop,
    running_peers,
)

ASK = ConfigurationRequest(7)
STAMP = HybridTimestamp(100.0, 0, 'raw')


async def wait_closed(conn):
    """Wait until the peer closes; fail if it sends a frame."""
    with pytest.raises(ConnectionClosed):
        await conn.recv()


@run_on_loop
async def test_peers_exchange_messages_over_one_link():
    async with running_peers(Peer('a'), Peer('b')) as (one, other):
        one.node.send(other.address, ASK)
        peer, message = await other.messages.get()
        assert (peer, message) == (one.node.identity, ASK)
        other.node.send(peer.address, ConfigurationPush(8, 3, b'body'))
        _, answer = await one.messages.get()
        assert answer == ConfigurationPush(8, 3, b'body')
        assert (one.node.link_count(), other.node.link_count()) == (1, 1)


@run_on_loop
async def test_authenticated_peer_may_send_a_large_configuration():
    body = b'x' * 3_000_000
    async with running_peers(Peer('a'), Peer('b')) as (one, other):
        one.node.send(other.address, ConfigurationPush(8, 3, body))
        _, message = await other.messages.get()
        assert message.body == body


@run_on_loop
async def test_a_client_with_another_key_is_refused():
    async with running_peers(Peer('a', key=b'wrong'), Peer('b')) as (
        one,
        other,
    ):
        one.node.send(other.address, ASK)
        assert await one.unreachable.get() == other.address
        assert one.node.link_count() == 0
        assert other.node.counters.links_opened == 0
        assert other.messages.empty()


@run_on_loop
async def test_client_with_a_forged_proof_is_refused():
    async with running_peers(Peer('a')) as (peer,):
        conn = await raw_connection(peer)
        await conn.send(cbor([1, 'raw', '127.0.0.1', 9, b'n' * 32]))
        await conn.recv()
        await conn.send(b'p' * 32)
        await wait_closed(conn)
        assert peer.node.counters.links_refused == 1


@pytest.mark.parametrize(
    'frame',
    [b'', b'\xff\xff', cbor([1, 'raw']), cbor({}), b'\x81' * 500],
)
@run_on_loop
async def test_malformed_hello_is_refused(frame):
    async with running_peers(Peer('a')) as (peer,):
        conn = await raw_connection(peer)
        await conn.send(frame)
        await wait_closed(conn)
        assert peer.node.counters.links_refused == 1


@run_on_loop
async def test_unauthenticated_client_cannot_send_large_frames():
    async with running_peers(Peer('a')) as (peer,):
        conn = await raw_connection(peer)
        await conn.send(b'x' * 10_000)
        await wait_closed(conn)
        assert conn.close_code == 1009


@run_on_loop
async def test_silent_unauthenticated_client_times_out(monkeypatch):
    monkeypatch.setattr('foxtailhatch.peers.node.HANDSHAKE_TIMEOUT_S', 0.02)
    async with running_peers(Peer('a')) as (peer,):
        conn = await raw_connection(peer)
        await wait_closed(conn)
        assert peer.node.counters.links_refused == 1


@run_on_loop
async def test_unauthenticated_connections_are_limited(monkeypatch):
    monkeypatch.setattr('foxtailhatch.peers.node.UNAUTHENTICATED_MAX', 0)
    monkeypatch.setattr('foxtailhatch.peers.node.HANDSHAKE_TIMEOUT_S', 1e6)
    async with running_peers(Peer('a')) as (peer,):
        await wait_closed(await raw_connection(peer))


@run_on_loop
async def test_malformed_frames_of_an_authenticated_peer_are_counted():
    async with running_peers(Peer('a')) as (peer,):
        conn, authenticated = await raw_authenticated(peer)
        for frame in (b'\xff', cbor([1, 2, 3]), encode(ASK, STAMP)):
            await conn.send(authenticated.authenticators.outgoing.sign(frame))
        _, message = await peer.messages.get()
        assert message == ASK
        assert peer.node.counters.frames_rejected == 2


@run_on_loop
async def test_replayed_frame_closes_the_link():
    async with running_peers(Peer('a')) as (peer,):
        conn, authenticated = await raw_authenticated(peer)
        frame = authenticated.authenticators.outgoing.sign(encode(ASK, STAMP))
        await conn.send(frame)
        await conn.send(frame)
        await wait_closed(conn)
        assert peer.messages.qsize() == 1


@run_on_loop
async def test_oversized_frame_of_an_authenticated_peer_closes_the_link():
    async with running_peers(Peer('a')) as (peer,):
        conn, _ = await raw_authenticated(peer)
        await conn.send(b'x' * (MESSAGE_MAX_BYTES + 1))
        await wait_closed(conn)
        assert conn.close_code == 1009


@run_on_loop
async def test_idle_link_is_closed_and_other_links_still_open(monkeypatch):
    monkeypatch.setattr(link, 'IDLE_TIMEOUT_S', 0.05)
    async with running_peers(Peer('a'), Peer('b')) as (one, other):
        conn, _ = await raw_authenticated(other)
        await wait_closed(conn)
        assert other.node.link_count() == 0
        one.node.send(other.address, ASK)
        await other.messages.get()


@run_on_loop
async def test_reconnect_replaces_the_open_link():
    async with running_peers(Peer('a'), Peer('b')) as (one, other):
        one.node.send(other.address, ASK)
        await other.messages.get()
        one.node.send(other.address, ASK, reconnect=True)
        await other.messages.get()
        assert one.node.counters.links_opened == 2
        assert one.node.link_count() == 1


@run_on_loop
async def test_number_of_links_is_limited():
    peers = [Peer('a', links_max=2), Peer('b'), Peer('c'), Peer('d')]
    async with running_peers(*peers) as (one, *others):
        for other in others:
            one.node.send(other.address, ASK)
            await other.messages.get()
        assert one.node.link_count() == 2


@run_on_loop
async def test_evicted_link_is_closed():
    async with running_peers(Peer('a', links_max=1)) as (peer,):
        first, _ = await raw_authenticated(peer)
        await raw_authenticated(peer)
        await wait_closed(first)


@run_on_loop
async def test_address_without_a_listener_is_reported_unreachable():
    async with running_peers(Peer('a'), Peer('b')) as (one, other):
        gone = other.address
        await other.node.stop()
        one.node.send(gone, ASK)
        assert await one.unreachable.get() == gone


@run_on_loop
async def test_node_opens_no_link_with_itself():
    async with running_peers(Peer('a')) as (peer,):
        peer.node.send(peer.address, ASK)
        assert await peer.unreachable.get() == peer.address


@run_on_loop
async def test_message_advances_the_hybrid_clock_of_the_receiver():
    ahead = Peer('a', wall=lambda: 130.0)
    async with running_peers(ahead, Peer('b')) as (one, other):
        one.node.send(other.address, ASK)
        await other.messages.get()
        assert other.clock.tick(100.0).wall == 130.0


@run_on_loop
async def test_timestamp_far_ahead_does_not_advance_the_clock():
    peer_ahead = Peer('a', wall=lambda: 9e9)
    async with running_peers(peer_ahead, Peer('b')) as (one, other):
        one.node.send(other.address, ASK)
        await other.messages.get()
        assert other.clock.tick(101.0).wall == 101.0


@run_on_loop
async def test_exception_of_the_listener_reaches_the_loop_handler():
    async with running_peers(Peer('a'), Peer('b')) as (one, other):
        seen = asyncio.Queue()
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: seen.put_nowait(context['exception']),
        )

        def broken(peer, message):
            raise InvariantViolation(Invariant.AT_MOST_ONCE, 'sent twice')

        other.node._on_message = broken
        one.node.send(other.address, ASK)
        assert isinstance(await seen.get(), InvariantViolation)


@run_on_loop
async def test_stopped_node_sends_no_message():
    async with running_peers(Peer('a'), Peer('b')) as (one, other):
        await one.node.stop()
        assert one.node.send(other.address, ASK) is SendOutcome.STOPPED


@run_on_loop
async def test_messages_for_an_opening_link_wait_in_a_bounded_queue():
    unread = Address('127.0.0.1', 9)
    async with running_peers(Peer('a')) as (one,):
        outcomes = [one.node.send(unread, ASK) for _ in range(200)]
        assert outcomes.count(SendOutcome.QUEUED) == 64
        assert one.node.counters.messages_dropped == 136


def test_repr_of_settings_hides_the_key():
    settings = PeerSettings(RAW_CLIENT, KEY)
    assert KEY.decode() not in repr(settings)
