"""The reactor and the listening socket of the daemon's process."""

import socket
from typing import Any

from twisted.internet import asyncioreactor
from twisted.web.server import Site

from foxtailhatch.core import Address

BACKLOG = 512


def install_reactor() -> Any:
    """Install the asyncio reactor of this process and return it."""
    asyncioreactor.install()
    # Twisted binds this name at its first import.
    from twisted.internet import reactor  # noqa: WPS433

    return reactor


def open_listening_socket(address: Address) -> socket.socket:
    """Return a listening socket, so that a port of 0 becomes known."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((address.host, address.port))
    listener.listen(BACKLOG)
    return listener


def serve_site(reactor: Any, listener: socket.socket, site: Site) -> None:
    """Serve a site on a socket that listens already."""
    reactor.adoptStreamPort(listener.fileno(), listener.family, site)
    listener.close()
