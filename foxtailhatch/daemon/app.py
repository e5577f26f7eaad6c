"""The daemon's process: reactor, ports, signals and exit codes."""

import json
import os
import signal
import socket
import sys
from typing import Any

from returns.result import Success
from twisted.internet import asyncioreactor
from twisted.web.server import Site

from foxtailhatch.core import Address
from foxtailhatch.daemon.assembly import (
    configuration_loop,
    empty_blackboard,
    front_site,
    own_entry,
)
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.daemon.entry import EntryParts, join_parts, start_loops
from foxtailhatch.daemon.guard import Guard, GuardedClock
from foxtailhatch.daemon.logs import configure_logging
from foxtailhatch.daemon.loops import Loops
from foxtailhatch.daemon.outside import connect_outside
from foxtailhatch.daemon.secrets import Secrets, read_secrets
from foxtailhatch.daemon.settings import Settings
from foxtailhatch.daemon.stopping import Stopping

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_INVARIANT = 3
BACKLOG = 512


def run(cfg: Settings) -> int:
    """Run one entry until its planned stop is done; return the exit code."""
    secrets = read_secrets(cfg, os.environ)
    if not isinstance(secrets, Success):
        sys.stderr.write(f'{secrets.failure()}\n')
        return EXIT_SETTINGS
    configure_logging(sys.stderr)
    reactor = install_reactor()
    process = EntryProcess(cfg, secrets.unwrap(), reactor)
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

    def __init__(self, cfg: Settings, secrets: Secrets, reactor: Any) -> None:
        """Prepare the process; nothing listens yet."""
        self.exit_code = EXIT_OK
        self._cfg = cfg
        self._secrets = secrets
        self._reactor = reactor

    def start(self) -> None:
        """Listen, start the loops and print the first line."""
        cfg = self._cfg
        listener = bound_socket(cfg.listen.callers.address())
        address = Address(*listener.getsockname())
        parts, following = self._join(address)
        self._listen(
            listener,
            front_site(cfg, self._secrets, parts, following, self._reactor),
        )
        self._start(parts, following)
        _announce(cfg.instance, address)

    def _join(self, address: Address) -> tuple[EntryParts, ConfigurationLoop]:
        cfg = self._cfg
        board = empty_blackboard(cfg, own_entry(cfg, address))
        guard = Guard(board, self._broken)
        outside = connect_outside(cfg, self._reactor)
        clock = GuardedClock(self._reactor, guard)
        parts = join_parts(cfg, board, outside, guard, clock)
        following = configuration_loop(
            cfg,
            parts,
            outside.log,
            self._reactor.seconds,
        )
        return parts, following

    def _listen(self, listener: socket.socket, site: Site) -> None:
        self._reactor.adoptStreamPort(
            listener.fileno(),
            listener.family,
            site,
        )
        listener.close()

    def _start(
        self,
        parts: EntryParts,
        following: ConfigurationLoop,
    ) -> None:
        reactor = self._reactor
        stopping = Stopping(
            parts.board,
            parts.running,
            reactor.seconds,
            reactor.stop,
        )
        loops = Loops(parts.guard.invariant_broken)
        start_loops(loops, parts, following, stopping, self._cfg.periods)

        def stop(*_: object) -> None:  # noqa: WPS430
            reactor.callFromThread(stopping.ask)

        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)

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


def _announce(instance: str, address: Address) -> None:
    line = {'name': instance, 'address': str(address)}
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()
