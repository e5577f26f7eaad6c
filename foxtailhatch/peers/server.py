"""Open and accept websocket connections between peers, with limits."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve

from foxtailhatch.core import Address
from foxtailhatch.peers.bounded_connection import ConnectionLimits
from foxtailhatch.peers.handshake import HANDSHAKE_MAX_BYTES

OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
PING_INTERVAL_S = 10.0
PING_TIMEOUT_S = 10.0
FRAMES_READ_AHEAD = 4

# Unauthenticated clients can fail handshakes at any rate, so failures are
# counted in the metrics and not logged.
_SILENT_LOGGER = logging.getLogger('foxtailhatch.peers.websockets')
_SILENT_LOGGER.addHandler(logging.NullHandler())
_SILENT_LOGGER.propagate = False


async def listen(
    address: Address,
    on_connection: Callable[[ServerConnection], Awaitable[None]],
    limits: ConnectionLimits,
) -> Server:
    """Listen for peers; port 0 selects a free port."""
    create_connection: Any = limits.server
    return await serve(
        on_connection,
        address.host,
        address.port,
        compression=None,
        logger=_SILENT_LOGGER,
        max_size=HANDSHAKE_MAX_BYTES,
        max_queue=FRAMES_READ_AHEAD,
        open_timeout=OPEN_TIMEOUT_S,
        close_timeout=CLOSE_TIMEOUT_S,
        # Only the side that opened a connection sends pings.
        ping_interval=None,
        server_header=None,
        create_connection=create_connection,
    )


async def dial(address: Address, limits: ConnectionLimits) -> ClientConnection:
    """Open a connection to a peer; errors of the library propagate."""
    create_connection: Any = limits.client
    host = f'[{address.host}]' if ':' in address.host else address.host
    return await connect(
        f'ws://{host}:{address.port}',
        compression=None,
        logger=_SILENT_LOGGER,
        max_size=HANDSHAKE_MAX_BYTES,
        max_queue=FRAMES_READ_AHEAD,
        open_timeout=OPEN_TIMEOUT_S,
        close_timeout=CLOSE_TIMEOUT_S,
        ping_interval=PING_INTERVAL_S,
        ping_timeout=PING_TIMEOUT_S,
        proxy=None,
        user_agent_header=None,
        create_connection=create_connection,
    )
