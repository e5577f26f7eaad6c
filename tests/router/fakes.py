"""Fake store, engines and clock, and a blackboard with a configuration."""

from returns.result import Failure, Success

from foxtailhatch.placement.protocols import (
    EngineFault,
    OrderOutcome,
    RerouteReply,
)
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.keyed_log import (
    KeyedPage,
    LogPosition,
    Membership,
    StoreFault,
)
from foxtailhatch.router.settings import Bounds, RouterSettings
from foxtailhatch.routes import RoutingTable
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import ListLog
from tests.routes.configurations import configuration

SETTINGS = RouterSettings(
    instance='entry-1',
    zone='z1',
    region='here',
    zones={'z1': 'here', 'z2': 'here'},
    callers_address='10.0.0.1:80',
    ready_address='',
    advice_address='',
    metrics_address='',
    peer_address='10.0.0.1:90',
    cpu_cores=1,
    store_address='10.0.0.9:80',
    bounds=Bounds(),
)


class Clock:
    """A clock that tests set."""

    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now


def board(clock=None, cfg=None, has_configuration=True):
    """Return a blackboard; without a configuration unless ``has_configuration``."""
    clock = clock or Clock()
    blackboard = Blackboard(SETTINGS, clock)
    if has_configuration:
        blackboard.table = RoutingTable(cfg or configuration())
        blackboard.configuration_confirmed_at = clock.now
    return blackboard


class MemoryStore:
    """A log in memory; calls fail while ``fault`` is set.

    A page has at most ``page_records`` records.
    """

    def __init__(self):
        self.topics = {}
        self.first = {}
        self.fault = None
        self.epoch = 0
        self.page_records = None
        self.membership = Membership(1, is_holder=True)
        self.owner = ''

    def restore(self, topic, length):
        """Return to an older copy, in which a topic has ``length`` records."""
        self.epoch += 1
        del self.topics.get(topic, [])[length:]

    def add(self, topic, *records):
        self.topics.setdefault(topic, []).extend(records)

    async def read_latest(self, topic):
        if self.fault:
            return Failure(self.fault)
        records = self.topics.get(topic, [])
        latest = {record.key: record for record in records}
        kept = tuple(
            record for record in latest.values() if record.value is not None
        )
        end = LogPosition(self.epoch, len(records))
        return Success(KeyedPage(kept, end))

    async def read(self, topic, offset, wait_s):
        if self.fault:
            return Failure(self.fault)
        records = self.topics.get(topic, [])
        if not self.first.get(topic, 0) <= offset <= len(records):
            return Failure(StoreFault.HISTORY_GONE)
        page = tuple(records[offset:][: self.page_records])
        end = LogPosition(self.epoch, offset + len(page))
        return Success(KeyedPage(page, end, end.offset == len(records)))

    async def put(self, topic, key, value):
        return Failure(self.fault) if self.fault else Success(None)

    async def join(self, member, generation, lease_s):
        if self.fault:
            return Failure(self.fault)
        return Success(self.membership)

    async def leave(self, member):
        return Success(None)

    async def holder(self):
        return Failure(self.fault) if self.fault else Success(self.owner)


class MemoryEngines:
    """Engines that carry out orders at once."""

    def __init__(self):
        self.reports = {}
        self.outcomes = {}
        self.fences = {}
        self.orders = []
        self.fault = EngineFault.UNCONNECTED
        self.moves = []
        self.move_answer = RerouteReply(OrderOutcome.STARTED)

    def notify(self, on_notice):
        self.on_notice = on_notice

    async def report(self, target, timeout_s=0.4):
        if target.name in self.outcomes:
            return Failure(self.fault)
        return Success(self.reports.get(target.name, EngineReport()))

    async def place(self, target, layers, fence, expected_orders):
        if target.name in self.outcomes:
            return self.outcomes[target.name]
        if fence < self.fences.get(target.name, 0):
            return OrderOutcome.FENCED
        report = self.reports.get(target.name, EngineReport())
        if report.orders != expected_orders:
            return OrderOutcome.CONFLICT
        self.fences[target.name] = fence
        self.orders.append((target.name, layers))
        self.reports[target.name] = EngineReport(
            orders=report.orders + 1,
            layers=layers,
        )
        return OrderOutcome.STARTED

    async def reroute(self, head, reroute):
        self.moves.append((head.name, reroute))
        return self.move_answer


def engine(name, accelerator_kind='middle', layers=None, zone='z1'):
    """Return an endpoint that runs the model."""
    return endpoint(name, 'model', zone, layers, accelerator_kind, slots=96)


__all__ = ['ListLog', 'MemoryEngines', 'MemoryStore', 'board', 'engine']
