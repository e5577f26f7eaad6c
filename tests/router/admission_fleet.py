"""Entries with ordered admission that share engines, in virtual time.

They hear of one another's work late: a report has the work of 0.35 s ago, and
comes every 0.5 s, so that it is 0.6 s old on the average.
"""

from collections import Counter, defaultdict
from dataclasses import replace
from random import Random
from types import SimpleNamespace

from twisted.internet.task import Clock as VirtualClock

from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.fleet.loads import EndpointLoads, Work
from foxtailhatch.limits.reservation import UrgencyRanks
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.context import SelectionRequest
from foxtailhatch.relay.request import TokenCounts
from foxtailhatch.router.capacity_admission import CapacityAdmission
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.entry_table import Heartbeat
from foxtailhatch.router.work_totals import sum_work
from foxtailhatch.routes import RouteKind
from tests.chains.test_shared_link_overload import REQUEST, engine
from tests.relay.fakes import ListLog
from tests.router.fakes import board
from tests.router.test_late_reports import record
from tests.routes.configurations import ENGINE, MODEL, route

REPORT_PERIOD_S = 0.5
REPORT_LAG_S = 0.35
REFUSAL_S = 0.013
FIRST_EVENT_S = 0.08
STREAM_S = 2.0
CALLER_WAITS_S = 20.0
STEP_S = 0.01
TOKENS = REQUEST.tokens.expected
SLOTS = 96


class Metrics:
    """Metrics that count decisions."""

    def __init__(self):
        self.outcomes = Counter()
        self.waiting = {}

    def record_waiting(self, service, counts):
        self.waiting = dict(counts)

    def record_admission(self, outcome, rank, waited_s):
        self.outcomes[outcome, rank] += 1


class Call:
    """A request of a caller who comes back when asked to."""

    def __init__(self, fleet, kind, account, tokens, number):
        self.fleet = fleet
        self.kind = kind
        self.account = account
        self.first_at = fleet.clock.seconds()
        self.started_at = None
        self.refusals = []
        self.is_over = False
        self.attempts = 0
        self.tokens = tokens
        self.admitted = AdmittedRequest(
            replace(
                REQUEST,
                request_id=f'q{number}',
                tokens=TokenCounts(tokens, 0, 0),
            ),
            kind.route,
            MODEL,
            account,
            kind.rank,
            fill_limit=kind.fill_limit,
        )
        self.come()

    def come(self):
        self.entry = self.fleet.random.choice(self.fleet.entries)
        self.entry.admission.enter(self, self.fleet.clock.seconds())

    def selection(self):
        return SelectionRequest(
            MODEL, self.admitted.req, fill_limit=self.admitted.fill_limit
        )

    def may_send(self, now):
        return True

    def capacity_granted(self, chosen):
        self.fleet.start(self, [stage.endpoint.name for stage in chosen])

    def capacity_refused(self, retry_after_s):
        now = self.fleet.clock.seconds()
        self.refusals.append((now, retry_after_s))
        self.entry.admission.leave(self)
        if now + retry_after_s - self.first_at < self.fleet.caller_waits_s:
            self.fleet.clock.callLater(retry_after_s, self.come)

    @property
    def is_on_time(self):
        """Return whether the first event came within the target.

        It counts from the first arrival, as the caller does.
        """
        if self.started_at is None:
            return False
        first_s = self.started_at + FIRST_EVENT_S - self.first_at
        return first_s <= self.kind.route.target_latency_s


class Kind:
    """A kind of request: its route, and its share of the arrivals."""

    def __init__(self, rank, target_s, ranks, fill_limit=None):
        self.rank = rank
        self.fill_limit = fill_limit or ranks.fill_limit(rank)
        self.route = replace(
            route(name=f'r{rank}', kind=RouteKind.STREAM, service='model'),
            priority=rank,
            target_latency_s=target_s,
        )


class Entry:
    """One entry with its blackboard, selector and queue."""

    def __init__(self, fleet, number):
        self.board = board(fleet.clock.seconds, has_configuration=False)
        self.board.cfg = replace(self.board.cfg, instance=f'entry-{number}')
        self.board.loads = EndpointLoads()
        for live in fleet.engines:
            self.board.endpoints.put(live, 0)
        self.log = ListLog()
        self.metrics = Metrics()
        random = Random(number)
        self.admission = CapacityAdmission(
            self.board,
            fleet.clock,
            fleet.selector(self.board, random),
            self.log,
            self.metrics,
            random,
        )


class Fleet:
    """Entries that start requests on the same chains."""

    def __init__(
        self,
        count=30,
        chains=6,
        seed=1,
        targets=(0.5, 0.6, 1.2),
        reserves=True,
        lag_s=REPORT_LAG_S,
        period_s=REPORT_PERIOD_S,
        caller_waits_s=CALLER_WAITS_S,
        shares_work=False,
    ):
        self.clock = VirtualClock()
        self.random = Random(seed)
        self.caller_waits_s = caller_waits_s
        self.lag_s = lag_s
        self.period_s = period_s
        self.shares_work = shares_work
        self.engines: list[LiveEndpoint] = [
            engine(f'c{chain}-{first}', 'z1', (first, first + 16), 'large')
            for chain in range(chains)
            for first in range(0, 80, 16)
        ]
        self.heartbeat = Heartbeat([record(n) for n in range(count)], {})
        ranks = UrgencyRanks.of(
            [(number, number) for number in range(len(targets))]
        )
        self.kinds = [
            Kind(rank, target_s, ranks, None if reserves else 1.0)
            for rank, target_s in enumerate(targets)
        ]
        self.calls = []
        self.used = defaultdict(Work)
        self.sends = 0
        self.refused_by_engines = 0
        self.capacity = ENGINE.kv_tokens(36_000, 16)
        self.entries = [Entry(self, number) for number in range(count)]
        self._hear_heartbeats()
        self._report()

    def run(self, seconds, rates, accounts=('crew',), tokens=(TOKENS,)):
        """Let requests of each kind arrive at the given rate a second."""
        end = self.clock.seconds() + seconds
        for kind, rate in zip(self.kinds, rates, strict=True):
            at = 0.0
            while rate:
                at += self.random.expovariate(rate)
                if at >= seconds:
                    break
                self.clock.callLater(
                    at,
                    self.arrive,
                    kind,
                    self.random.choice(accounts),
                    self.random.choice(tokens),
                )
        while self.clock.seconds() < end:
            self.clock.advance(STEP_S)

    def selector(self, blackboard, random):
        """Return a selector, which sees all work at once in some tests."""
        selector = LoadAwareSelector(blackboard, random)
        if self.shares_work:
            exact = SimpleNamespace(work_at=lambda name: self.used[name])
            selector._estimate_work = lambda: exact
        return selector

    def arrive(self, kind, account, tokens):
        number = len(self.calls)
        call = Call(self, kind, account, tokens, number)
        self.calls.append(call)

    def start(self, call, names):
        loads = call.entry.board.loads
        loads.begin(names, call.tokens)
        self.sends += 1
        if any(self._is_full(name, call.tokens) for name in names):
            self.clock.callLater(REFUSAL_S, self._refuse, call, names)
            return
        call.started_at = self.clock.seconds()
        self._use(names, 1, call.tokens)
        self.clock.callLater(
            FIRST_EVENT_S,
            call.entry.admission.record_first_event,
            'model',
            FIRST_EVENT_S,
        )
        duration_s = self.random.uniform(0.7, 1.3) * STREAM_S
        self.clock.callLater(duration_s, self._end, call, names)

    def fill(self, name):
        """Return the true share of an engine's capacity that is in use."""
        work = self.used[name]
        return max(work.tokens / self.capacity, work.received / SLOTS)

    def _is_full(self, name, tokens):
        work = self.used[name]
        return work.tokens + tokens > self.capacity or work.received + 1 > SLOTS

    def _refuse(self, call, names):
        """An engine answers 503, and the request waits again."""
        self.refused_by_engines += 1
        full = next(
            (name for name in names if self._is_full(name, call.tokens)),
            names[0],
        )
        call.entry.board.endpoints.record_refusal(full, self.clock.seconds())
        call.entry.board.loads.end(names, call.tokens)
        call.entry.admission.enter(call, call.first_at)

    def mean_fill(self):
        fills = [self.fill(live.name) for live in self.engines]
        return sum(fills) / len(fills)

    def calls_of(self, rank, since=0.0, until=float('inf')):
        return [
            call
            for call in self.calls
            if call.kind.rank == rank and since <= call.first_at < until
        ]

    def on_time_share(self, rank, since=0.0, until=float('inf')):
        calls = self.calls_of(rank, since, until)
        return sum(call.is_on_time for call in calls) / len(calls)

    def _end(self, call, names):
        self._use(names, -1, -call.tokens)
        call.entry.board.loads.end(names, call.tokens)
        call.entry.admission.leave(call)

    def _use(self, names, requests, tokens):
        for position, name in enumerate(names):
            work = self.used[name]
            work.requests += requests
            work.tokens += tokens
            work.received += requests if not position else 0

    def _hear_heartbeats(self):
        for entry in self.entries:
            entry.board.entries.record_heartbeat(
                'entry-0', self.heartbeat, self.clock.seconds()
            )
        self.clock.callLater(1, self._hear_heartbeats)

    def _hear(self, entry, others):
        entry.board.update_peer_work(others, self.clock.seconds())

    def _report(self):
        """Take the totals now; the entries hear of them later."""
        works = [
            {
                name: replace(work)
                for name, work in entry.board.own_work().items()
            }
            for entry in self.entries
        ]
        total = sum_work(works)
        for number, entry in enumerate(self.entries):
            others = {
                name: work.plus(works[number].get(name, Work()).times(-1))
                for name, work in total.items()
            }
            self.clock.callLater(
                self.lag_s,
                self._hear,
                entry,
                others,
            )
        self.clock.callLater(self.period_s, self._report)
