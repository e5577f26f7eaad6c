"""The daemon's process: reactor, ports, signals and exit codes."""

import json
import os
import signal
import socket
import sys
import time
from typing import Any

from returns.result import Success
from twisted.internet import asyncioreactor

from foxtailhatch.core import Address
from foxtailhatch.daemon.entry import RunningEntry, build_entry
from foxtailhatch.daemon.logs import configure_logging
from foxtailhatch.daemon.secrets import read_secrets
from foxtailhatch.daemon.settings import Settings
from foxtailhatch.membership import Entry

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_INVARIANT = 3
MILLISECONDS = 1000
BACKLOG = 512


def run(cfg: Settings) -> int:
    """Run one entry until its planned stop is done; return the exit code."""
    secrets = read_secrets(cfg, os.environ)
    if not isinstance(secrets, Success):
        sys.stderr.write(f'{secrets.failure()}\n')
        return EXIT_SETTINGS
    configure_logging(sys.stderr)
    reactor = install_reactor()
    process = EntryProcess(cfg, reactor)
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)
    return process.exit_code


def install_reactor() -> Any:
    """Install the asyncio reactor of this process and return it."""
    asyncioreactor.install()
    # Twisted binds this name at its first import.
    from twisted.internet import reactor  # noqa: WPS433

    return reactor


class EntryProcess:
    """The entry that this process runs."""

    def __init__(self, cfg: Settings, reactor: Any) -> None:
        """Prepare the process; nothing listens yet."""
        self.exit_code = EXIT_OK
        self.entry: RunningEntry | None = None
        self._cfg = cfg
        self._reactor = reactor

    def start(self) -> None:
        """Listen, start the loops and print the first line."""
        listener = bound_socket(self._cfg.listen.callers.address())
        address = Address(*listener.getsockname())
        own = _own_entry(self._cfg, address)
        entry = build_entry(self._cfg, own, self._reactor, self._broken)
        self.entry = entry
        self._reactor.adoptStreamPort(
            listener.fileno(),
            listener.family,
            entry.site,
        )
        listener.close()
        entry.start(self._cfg)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._signalled)
        line = {'name': self._cfg.instance, 'address': str(address)}
        sys.stdout.write(f'{json.dumps(line)}\n')
        sys.stdout.flush()

    def _signalled(self, *_: object) -> None:
        if self.entry is not None:
            self._reactor.callFromThread(self.entry.stopping.ask)

    def _broken(self) -> None:
        self.exit_code = EXIT_INVARIANT
        self._reactor.stop()


def bound_socket(address: Address) -> socket.socket:
    """Return a listening socket, so that a port of 0 becomes known."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((address.host, address.port))
    listener.listen(BACKLOG)
    return listener


def _own_entry(cfg: Settings, listening: Address) -> Entry:
    advertised = cfg.advertise
    callers = advertised.callers.address() if advertised else listening
    peers = (advertised or cfg.listen).peers.address()
    return Entry(
        cfg.instance,
        callers,
        peers,
        cfg.availability_zone,
        cfg.region,
        incarnation=int(time.time() * MILLISECONDS),
    )
