"""The process of the router: sockets, periodic loops and signals."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable
from random import Random
from typing import Any

from foxtailhatch.core import Address, InvariantViolation
from foxtailhatch.daemon.listening import (
    install_reactor,
    open_listening_socket,
    serve_site,
)
from foxtailhatch.daemon.loops import Loops
from foxtailhatch.router.adapter import AdapterFactory, ReloadSettings
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.caller_transport import CallerTransport
from foxtailhatch.router.components import RouterComponents, build_components
from foxtailhatch.router.feed_site import feed_site
from foxtailhatch.router.http_frontend import FrontendFactory
from foxtailhatch.router.line_writer import NonBlockingLineWriter
from foxtailhatch.router.loop_load import SAMPLE_PERIOD_S
from foxtailhatch.router.settings import RouterSettings
from foxtailhatch.router.single_page_site import page_site
from foxtailhatch.router.store_outage import REVIEW_PERIOD_S
from foxtailhatch.router.twisted_errors import log_twisted_errors
from foxtailhatch.startup import start_collecting_garbage

EXIT_OK = 0
EXIT_INVARIANT = 3
EXIT_LISTEN = 4
# Periods of the loops.  A heartbeat is due every 1.5 s and sooner after a change;
# the leader lease lapses after three failed calls.
HEARTBEAT_CHECK_PERIOD_S = 0.25
LEASE_RENEWAL_PERIOD_S = 0.4
REACH_CHECK_PERIOD_S = 0.1
PLACEMENT_PERIOD_S = 0.1
CRASH_WATCH_PERIOD_S = 0.1
CLEANUP_PERIOD_S = 5.0
SHUTDOWN_CHECK_PERIOD_S = 0.25
STOPPING_CHECK_PERIOD_S = 0.05
# Period of the loops of placement and crashes while they have nothing to do.  An
# entry that idles costs processor time with each step of a loop.
IDLE_PERIOD_S = 0.2
# Callers reuse connections for most of the idle timeout that is announced to
# them; the configuration may announce a longer one later.
IDLE_TIMEOUT_S = 60.0
TEXT_TYPE = b'text/plain'
JSON_TYPE = b'application/json'


def run_router(
    cfg: RouterSettings,
    make_adapter: AdapterFactory,
    reload_settings: ReloadSettings,
) -> int:
    """Run a router until its planned stop and return the exit code."""
    reactor = install_reactor()
    process = RouterProcess(cfg, make_adapter, reactor, reload_settings)
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)
    return process.exit_code


def boot_time_clock() -> float:
    """Return seconds since boot, including time while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RouterProcess:
    """The router of this process, with its listeners, loops and signals."""

    def __init__(
        self,
        cfg: RouterSettings,
        make_adapter: AdapterFactory,
        reactor: Any,
        reload_settings: ReloadSettings,
    ) -> None:
        """Create the components; ``start`` opens the listeners."""
        self.exit_code = EXIT_OK
        self._cfg = cfg
        self._adapter = make_adapter(reactor)
        self._reactor = reactor
        self._reload_settings = reload_settings
        self._output = NonBlockingLineWriter(sys.stdout.fileno())
        self._loops = Loops(self._on_invariant_broken)
        self._components = build_components(
            Blackboard(cfg, boot_time_clock),
            self._adapter,
            reactor,
            self._output.write_line,
            Random(),
        )
        self._log = self._components.log

    def start(self) -> None:
        """Install signal handlers, open all listeners and start all loops."""
        log_twisted_errors(self._log, self._on_invariant_broken)
        # Connections may wait from the moment at which a listener is open.
        self._install_signal_handlers()
        try:
            self._open_listeners(self._components)
        except OSError as exc:
            # Whoever restarts the process can tell; half of its addresses
            # would refuse all requests for good.
            self._log.write('listen_failed', why=str(exc))
            self._stop(EXIT_LISTEN)
            return
        self._start_loops(self._components)
        start_collecting_garbage()
        self._log.write('start', pid=os.getpid(), zone=self._cfg.zone)

    def _install_signal_handlers(self) -> None:
        stop = self._signal_handler(self._on_stop_signal)
        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)
        signal.signal(
            signal.SIGHUP, self._signal_handler(self._on_reload_signal)
        )

    def _open_listeners(self, components: RouterComponents) -> None:
        cfg = self._cfg
        pages = components.pages
        adapter = self._adapter
        self._listen(
            cfg.callers_address,
            FrontendFactory(components.request_handler, IDLE_TIMEOUT_S),
        )
        self._listen(
            cfg.ready_address,
            page_site(adapter.ready_path, pages.ready, TEXT_TYPE),
        )
        self._listen(
            cfg.advice_address,
            page_site(adapter.advice_path, pages.advice, JSON_TYPE),
        )
        self._listen(
            cfg.metrics_address,
            page_site(b'metrics', pages.metrics, TEXT_TYPE),
        )
        self._listen(
            cfg.peer_address,
            feed_site(
                components.board,
                components.state_sync.mirror,
                components.heartbeats,
                components.log,
            ),
        )

    def _start_loops(self, components: RouterComponents) -> None:
        components.state_sync.start(self._loops)
        for period_s, step in (
            (HEARTBEAT_CHECK_PERIOD_S, components.heartbeat),
            (LEASE_RENEWAL_PERIOD_S, components.maintain_lease),
            (REACH_CHECK_PERIOD_S, components.watch_reach),
            (REVIEW_PERIOD_S, components.lapse_review.step),
            (CLEANUP_PERIOD_S, components.observation_cleanup.step),
            (SAMPLE_PERIOD_S, components.board.sample_load),
        ):
            self._loops.every(period_s, step)
        self._loops.repeat(
            self._crash_watch_pause_s, components.crash_watch.step
        )
        self._loops.repeat(self._shutdown_pause_s, self._check_shutdown)
        self._loops.repeat(
            self._placement_pause_s, components.placement_controller.step
        )
        components.stream_watches.start(self._loops)

    def _placement_pause_s(self) -> float:
        may_order = self._components.lease.may_order(boot_time_clock())
        return PLACEMENT_PERIOD_S if may_order else IDLE_PERIOD_S

    def _shutdown_pause_s(self) -> float:
        is_stopping = self._components.board.stop_requested_at is not None
        return (
            STOPPING_CHECK_PERIOD_S if is_stopping else SHUTDOWN_CHECK_PERIOD_S
        )

    def _crash_watch_pause_s(self) -> float:
        is_idle = self._components.crash_watch.is_idle
        return IDLE_PERIOD_S if is_idle else CRASH_WATCH_PERIOD_S

    async def _check_shutdown(self) -> None:
        self._output.flush()
        self._components.shutdown.check(boot_time_clock())
        if self._components.shutdown.is_over:
            self._loops.stop()
            self._reactor.stop()

    def _listen(self, address: str, factory: Any) -> None:
        if not address:
            return
        host, _, port = address.rpartition(':')
        listener = open_listening_socket(Address(host, int(port)))
        serve_site(self._reactor, listener, factory, CallerTransport)

    def _signal_handler(
        self, callback: Callable[[], None]
    ) -> Callable[..., None]:
        return lambda *_: self._reactor.callFromThread(callback)

    def _on_reload_signal(self) -> None:
        self._log.write('reload', outcome=str(self._reload_settings()))

    def _on_stop_signal(self) -> None:
        if self._components.shutdown.request_stop():
            asyncio.ensure_future(self._announce_stop())

    async def _announce_stop(self) -> None:
        # The store may be slow to take the heartbeat.
        await asyncio.gather(
            self._components.heartbeat(),
            self._components.lease.hand_over(),
        )

    def _on_invariant_broken(self, exc: InvariantViolation) -> None:
        self._log.write(
            'invariant_broken',
            invariant=exc.invariant.value,
            evidence=exc.evidence,
        )
        self._components.shutdown.log_pending('invariant_broken')
        self._stop(EXIT_INVARIANT)

    def _stop(self, exit_code: int) -> None:
        self.exit_code = exit_code
        self._output.flush()
        self._reactor.stop()
