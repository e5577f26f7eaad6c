"""The router's process: sockets, loops, signals and the planned stop."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from foxtailhatch.core import Address, InvariantBroken
from foxtailhatch.daemon.listening import (
    bound_socket,
    install_reactor,
    serve_on,
)
from foxtailhatch.daemon.loops import Loops
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement.protocols import Engines
from foxtailhatch.relay.decision_log import BoundedLog
from foxtailhatch.relay.parts import RelayParts
from foxtailhatch.relay.request import RelayWire
from foxtailhatch.relay.retry_budget import WindowBudget
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.choosing import EndpointChooser
from foxtailhatch.router.decider import Decider
from foxtailhatch.router.door import Door
from foxtailhatch.router.errors import observe_errors
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.findings import Finding
from foxtailhatch.router.follower import Follower
from foxtailhatch.router.front import Decode, FrontFactory
from foxtailhatch.router.keyed_log import KeyedLog, Topic
from foxtailhatch.router.knowledge import (
    DecodeConfiguration,
    DecodeEndpoint,
    Knowledge,
)
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.output import LineOutput
from foxtailhatch.router.settings import RouterSettings
from foxtailhatch.router.sites import first_text, page_site, to_json
from foxtailhatch.router.stall_watch import StallWatch

EXIT_OK = 0
EXIT_INVARIANT = 3
# How long a read of the configuration waits for a change.  The age of keys
# grows as long, and has to stay below the revocation bound.
CONFIGURATION_WAIT_S = 1.5
FINDINGS_WAIT_S = 5.0
# Pauses between steps.
ENDPOINTS_PERIOD_S = 0.5
ENTRIES_PERIOD_S = 1.5
HEARTBEAT_PERIOD_S = 1.5
TURN_PERIOD_S = 0.8
PLAN_PERIOD_S = 0.2
STALL_PERIOD_S = 0.1
RETRY_PERIOD_S = 0.3
STOP_PERIOD_S = 0.1
# A stopping entry stays at least so long, for callers that still come.
STOP_MIN_S = 2.5
# What is left of the grace when the process ends at the latest.
STOP_RESERVE_S = 0.4
# Advice is kept by callers for this long, by some three times as long.
ADVICE_S = 1.5
ADVISED_MOST = 64
# Connections may be idle for this multiple of what callers are told.
IDLE_FACTOR = 2.0
IDLE_DEFAULT_S = 30.0


@dataclass(frozen=True, slots=True)
class Adapter:
    """All that speaks to the outside, as the router uses it."""

    store: KeyedLog
    prepare_store: Callable[[], Awaitable[object]]
    engines: Engines
    wire: RelayWire
    decode_request: Decode
    decode_configuration: DecodeConfiguration
    decode_endpoint: DecodeEndpoint
    configuration_key: str
    ready_path: bytes
    advice_path: bytes


MakeAdapter = Callable[[Any], Adapter]
Reload = Callable[[], object]


def run_router(
    cfg: RouterSettings,
    make_adapter: MakeAdapter,
    reload: Reload,
) -> int:
    """Run one router until its planned stop; return the exit code."""
    reactor = install_reactor()
    process = RouterProcess(cfg, make_adapter(reactor), reactor, reload)
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)
    return process.exit_code


def steady_clock() -> float:
    """Return seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RouterProcess:
    """The router that this process runs."""

    def __init__(
        self,
        cfg: RouterSettings,
        adapter: Adapter,
        reactor: Any,
        reload: Reload,
    ) -> None:
        """Join the parts; nothing listens yet."""
        self.exit_code = EXIT_OK
        self._cfg = cfg
        self._adapter = adapter
        self._reactor = reactor
        self._reload = reload
        random = Random()
        self._output = LineOutput(sys.stdout.fileno())
        self._log = BoundedLog(self._output.emit, steady_clock, cfg.instance)
        self._metrics = RouterMetrics(cfg.instance)
        self._board = Blackboard(cfg, steady_clock)
        self._parts = self._relay_parts(random)
        self._door = Door(
            self._board,
            self._parts,
            adapter.decode_request,
            random,
        )
        self._loops = Loops(self._broken)
        self._decider = Decider(
            self._board,
            adapter.store,
            adapter.engines,
            self._log,
            self._publish,
        )
        self._stalls = StallWatch(self._parts, adapter.engines)
        self._follow()
        observe_errors(self._log, self._broken)

    def start(self) -> None:
        """Listen, and start all loops."""
        cfg = self._cfg
        factory = FrontFactory(self._door, IDLE_DEFAULT_S)
        self._listen(cfg.callers_address, factory)
        ready = page_site(
            self._adapter.ready_path,
            self._ready_page,
            b'text/plain',
        )
        self._listen(cfg.ready_address, ready)
        advice = page_site(
            self._adapter.advice_path,
            self._advice_page,
            b'application/json',
        )
        self._listen(cfg.advice_address, advice)
        metrics = page_site(b'metrics', self._metrics_page, b'text/plain')
        self._listen(cfg.metrics_address, metrics)
        self._start_loops()
        signal.signal(signal.SIGTERM, self._signalled(self._stop_asked))
        signal.signal(signal.SIGINT, self._signalled(self._stop_asked))
        signal.signal(signal.SIGHUP, self._signalled(self._reload_asked))
        self._log.write('start', pid=os.getpid(), zone=cfg.zone)

    def _relay_parts(self, random: Random) -> RelayParts:
        bounds = self._cfg.bounds
        board = self._board
        return RelayParts(
            reactor=self._reactor,
            clock=steady_clock,
            wire=self._adapter.wire,
            endpoints=board.endpoints,
            loads=board.loads,
            budget=WindowBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
            ),
            chooser=EndpointChooser(board, random),
            log=self._log,
            metrics=self._metrics,
            entries=lambda: len(board.entries.ready(steady_clock())),
            on_suspect=self._suspected,
        )

    def _follow(self) -> None:
        adapter = self._adapter
        knowledge = Knowledge(
            self._board,
            self._log,
            adapter.configuration_key,
            adapter.decode_configuration,
            adapter.decode_endpoint,
        )

        def follower(topic: Topic, apply: Any, wait_s: float = 0) -> Follower:
            return Follower(
                adapter.store,
                topic,
                apply,
                self._log,
                steady_clock,
                wait_s,
            )

        self._configuration = follower(
            Topic.CONFIGURATION,
            knowledge.configuration,
            CONFIGURATION_WAIT_S,
        )
        self._endpoints = follower(
            Topic.ENDPOINTS,
            lambda records, newest: knowledge.endpoints(
                records,
                self._endpoints.failed_at,
                newest=newest,
            ),
        )
        self._entries = follower(Topic.ENTRIES, knowledge.entries)
        self._findings = follower(
            Topic.FINDINGS,
            knowledge.findings,
            FINDINGS_WAIT_S,
        )

    def _start_loops(self) -> None:
        every = self._loops.every
        self._loops.paced(
            self._pace_of(self._configuration, 0),
            self._read_configuration,
        )
        self._loops.paced(
            self._pace_of(self._endpoints, ENDPOINTS_PERIOD_S),
            self._read_endpoints,
        )
        self._loops.paced(
            self._pace_of(self._findings, 0),
            self._step_of(self._findings),
        )
        every(ENTRIES_PERIOD_S, self._step_of(self._entries))
        every(HEARTBEAT_PERIOD_S, self._heartbeat)
        every(TURN_PERIOD_S, self._decider.join)
        every(PLAN_PERIOD_S, self._decider.step)
        every(STALL_PERIOD_S, self._stalls.step)
        every(STOP_PERIOD_S, self._look_at_stop)

    def _pace_of(
        self,
        follower: Follower,
        period_s: float,
    ) -> Callable[[], float]:
        def pace() -> float:  # noqa: WPS430
            return RETRY_PERIOD_S if follower.is_lost else period_s

        return pace

    def _step_of(self, follower: Follower) -> Callable[[], Awaitable[None]]:
        async def step() -> None:  # noqa: WPS430
            await follower.step()

        return step

    async def _read_configuration(self) -> None:
        if await self._configuration.step():
            self._board.configured_at = self._configuration.confirmed_at

    async def _read_endpoints(self) -> None:
        if await self._endpoints.step():
            for name in self._board.endpoints.expire(steady_clock()):
                self._log.write('endpoint_gone', name=name, why='lapsed')

    async def _heartbeat(self) -> None:
        cfg = self._cfg
        record = EntryRecord(
            cfg.instance,
            cfg.zone,
            cfg.region,
            cfg.callers_address,
            self._is_ready(),
        )
        await self._adapter.store.put(
            Topic.ENTRIES,
            cfg.instance,
            record.encode(),
        )

    def _is_ready(self) -> bool:
        board = self._board
        if board.stop_asked_at is not None or board.table is None:
            return False
        age_s = board.configuration_age(steady_clock())
        return age_s <= self._cfg.bounds.revocation_s

    def _ready_page(self, _: object) -> bytes | None:
        return b'ready' if self._is_ready() else None

    def _advice_page(self, args: Any) -> bytes | None:
        addresses = self._board.entries.advised(
            first_text(args, b'region'),
            first_text(args, b'zone'),
            steady_clock(),
            ADVISED_MOST,
        )
        if not addresses:
            if not self._is_ready():
                return None
            addresses = [self._cfg.callers_address]
        keep_s = min(ADVICE_S, self._cfg.bounds.advice_max_s)
        return to_json({'addresses': addresses, 'ttl_s': keep_s})

    def _metrics_page(self, _: object) -> bytes:
        table = self._board.table
        version = 0 if table is None else table.version
        return self._metrics.render(version, len(self._parts.running))

    def _suspected(self, endpoint: LiveEndpoint, why: str) -> None:
        self._log.write('finding_sent', endpoint=endpoint.name, why=why)
        asyncio.ensure_future(self._confirm(endpoint))

    async def _confirm(self, endpoint: LiveEndpoint) -> None:
        """Ask a suspect once more, and tell the others if it is dead."""
        if endpoint.layers is None:
            return
        found = await self._adapter.engines.report(endpoint)
        if found.map(lambda _: True).value_or(False):
            return
        self._publish(Finding(endpoint.name, endpoint.born, is_dead=True))

    def _publish(self, finding: Finding) -> None:
        now = steady_clock()
        table = self._board.endpoints
        if finding.is_dead:
            table.mark_dead(finding.endpoint, finding.born, now)
        elif finding.layers is not None:
            table.hold_layers(finding.endpoint, finding.born, finding.layers)
        asyncio.ensure_future(
            self._adapter.store.put(
                Topic.FINDINGS,
                finding.endpoint,
                finding.encode(),
            ),
        )

    def _listen(self, address: str, factory: Any) -> None:
        if not address:
            return
        host, _, port = address.rpartition(':')
        serve_on(
            self._reactor,
            bound_socket(Address(host, int(port))),
            factory,
        )

    def _signalled(self, act: Callable[[], None]) -> Callable[..., None]:
        def handler(*_: object) -> None:  # noqa: WPS430
            self._reactor.callFromThread(act)

        return handler

    def _reload_asked(self) -> None:
        self._log.write('reload', outcome=str(self._reload()))

    def _stop_asked(self) -> None:
        if self._board.stop_asked_at is not None:
            return
        self._board.stop_asked_at = steady_clock()
        self._log.write('stop_asked', running=len(self._parts.running))
        asyncio.ensure_future(self._leave())

    async def _leave(self) -> None:
        await self._heartbeat()
        if self._decider.has_turn:
            await self._decider.leave()

    async def _look_at_stop(self) -> None:
        self._output.flush()
        asked_at = self._board.stop_asked_at
        if asked_at is None:
            return
        waited_s = steady_clock() - asked_at
        latest_s = self._cfg.bounds.stop_grace_s - STOP_RESERVE_S
        is_idle = not self._parts.running and waited_s >= STOP_MIN_S
        if is_idle or waited_s >= latest_s:
            self._log.write('stop', running=len(self._parts.running))
            self._loops.stop()
            self._reactor.stop()

    def _broken(self, exc: InvariantBroken) -> None:
        self._log.write(
            'invariant_broken',
            invariant=exc.invariant.value,
            evidence=exc.evidence,
        )
        self.exit_code = EXIT_INVARIANT
        self._output.flush()
        self._reactor.stop()
