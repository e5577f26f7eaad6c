"""The daemon process: reactor, listening sockets, signals and exit codes."""

import asyncio
import json
import os
import signal
import socket
import sys
from typing import Any

from returns.result import Success

from foxtailhatch.core import Address, HybridClock
from foxtailhatch.daemon.assembly import (
    build_front_site,
    configuration_loop,
    empty_blackboard,
    own_entry,
    peer_loop,
    peer_node,
)
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.daemon.entry import (
    EntryComponents,
    build_components,
    start_loops,
)
from foxtailhatch.daemon.external_systems import connect_external_systems
from foxtailhatch.daemon.guard import Guard, GuardedClock
from foxtailhatch.daemon.listening import (
    install_reactor,
    open_listening_socket,
    serve_site,
)
from foxtailhatch.daemon.logs import configure_logging
from foxtailhatch.daemon.loops import Loops
from foxtailhatch.daemon.peer_inbox import PeerInbox
from foxtailhatch.daemon.secrets import Secrets, read_secrets
from foxtailhatch.daemon.settings import Settings
from foxtailhatch.daemon.shutdown import ShutdownController
from foxtailhatch.peers import PeerNode
from foxtailhatch.startup import start_collecting_garbage

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_INVARIANT = 3
PEER_STEP_S = 0.1


def run(cfg: Settings) -> int:
    """Run one entry until its shutdown is done; return the exit code."""
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


class EntryProcess:
    """Create an entry, start it on the reactor and keep its exit code."""

    def __init__(self, cfg: Settings, secrets: Secrets, reactor: Any) -> None:
        """Keep the settings; sockets are opened by :meth:`start`."""
        self.exit_code = EXIT_OK
        self._cfg = cfg
        self._secrets = secrets
        self._reactor = reactor
        self._components: EntryComponents | None = None

    def start(self) -> None:
        """Open all sockets, then print their addresses as one line of JSON."""
        asyncio.ensure_future(self._open()).add_done_callback(
            self._handle_open_result
        )

    async def _open(self) -> None:
        cfg = self._cfg
        clock = HybridClock(cfg.instance)
        inbox = PeerInbox()
        node = peer_node(cfg, self._secrets, clock, inbox)
        peers = await node.start()
        listener = open_listening_socket(cfg.listen.callers.address())
        callers = Address(*listener.getsockname())
        own = own_entry(cfg, callers, peers)
        self._run(empty_blackboard(cfg, own, clock), node, inbox, listener)
        _print_addresses(cfg.instance, callers, peers)

    def _run(
        self,
        board: Blackboard,
        node: PeerNode,
        inbox: PeerInbox,
        listener: socket.socket,
    ) -> None:
        cfg = self._cfg
        components, configuration = self._build_components(board)
        now = self._reactor.seconds
        inbox.connect(
            components.guard,
            peer_loop(cfg, components, configuration, node, now),
        )
        site = build_front_site(
            cfg,
            self._secrets,
            components,
            configuration,
            node.counters,
            self._reactor,
        )
        components.connections.listen_with(
            serve_site(self._reactor, listener, site)
        )
        self._start(components, configuration, inbox)

    def _handle_open_result(self, opening: 'asyncio.Task[None]') -> None:
        failure = opening.exception()
        if failure is not None:
            sys.stderr.write(f'{failure}\n')
            self._abort(EXIT_SETTINGS, 'start failed')

    def _build_components(
        self,
        board: Blackboard,
    ) -> tuple[EntryComponents, ConfigurationLoop]:
        cfg = self._cfg
        guard = Guard(board, self._stop_on_invariant_violation)
        external = connect_external_systems(cfg, self._reactor)
        clock = GuardedClock(self._reactor, guard)
        components = build_components(cfg, board, external, guard, clock)
        self._components = components
        configuration = configuration_loop(
            cfg,
            components,
            external.log,
            self._reactor.seconds,
        )
        return components, configuration

    def _start(
        self,
        components: EntryComponents,
        configuration: ConfigurationLoop,
        inbox: PeerInbox,
    ) -> None:
        reactor = self._reactor
        shutdown = ShutdownController(
            components.board,
            components.running,
            reactor.seconds,
            self._stop_reactor,
            components.connections,
            components.placement.release,
        )
        loops = Loops(components.guard.invariant_broken)
        start_loops(
            loops, components, configuration, shutdown, self._cfg.periods
        )
        loops.every(PEER_STEP_S, inbox.step)

        def stop(*_: object) -> None:  # noqa: WPS430
            reactor.callFromThread(shutdown.request)

        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)
        start_collecting_garbage()

    def _stop_on_invariant_violation(self) -> None:
        self._abort(EXIT_INVARIANT, 'invariant broken')

    def _abort(self, exit_code: int, cause: str) -> None:
        self.exit_code = exit_code
        if self._components is not None:
            self._components.connections.cut(cause)
        self._stop_reactor()

    def _stop_reactor(self) -> None:
        if self._components is not None:
            self._components.record_unsent_outcomes()
        self._reactor.stop()


def _print_addresses(instance: str, callers: Address, peers: Address) -> None:
    line = {'name': instance, 'address': str(callers), 'peers': str(peers)}
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()
