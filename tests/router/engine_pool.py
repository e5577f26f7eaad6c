"""A pool of engines in virtual time, and entries that place layers on them.

Engines load and release as the real ones do: released layers go at once, new
ones serve after their load.  Each entry sees the list of endpoints late.
"""

import asyncio
from dataclasses import dataclass, replace
from random import Random

from returns.result import Failure, Success

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointState
from foxtailhatch.placement.coverage import (
    ServedLayers,
    ServingEngine,
    common_layers,
)
from foxtailhatch.placement.protocols import EngineFault, OrderOutcome
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.router.keyed_log import Membership
from foxtailhatch.router.leader_lease import LeaderLease
from foxtailhatch.router.placement_controller import PlacementController
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, MemoryStore, board, engine
from tests.routes.configurations import ENGINE

TICK_S = 0.1
SERVES_AFTER_NOTICE_S = 3.5


@dataclass
class PoolEngine:
    """What is true of one engine."""

    name: str
    zone: str
    kind: str
    layers: LayerRange | None = None
    target: LayerRange | None = None
    loaded_at: float = 0
    orders: int = 0
    fence: int = 0
    leaving_at: float | None = None
    never_finishes: bool = False
    incarnation: int = 1

    def record(self):
        listed = engine(
            self.name,
            self.kind,
            (self.layers.first, self.layers.end) if self.layers else None,
            self.zone,
        )
        state = listed.state
        if self.leaving_at is not None:
            state = EndpointState.DRAINING
        return replace(listed, incarnation=self.incarnation, state=state)

    def report(self):
        return EngineReport(
            is_busy=self.target is not None,
            orders=self.orders,
            layers=self.layers,
        )


class Pool:
    """The engines, the time, and what was ordered."""

    def __init__(self, seed=1, lag_s=0.0):
        self.clock = Clock()
        self.random = Random(seed)
        self.lag_s = lag_s
        self.engines = {}
        self.entries = []
        self.orders = []
        self.faults = []
        self.ticks_without_chain = 0
        self.ticks_without_zone = 0
        self._events = []

    def add(self, name, kind='middle', zone='z1', layers=None):
        held = None if layers is None else LayerRange(*layers)
        self.engines[name] = PoolEngine(name, zone, kind, held)
        self.show(name)

    def leave(self, name):
        leaving = self.engines[name]
        leaving.leaving_at = self.clock.now
        self.show(name)

    def show(self, name):
        """Let each entry see the record of an engine, after some time."""
        known = self.engines.get(name)
        record = None if known is None else known.record()
        for entry in self.entries:
            self.later(entry, lambda seen: seen.see(name, record))

    def later(self, entry, change):
        delay_s = self.random.uniform(0, self.lag_s)
        self._events.append((self.clock.now + delay_s, entry, change))

    def join(self, entry):
        self.entries.append(entry)
        for known in self.engines.values():
            entry.see(known.name, known.record())

    def served(self, leaving_known_to=None):
        serving = []
        for known in self.engines.values():
            is_leaving = known.leaving_at is not None
            if leaving_known_to is not None and is_leaving:
                table = leaving_known_to.board.endpoints
                seen = table.get(known.name)
                is_leaving = seen is None or not table.accepts_work(seen)
            serving.append(
                ServingEngine(known.name, known.zone, known.layers, is_leaving)
            )
        return ServedLayers(tuple(serving), ENGINE.layer_count)

    def place(self, entry, name, layers, fence, expected):
        """Carry out an order as an engine does."""
        known = self.engines.get(name)
        if known is None:
            return OrderOutcome.NO_ANSWER
        outcome = self._outcome(known, layers, fence, expected)
        self.orders.append((entry.name, name, layers, outcome, self.clock.now))
        if outcome is not OrderOutcome.STARTED:
            return outcome
        lost = self.served(entry).last_copies(name, layers)
        if lost:
            self.faults.append((self.clock.now, entry.name, name, sorted(lost)))
        held = len(known.layers or ())
        known.layers = common_layers(known.layers, layers)
        added = len(layers) - len(known.layers or ())
        assert len(layers) * ENGINE.layer_mb <= entry.memory_mb(known.kind)
        known.target = layers
        known.orders += 1
        known.fence = fence
        share = added / ENGINE.layer_count
        wait_s = 0.2 if held else 0
        known.loaded_at = self.clock.now + wait_s + ENGINE.load_s * share
        self.show(name)
        return outcome

    def _outcome(self, known, layers, fence, expected):
        if fence < known.fence:
            return OrderOutcome.FENCED
        if known.orders != expected or known.target is not None:
            return OrderOutcome.CONFLICT
        if known.layers == layers:
            return OrderOutcome.ALREADY_HELD
        return OrderOutcome.STARTED

    def run(self, seconds, each_tick=None):
        for _ in range(round(seconds / TICK_S)):
            self.clock.now += TICK_S
            self._advance()
            for entry in self.entries:
                entry.step()
            if each_tick is not None:
                each_tick()
            self._count()

    def _advance(self):
        now = self.clock.now
        for known in list(self.engines.values()):
            if known.target and now >= known.loaded_at:
                if not known.never_finishes:
                    known.layers, known.target = known.target, None
                    self.show(known.name)
            leaving_at = known.leaving_at
            if leaving_at and now - leaving_at >= SERVES_AFTER_NOTICE_S:
                del self.engines[known.name]
                self.show(known.name)
        due = [event for event in self._events if event[0] <= now]
        self._events = [event for event in self._events if event[0] > now]
        for _, entry, change in sorted(due, key=lambda event: event[0]):
            change(entry)

    def _count(self):
        served = self.served()
        zones = {known.zone for known in self.engines.values()}
        self.ticks_without_chain += not served.has_chain()
        self.ticks_without_zone += sum(
            not served.is_whole(zone) for zone in zones
        )

    def refused(self):
        return [
            order for order in self.orders if order[3] is OrderOutcome.CONFLICT
        ]

    def begun(self):
        return [
            order for order in self.orders if order[3] is OrderOutcome.STARTED
        ]


class Entry:
    """An entry that may hold the lease."""

    def __init__(self, pool, name='entry-1'):
        self.name = name
        self.pool = pool
        self.board = board(pool.clock)
        self.store = MemoryStore()
        self.store.membership = Membership(1, is_holder=False)
        self.log = ListLog()
        self.lease = LeaderLease(self.board, self.store, self.log)
        self.silent = set()
        self.controller = PlacementController(
            self.board,
            self.lease,
            self,
            self.log,
            self.publish,
            self.has_witness,
        )
        pool.join(self)

    def memory_mb(self, kind):
        return ENGINE.accelerators[kind].memory_mb

    def see(self, name, record):
        table = self.board.endpoints
        if record is None:
            table.remove(name, self.pool.clock.now)
        else:
            table.put(record, self.pool.clock.now)

    def publish(self, observation):
        observation.apply(self.board.endpoints, self.pool.clock.now)
        for other in self.pool.entries:
            if other is not self:
                self.pool.later(
                    other,
                    lambda seen: observation.apply(
                        seen.board.endpoints, self.pool.clock.now
                    ),
                )

    async def has_witness(self, endpoints, since):
        return True

    async def report(self, target, timeout_s=0.4):
        known = self.pool.engines.get(target.name)
        if known is None:
            return Failure(EngineFault.NOT_CONNECTED)
        if target.name in self.silent:
            return Failure(EngineFault.NO_RESPONSE)
        return Success(known.report())

    async def place(self, target, layers, fence, expected_orders):
        return self.pool.place(
            self, target.name, layers, fence, expected_orders
        )

    def hold(self, generation):
        """Make this entry the only holder of the lease."""
        for other in self.pool.entries:
            other.store.membership = Membership(
                generation, is_holder=other is self
            )

    def step(self):
        self.board.configuration_confirmed_at = self.pool.clock.now
        asyncio.run(self._step())

    async def _step(self):
        await self.lease.maintain(is_candidate=True)
        await self.controller.step()
