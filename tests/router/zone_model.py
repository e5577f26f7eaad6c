"""Zones with uneven capacity and demand, in virtual time.

Each entry selects chains by its own blackboard.  Totals of work and demand
reach it late: those of its own zone after half a second, those of the other
zones after ``lag_s``.  The engines of a zone that hold the same layers refuse
what does not fit into their KV caches together: which of them gets a request
is no matter of the balance between zones, and test_late_reports judges it.
"""

from bisect import insort
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from itertools import count
from math import pi, sin
from random import Random

from foxtailhatch.chains.zone_split import hops_between_zones
from foxtailhatch.fleet import Work
from foxtailhatch.fleet.demand import DemandSum, ServiceDemand
from foxtailhatch.relay.context import SelectedStage, SelectionRequest
from foxtailhatch.relay.request import RelayRequest, TokenCounts
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.entry_table import EntryRecord, EntryTable, Heartbeat
from foxtailhatch.router.work_totals import sum_work
from foxtailhatch.router.zone_balancer import ZoneBalancer
from foxtailhatch.routes import AcceleratorKind, RoutingTable
from foxtailhatch.routes.configuration import BYTES_IN_MB
from tests.relay.fakes import ListLog
from tests.router.fakes import SETTINGS, Clock, board, engine
from tests.routes.configurations import ENGINE, MODEL, configuration

ZONES = ('z1', 'z2', 'z3')
STAGES = [(first, first + 16) for first in range(0, 80, 16)]
REPLICAS = 3
# Requests of mean size that an engine of each zone holds: 1 : 2 : 2.
REQUESTS = {'z1': 32, 'z2': 64, 'z3': 64}
DEMAND = {'z1': 2, 'z2': 3, 'z3': 3}
SNAPSHOT_PERIOD_S = 0.5
SNAPSHOTS = 8
DURATION_S = (1.4, 2.6)
MEAN_DURATION_S = 2.0
PROMPT_TOKENS = (800, 2800)
OUTPUT_TOKENS = 200
MEAN_TOKENS = 2000
# An attempt that an engine refuses is repeated once, as the routes allow.
ATTEMPTS = 2
# Entries learn of a death from a broken connection or from one another.
DEATH_NOTICE_S = (0.05, 0.5)
WINDOW_S = 0.5


def model_service(requests, link_bytes_per_s=None):
    """Return a service with a kind of accelerator for each zone."""
    stage_mb = 16 * ENGINE.layer_mb
    token_mb = ENGINE.kv_bytes * 16 / ENGINE.layer_count / BYTES_IN_MB
    kinds = {
        zone: AcceleratorKind(stage_mb + held * MEAN_TOKENS * token_mb, 3, 3)
        for zone, held in requests.items()
    }
    return replace(
        MODEL,
        engine=replace(
            ENGINE,
            accelerators=kinds,
            zone_link_bytes_per_s=link_bytes_per_s,
        ),
    )


class Metrics:
    """Metrics that keep the latest shares."""

    def __init__(self):
        self.shares = {}
        self.crossings_refused = 0

    def record_zone_shares(self, service, shares):
        self.shares = shares

    def record_crossing_refused(self):
        self.crossings_refused += 1


@dataclass(frozen=True)
class Load:
    """The load of a model: ``level`` is the demand over the capacity."""

    entries: int = 30
    level: float = 0.7
    lag_s: float = 2.0
    replicas: int = REPLICAS
    requests: dict = field(default_factory=lambda: REQUESTS)
    demand: dict = field(default_factory=lambda: DEMAND)
    swing: float = 0
    swing_period_s: float = 11
    link_bytes_per_s: float | None = None

    @property
    def rate(self):
        """Return the requests a second of all zones."""
        at_once = self.replicas * sum(self.requests.values())
        return self.level * at_once / MEAN_DURATION_S

    def demand_at(self, zone, now):
        """Return the requests a second of a zone."""
        share = self.demand[zone] / sum(self.demand.values())
        # Peaks of neighbouring zones are three seconds apart.
        phase = 2 * pi * (now - 3 * ZONES.index(zone)) / self.swing_period_s
        return self.rate * share * (1 + self.swing * sin(phase))


def request(number, prompt):
    return RelayRequest(
        request_id=f'q{number}',
        method='POST',
        target='/m/x',
        host='host.example',
        headers=(),
        body=b'',
        key=None,
        caller_timeout_s=20,
        tokens=TokenCounts(prompt, 400, OUTPUT_TOKENS),
        last_event_id=None,
    )


class ModelEntry:
    """An entry with its blackboard and its selector."""

    def __init__(self, model, number, zone, is_balanced):
        self.zone = zone
        self.name = f'entry-{number}'
        self.board = board(model.clock)
        self.board.cfg = replace(SETTINGS, instance=self.name, zone=zone)
        self.board.table = RoutingTable(
            configuration(services=(model.service,))
        )
        self.board.entries = model.entry_table
        self.log = ListLog()
        self.metrics = Metrics()
        random = Random(model.random.random())
        balancer = ZoneBalancer(self.board, random, self.log, self.metrics)
        self.balancer = balancer if is_balanced else None
        self.selector = LoadAwareSelector(self.board, random, self.balancer)
        self.update_at = SNAPSHOT_PERIOD_S * random.random()

    def record(self):
        return EntryRecord(
            self.name,
            self.zone,
            'here',
            f'{self.name}:1',
            f'{self.name}:2',
            1,
            True,
        )


def sum_demand(reports):
    """Return the sum of the reports of entries."""
    total = DemandSum()
    for report in reports:
        total.add(report.get('model', ServiceDemand()))
    return total.result()


@dataclass(frozen=True)
class Group:
    """Engines with the same layers, and the tokens they hold and can hold."""

    names: frozenset
    held: int
    capacity: int


@dataclass(order=True)
class Running:
    """A request in progress."""

    ends_at: float
    number: int
    entry: object = field(compare=False)
    names: list = field(compare=False)
    tokens: int = field(compare=False)
    zone: str = field(compare=False)


class ZoneModel:
    """Entries and engines of three zones."""

    def __init__(self, load, seed=1, is_balanced=True, knows_all=False):
        self.load = load
        self.service = model_service(load.requests, load.link_bytes_per_s)
        self.random = Random(seed)
        # The same requests arrive whichever way chains are chosen.
        self.arrivals = {zone: Random(f'{seed} {zone}') for zone in ZONES}
        self.clock = Clock()
        self.entry_table = EntryTable()
        self.knows_all = knows_all
        self.engines = {}
        self.tokens = Counter()
        self.running = []
        self.numbers = count()
        self.dead = set()
        self.notices = []
        self.snapshots = deque(maxlen=SNAPSHOTS)
        self.requests = Counter()
        self.refused = Counter()
        self.overruns = []
        self.crossings = []
        self.fills = []
        for zone in ZONES:
            for replica in range(load.replicas):
                for first, end in STAGES:
                    name = f'{zone}-{replica}-{first}'
                    self.engines[name] = replace(
                        engine(name, zone, (first, end), zone), slots=512
                    )
        self.entries = [
            ModelEntry(self, number, ZONES[number % len(ZONES)], is_balanced)
            for number in range(load.entries)
        ]
        self.in_zone = {
            zone: [one for one in self.entries if one.zone == zone]
            for zone in ZONES
        }
        for entry in self.entries:
            for live in self.engines.values():
                entry.board.endpoints.put(live, self.clock())
        self.started_at = self.clock()
        self.next_at = {zone: self._next_arrival(zone) for zone in ZONES}
        self.next_heartbeat_at = self.next_snapshot_at = self.clock()
        self.next_window_at = self.clock()
        self.sends_sums = True

    @property
    def passed_s(self):
        return self.clock.now - self.started_at

    def run(self, seconds):
        until = self.clock.now + seconds
        while True:
            zone = min(self.next_at, key=self.next_at.get)
            if self.next_at[zone] > until:
                break
            self._advance(self.next_at[zone])
            self.next_at[zone] = self._next_arrival(zone)
            self._arrive(zone)
        self._advance(until)

    def lose(self, names):
        """Let engines crash: their requests are sent again at once."""
        self.dead.update(names)
        for entry in self.entries:
            for name in names:
                insort(
                    self.notices,
                    (
                        self.clock.now + self.random.uniform(*DEATH_NOTICE_S),
                        entry.name,
                        name,
                        entry,
                    ),
                    key=lambda notice: notice[:3],
                )
        lost = [
            one for one in self.running if self.dead.intersection(one.names)
        ]
        self.running = [one for one in self.running if one not in lost]
        for one in lost:
            self._end(one)
        for one in lost:
            self._send(
                one.entry,
                request(next(self.numbers), one.tokens - OUTPUT_TOKENS),
                max(0, one.ends_at - self.clock.now),
            )

    def third_of(self, zone):
        """Return the engines of a third of a zone's replicas."""
        lost = range(self.load.replicas // 3)
        return [
            f'{zone}-{replica}-{first}'
            for replica in lost
            for first, _ in STAGES
        ]

    def capacity(self, zone):
        """Return how many tokens the complete chains of a zone can hold."""
        return min(
            sum(
                self.kv_tokens(name)
                for name, live in self.engines.items()
                if live.zone == zone
                and live.layers.first == first
                and name not in self.dead
            )
            for first, _ in STAGES
        )

    def group_of(self, name):
        """Return the engines of a zone that hold the same layers as one."""
        live = self.engines[name]
        if name in self.dead:
            return Group(frozenset({name}), 0, 0)
        names = [
            f'{live.zone}-{replica}-{live.layers.first}'
            for replica in range(self.load.replicas)
        ]
        names = frozenset(names) - self.dead
        return Group(
            names,
            sum(self.tokens[one] for one in names),
            sum(map(self.kv_tokens, names)),
        )

    def kv_tokens(self, name):
        """Return how many tokens fit on an engine."""
        return MEAN_TOKENS * self.load.requests[self.engines[name].zone]

    def _next_arrival(self, zone):
        now = self.clock.now
        rate = self.load.demand_at(zone, now)
        return now + self.arrivals[zone].expovariate(rate)

    def _advance(self, until):
        """Carry out all that is due up to a time, in order."""
        while True:
            due = [
                (self.next_heartbeat_at, self._heartbeat),
                (self.next_snapshot_at, self._snapshot),
                (self.next_window_at, self._record_fills),
                (
                    min(one.update_at for one in self.entries)
                    + self.started_at,
                    self._update,
                ),
            ]
            if self.running:
                due.append((self.running[0].ends_at, self._end_first))
            if self.notices:
                due.append((self.notices[0][0], self._notice))
            at, act = min(due, key=lambda one: one[0])
            if at > until:
                break
            self.clock.now = max(self.clock.now, at)
            act()
        self.clock.now = until

    def _heartbeat(self):
        self.next_heartbeat_at += 1.5
        listed = [entry.record() for entry in self.entries]
        self.entry_table.record_heartbeat(
            'entry-0', Heartbeat(listed, {}), self.clock.now
        )

    def _record_fills(self):
        self.next_window_at += WINDOW_S
        held = Counter()
        for one in self.running:
            held[one.zone] += one.tokens
        self.fills.append(
            (
                self.passed_s,
                {
                    zone: held[zone] / max(1, self.capacity(zone))
                    for zone in ZONES
                },
            )
        )

    def _snapshot(self):
        self.next_snapshot_at += SNAPSHOT_PERIOD_S
        now = self.clock.now
        work = {
            one.name: {
                name: replace(at)
                for name, at in one.board.loads.in_progress().items()
            }
            for one in self.entries
        }
        demand = {
            one.name: one.board.own_demand.report(now) for one in self.entries
        }
        zone_work = {
            zone: sum_work(work[one.name] for one in members)
            for zone, members in self.in_zone.items()
        }
        zone_demand = {
            zone: sum_demand(demand[one.name] for one in members)
            for zone, members in self.in_zone.items()
        }
        self.snapshots.append((now, work, demand, zone_work, zone_demand))

    def _update(self):
        """Bring late totals to the entry whose turn it is."""
        entry = min(self.entries, key=lambda one: one.update_at)
        entry.update_at += SNAPSHOT_PERIOD_S
        now = self.clock.now
        if not self.sends_sums:
            return
        _, work, demand, zone_work, zone_demand = self._snapshot_of(now - 0.25)
        _, _, _, late_work, late_demand = self._snapshot_of(
            now - self.load.lag_s
        )
        own_work = {name: at.times(-1) for name, at in work[entry.name].items()}
        parts = [zone_work[entry.zone], own_work]
        parts += [late_work[zone] for zone in ZONES if zone != entry.zone]
        total = {
            name: Work(
                *(
                    max(0, part)
                    for part in (at.requests, at.received, at.tokens)
                )
            )
            for name, at in sum_work(parts).items()
        }
        entry.board.update_peer_work(total, now)
        sums = {zone: late_demand[zone] for zone in ZONES}
        own = demand[entry.name].get('model', ServiceDemand())
        sums[entry.zone] = zone_demand[entry.zone].without(own)
        entry.board.demand.update(
            {zone: {'model': of_zone} for zone, of_zone in sums.items()}, now
        )

    def _snapshot_of(self, at):
        older = [one for one in self.snapshots if one[0] <= at]
        return older[-1] if older else self.snapshots[0]

    def _notice(self):
        _, _, name, entry = self.notices.pop(0)
        entry.board.endpoints.mark_dead(name, 1, self.clock.now)

    def _end_first(self):
        self._end(self.running.pop(0))

    def _end(self, one):
        for name in one.names:
            self.tokens[name] -= one.tokens
        one.entry.board.loads.end(one.names, one.tokens)
        one.entry.board.own_demand.record_end('model', 0, None, one.tokens)

    def _arrive(self, zone):
        random = self.arrivals[zone]
        entry = random.choice(self.in_zone[zone])
        prompt = random.randint(*PROMPT_TOKENS)
        duration_s = random.uniform(*DURATION_S)
        self._send(entry, request(next(self.numbers), prompt), duration_s)

    def _send(self, entry, req, duration_s):
        window = int(self.passed_s / WINDOW_S)
        self.requests[window] += 1
        exclude = frozenset()
        demand = entry.board.own_demand
        refusals = 0
        while refusals < ATTEMPTS:
            chosen = self._choose(entry, req, exclude)
            if chosen is None:
                break
            refusing = self._try(entry, req, chosen, duration_s)
            if refusing is None:
                demand.record_start(
                    'model', 0, None, req.tokens.expected, self.clock.now
                )
                return
            exclude |= self.group_of(refusing).names
            if refusing not in self.dead:
                refusals += 1
                self.overruns.append((self.passed_s, refusing))
                entry.board.endpoints.record_refusal(refusing, self.clock.now)
        self.refused[window] += 1
        demand.record_refusal('model', 0, self.clock.now)

    def _choose(self, entry, req, exclude):
        if self.knows_all:
            return self._best(entry, req.tokens.expected)
        chosen = entry.selector.select(
            SelectionRequest(self.service, req, exclude), self.clock.now
        )
        return chosen and [stage.endpoint.name for stage in chosen]

    def _best(self, entry, tokens):
        """Return a chain with room, as one who knows all would choose it."""
        best = {}
        for zone in ZONES:
            groups = [
                self.group_of(name)
                for name, live in self.engines.items()
                if live.zone == zone and name not in self.dead
            ]
            groups = {min(group.names): group for group in groups}
            fill = max(
                (group.held + tokens) / group.capacity
                for group in groups.values()
            )
            if fill <= 1:
                best[zone] = (zone != entry.zone, fill, list(groups))
        return min(best.values())[2] if best else None

    def _try(self, entry, req, names, duration_s):
        """Start a request; return the engine that is dead or full, if any."""
        tokens = req.tokens.expected
        for name in names:
            group = self.group_of(name)
            if name in self.dead or group.held + tokens > group.capacity:
                return name
        for name in names:
            self.tokens[name] += tokens
        zones = [self.engines[name].zone for name in names]
        hops = hops_between_zones(zones)
        if hops:
            self.crossings.append((self.passed_s, hops * tokens))
        if entry.balancer is not None:
            chosen = tuple(SelectedStage(self.engines[name]) for name in names)
            entry.balancer.record_chain(chosen, tokens, self.clock.now)
        entry.board.loads.begin(names, tokens)
        ends_at = self.clock.now + duration_s
        insort(
            self.running,
            Running(
                ends_at, next(self.numbers), entry, names, tokens, zones[0]
            ),
        )
        return None

    def refusals(self, since=0.0, until=float('inf')):
        return sum(
            refused
            for window, refused in self.refused.items()
            if since <= window * WINDOW_S < until
        )

    def offered(self, since=0.0, until=float('inf')):
        return sum(
            asked
            for window, asked in self.requests.items()
            if since <= window * WINDOW_S < until
        )
