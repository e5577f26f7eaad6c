"""Nodes and raw websocket clients on the loopback interface, for tests."""

import asyncio
from contextlib import asynccontextmanager
from functools import wraps

import cbor2
from websockets.asyncio.client import connect

from foxtailhatch.core import Address, HybridClock
from foxtailhatch.peers import PeerIdentity, PeerNode, PeerSettings
from foxtailhatch.peers.handshake import ClientHandshake

KEY = b'a key that all entries share'
TEST_TIMEOUT_S = 20
RAW_CLIENT = PeerIdentity('raw', Address('127.0.0.1', 9))


def run_on_loop(test):
    """Run a coroutine test on its own event loop, with a time limit."""

    @wraps(test)
    def run(*args, **kwargs):
        bounded = asyncio.wait_for(test(*args, **kwargs), TEST_TIMEOUT_S)
        return asyncio.run(bounded)

    return run


class Peer:
    """A node that queues its received messages and unreachable addresses."""

    def __init__(self, name, key=KEY, links_max=32, wall=lambda: 100.0):
        self.messages = asyncio.Queue()
        self.unreachable = asyncio.Queue()
        self.clock = HybridClock(name)
        identity = PeerIdentity(name, Address('127.0.0.1', 0))
        self.node = PeerNode(
            PeerSettings(identity, key, links_max),
            self.clock,
            lambda peer, message: self.messages.put_nowait((peer, message)),
            self.unreachable.put_nowait,
            wall,
        )

    @property
    def address(self):
        return self.node.identity.address


@asynccontextmanager
async def running_peers(*peers):
    """Start the peers, and stop them on exit."""
    for peer in peers:
        await peer.node.start()
    try:
        yield peers
    finally:
        for peer in peers:
            await peer.node.stop()


async def raw_connection(peer):
    """Connect to a node without a handshake."""
    address = peer.address
    return await connect(
        f'ws://{address.host}:{address.port}',
        proxy=None,
        compression=None,
    )


async def raw_authenticated(peer, key=KEY):
    """Connect and authenticate; return the connection and the server."""
    conn = await raw_connection(peer)
    handshake = ClientHandshake(key, RAW_CLIENT, b'n' * 32)
    await conn.send(handshake.hello)
    proof, authenticated = handshake.answer(await conn.recv())
    await conn.send(proof)
    authenticated.authenticators.incoming.verify(await conn.recv())
    return conn, authenticated


def cbor(value):
    """Return a value encoded as CBOR, without any validation."""
    return cbor2.dumps(value)
