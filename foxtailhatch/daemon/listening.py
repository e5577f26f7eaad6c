"""The reactor and the listening sockets of a process."""

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet import asyncioreactor
from twisted.internet.tcp import Server
from twisted.web.server import Site

from foxtailhatch.core import Address

BACKLOG = 512


def install_reactor() -> Any:
    """Install the asyncio reactor of this process and return it.

    Call it before any other import of ``twisted.internet.reactor``.
    """
    asyncioreactor.install()
    # The first import of this name fixes the reactor of the process.
    from twisted.internet import reactor  # noqa: WPS433

    return reactor


def open_listening_socket(address: Address) -> socket.socket:
    """Return a listening socket; port 0 is replaced by a free port."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((address.host, address.port))
    listener.listen(BACKLOG)
    return listener


def serve_site(
    reactor: Any,
    listener: socket.socket,
    site: Site,
    transport_type: type[Server] = Server,
) -> Callable[[], object]:
    """Serve ``site`` on a listening socket and close the original handle.

    Its connections are of ``transport_type``.  Return the function that stops
    listening.
    """
    port = reactor.adoptStreamPort(listener.fileno(), listener.family, site)
    port.transport = transport_type
    listener.close()
    stop_listening: Callable[[], object] = port.stopListening
    return stop_listening
