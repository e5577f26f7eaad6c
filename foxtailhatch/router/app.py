"""The router's process: sockets, loops and signals."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable
from random import Random
from typing import Any

from foxtailhatch.core import Address, InvariantBroken
from foxtailhatch.daemon.listening import (
    bound_socket,
    install_reactor,
    serve_on,
)
from foxtailhatch.daemon.loops import Loops
from foxtailhatch.router.adapter import AdapterFactory, Reload
from foxtailhatch.router.components import RouterComponents, build_components
from foxtailhatch.router.feed_site import feed_site
from foxtailhatch.router.http_frontend import FrontendFactory
from foxtailhatch.router.line_writer import NonBlockingLineWriter
from foxtailhatch.router.router_state import RouterState
from foxtailhatch.router.settings import RouterSettings
from foxtailhatch.router.single_page_site import page_site
from foxtailhatch.router.twisted_errors import log_twisted_errors

EXIT_OK = 0
EXIT_INVARIANT = 3
# Pauses between steps.  Source: a heartbeat is due each 1.5 s and sooner after a
# change; the turn lapses after three calls that fail.
HEARTBEAT_LOOK_S = 0.25
LEASE_RENEWAL_PERIOD_S = 0.4
PLAN_PERIOD_S = 0.1
STALL_PERIOD_S = 0.05
STOP_PERIOD_S = 0.1
# Callers reuse connections for most of the time they are told of; the
# configuration may name a longer one than this later.
IDLE_TIMEOUT_S = 60.0
TEXT = b'text/plain'
JSON = b'application/json'


def run_router(
    cfg: RouterSettings,
    make_adapter: AdapterFactory,
    reload: Reload,
) -> int:
    """Run one router until its planned stop; return the exit code."""
    reactor = install_reactor()
    process = RouterProcess(cfg, make_adapter, reactor, reload)
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)
    return process.exit_code


def boot_time_clock() -> float:
    """Return seconds that go on while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RouterProcess:
    """The router that this process runs."""

    def __init__(
        self,
        cfg: RouterSettings,
        make_adapter: AdapterFactory,
        reactor: Any,
        reload: Reload,
    ) -> None:
        """Join the parts; nothing listens yet."""
        self.exit_code = EXIT_OK
        self._cfg = cfg
        self._adapter = make_adapter(reactor)
        self._reactor = reactor
        self._reload = reload
        self._output = NonBlockingLineWriter(sys.stdout.fileno())
        self._loops = Loops(self._broken)
        self._parts = build_components(
            RouterState(cfg, boot_time_clock),
            self._adapter,
            reactor,
            self._output.emit,
            Random(),
        )
        self._log = self._parts.log

    def start(self) -> None:
        """Listen, and start all loops."""
        log_twisted_errors(self._log, self._broken)
        self._listen_to_all(self._parts)
        self._start_loops(self._parts)
        signal.signal(signal.SIGTERM, self._signalled(self._stop_asked))
        signal.signal(signal.SIGINT, self._signalled(self._stop_asked))
        signal.signal(signal.SIGHUP, self._signalled(self._reload_asked))
        self._log.write('start', pid=os.getpid(), zone=self._cfg.zone)

    def _listen_to_all(self, parts: RouterComponents) -> None:
        cfg = self._cfg
        pages = parts.pages
        adapter = self._adapter
        self._listen(
            cfg.callers_address,
            FrontendFactory(parts.door, IDLE_TIMEOUT_S),
        )
        self._listen(
            cfg.ready_address,
            page_site(adapter.ready_path, pages.ready, TEXT),
        )
        self._listen(
            cfg.advice_address,
            page_site(adapter.advice_path, pages.advice, JSON),
        )
        self._listen(
            cfg.metrics_address,
            page_site(b'metrics', pages.metrics, TEXT),
        )
        self._listen(
            cfg.peer_address,
            feed_site(parts.board, parts.state_sync.mirror, parts.heartbeats),
        )

    def _start_loops(self, parts: RouterComponents) -> None:
        parts.state_sync.start(self._loops)
        every = self._loops.every
        every(HEARTBEAT_LOOK_S, parts.heartbeat)
        every(LEASE_RENEWAL_PERIOD_S, parts.maintain_lease)
        every(PLAN_PERIOD_S, parts.placement_controller.step)
        every(STALL_PERIOD_S, parts.stalls.step)
        every(STOP_PERIOD_S, self._look)

    async def _look(self) -> None:
        self._output.flush()
        self._parts.stop.look(boot_time_clock())
        if self._parts.stop.is_over:
            self._loops.stop()
            self._reactor.stop()

    def _listen(self, address: str, factory: Any) -> None:
        if not address:
            return
        host, _, port = address.rpartition(':')
        listener = bound_socket(Address(host, int(port)))
        serve_on(self._reactor, listener, factory)

    def _signalled(self, act: Callable[[], None]) -> Callable[..., None]:
        return lambda *_: self._reactor.callFromThread(act)

    def _reload_asked(self) -> None:
        self._log.write('reload', outcome=str(self._reload()))

    def _stop_asked(self) -> None:
        if self._parts.stop.ask():
            asyncio.ensure_future(self._leave())

    async def _leave(self) -> None:
        await self._parts.heartbeat()
        if self._parts.lease.is_held:
            await self._parts.lease.release()

    def _broken(self, exc: InvariantBroken) -> None:
        self._log.write(
            'invariant_broken',
            invariant=exc.invariant.value,
            evidence=exc.evidence,
        )
        self.exit_code = EXIT_INVARIANT
        self._output.flush()
        self._reactor.stop()
