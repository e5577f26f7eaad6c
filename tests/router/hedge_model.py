"""Entries with few streams each over the engines of three zones, in virtual time.

Relays, hedges, selection and retry budgets are those of the router.  Engines
bring the first event after a time that is drawn at random and then one every
40 ms; a chain with a silent engine brings none.  An engine that is silent when a
connection is opened does not accept it.
"""

from collections import Counter
from dataclasses import replace
from itertools import pairwise
from random import Random

from twisted.internet.testing import MemoryReactorClock

from foxtailhatch.fleet import EndpointLoads
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.context import RelayContext
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.retry_budget import RetryBudget
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.hedge_controller import HedgeController
from foxtailhatch.router.work_totals import sum_work
from foxtailhatch.routes import RouteKind
from tests.chains.test_shared_link_overload import REQUEST, engine
from tests.relay.fakes import (
    CountingMetrics,
    FakeCaller,
    FakeEndpointConnection,
    ListLog,
    PlainCodec,
    RecordingPrompts,
)
from tests.router.fakes import board
from tests.routes.configurations import MODEL, route

ZONES = ('z1', 'z2', 'z3')
# Four copies of 80 layers in each zone, at other boundaries in each copy.
COPIES = 4
STAGE_LAYERS = 12
EVENT_PERIOD_S = 0.04
EVENTS = 60
# Time from a request to its first event: the measured median is 75 to 80 ms, the
# spread is assumed.
FIRST_EVENT_S = (0.06, 0.11)
MAX_GAP_S = 0.25
# Resumptions that each entry has seen before.
SEEN_RESUMPTIONS = 9
# Nothing reacts sooner to a dead engine where few streams share it.
DETECTION_S = 0.3
REPORT_PERIOD_S = 0.6
# Of the deployment with 91 entries: requests of each in a retry window, and the
# entries that share the slack.
RECENT_REQUESTS = 13
ALL_ENTRIES = 91


class ChainCodec(PlainCodec):
    """A codec that names the chain and the last event, as the engines read it."""

    def encode(self, req, dispatch):
        chain = ','.join(address for address, _, _ in dispatch.chain)
        after = dispatch.resume_after or 0
        return f'{req.request_id} {after} {chain}\n'.encode()


class TimedCaller(FakeCaller):
    """A caller that notes when events arrive."""

    def __init__(self, clock, began_at):
        super().__init__()
        self._clock = clock
        self.times = [began_at]

    def write(self, piece):
        super().write(piece)
        self.times.append(self._clock())

    @property
    def pauses(self):
        times = self.times
        if not self.finished:
            times = [*times, self._clock()]
        return [later - earlier for earlier, later in pairwise(times)]


class Network(MemoryReactorClock):
    """A reactor whose connections end at the engines of the model."""

    def __init__(self, random):
        super().__init__()
        self._random = random
        self.silent = {}
        self.rightNow = 100.0

    def __call__(self):
        return self.seconds()

    @property
    def now(self):
        return self.seconds()

    def is_silent(self, addresses):
        return any(
            since <= self.seconds() < until
            for address in addresses
            for since, until in (self.silent.get(address, (0, 0)),)
        )

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        connector = super().connectTCP(
            host, port, factory, timeout, bindAddress
        )
        client = self.tcpClients.pop()
        self.callLater(0.001, self._accept, f'{host}:{port}', client, connector)
        return connector

    def _accept(self, address, client, connector):
        if self.is_silent([address]):
            return
        conn = FakeEndpointConnection(client)
        request_id, after, chain = conn.request.decode().split()
        conn.send_bytes(
            f'HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        delay_s = self._random.uniform(*FIRST_EVENT_S)
        self.callLater(
            delay_s, self._bring, conn, chain.split(','), int(after) + 1
        )

    def _bring(self, conn, chain, number):
        if conn.is_aborted:
            return
        if self.is_silent(chain):
            self.callLater(EVENT_PERIOD_S, self._bring, conn, chain, number)
            return
        conn.send_event(number)
        if number == EVENTS:
            conn.end_stream()
            return
        self.callLater(EVENT_PERIOD_S, self._bring, conn, chain, number + 1)


class HedgeModel:
    """Entries of one zone and their streams."""

    def __init__(self, entries, streams_each, seed=1, is_hedged=True):
        self.random = Random(seed)
        self.network = Network(self.random)
        self.engines = [
            engine(f'{zone}-c{copy}-{first}', zone, (first, end), 'large')
            for zone in ZONES
            for copy in range(COPIES)
            for first, end in _layer_ranges(copy)
        ]
        for number, live in enumerate(self.engines):
            object.__setattr__(live, 'address', f'10.0.0.1:{number + 1}')
        self.gap_s = MAX_GAP_S if is_hedged else None
        self.boards, self.contexts, self.controllers = [], [], []
        for _ in range(entries):
            self._add_entry()
        self.callers = {}
        for number, context in enumerate(self.contexts):
            for stream in range(streams_each):
                self.network.callLater(
                    self.random.uniform(0, 1),
                    self._begin,
                    context,
                    f'q{number}-{stream}',
                )
        self._report()

    def _add_entry(self):
        env = board(self.network)
        env.loads = EndpointLoads()
        for live in self.engines:
            env.endpoints.put(live, 0)
        budget = RetryBudget(0.2, 200, 10, started_at=-100)
        for _ in range(RECENT_REQUESTS):
            budget.record_request('model', self.network.seconds())
        context = RelayContext(
            reactor=self.network,
            clock=self.network.seconds,
            codec=ChainCodec(),
            endpoints=env.endpoints,
            loads=env.loads,
            rate_limits=env.rate_limits,
            budget=budget,
            selector=LoadAwareSelector(env, self.random),
            log=ListLog(),
            metrics=CountingMetrics(),
            prompts=RecordingPrompts(),
            entries=lambda: ALL_ENTRIES,
            on_suspect=lambda one, why: None,
        )
        for _ in range(SEEN_RESUMPTIONS):
            context.resumptions.record(self.random.uniform(*FIRST_EVENT_S))
        controller = HedgeController(context)
        self.boards.append(env)
        self.contexts.append(context)
        self.controllers.append(controller)
        self._check(controller)

    def _check(self, controller):
        run_at_once(controller.step())
        self.network.callLater(controller.delay_s(), self._check, controller)

    def _report(self):
        """Tell each entry of the work of the others, as it was."""
        total = [env.loads.in_progress() for env in self.boards]
        now = self.network.seconds()
        for number, env in enumerate(self.boards):
            others = total[:number] + total[number + 1 :]
            env.update_peer_work(sum_work(others), now)
        self.network.callLater(REPORT_PERIOD_S, self._report)

    def _begin(self, context, request_id):
        now = self.network.seconds()
        caller = TimedCaller(self.network.seconds, now)
        stream_route = replace(
            route(kind=RouteKind.STREAM, attempts=3, resumable=True),
            max_gap_s=self.gap_s,
            timeout_s=20,
        )
        admitted = AdmittedRequest(
            replace(REQUEST, request_id=request_id), stream_route, MODEL, '', 1
        )
        relay = Relay(context, admitted, caller, now)
        self.callers[request_id] = caller
        relay.begin()

    def run(self, seconds):
        end = self.network.seconds() + seconds
        while self.network.seconds() < end:
            self.network.advance(0.002)

    def most_used(self):
        """Return the name of the engine that most streams use."""
        count = Counter(
            stage.endpoint.name
            for context in self.contexts
            for relay in context.running
            for stage in relay.attempt.chosen
        )
        return max(sorted(count), key=count.get)

    def some_of(self, zone, count):
        """Return the names of some engines of a zone."""
        names = [live.name for live in self.engines if live.zone == zone]
        return self.random.sample(names, count)

    def silence(self, names, seconds=1000.0):
        """Silence engines; return the requests over them."""
        now = self.network.seconds()
        by_name = {live.name: live for live in self.engines}
        for name in names:
            self.network.silent[by_name[name].address] = (now, now + seconds)
        return {
            relay.request_id
            for context in self.contexts
            for relay in context.running
            if any(map(relay.attempt.uses, names))
        }

    def detect(self, names):
        """Let all entries find engines dead, and give up the streams there."""
        now = self.network.seconds()
        for context in self.contexts:
            for name in names:
                context.endpoints.mark_dead(name, 1, now)
            for relay in tuple(context.running):
                if any(map(relay.attempt.uses, names)):
                    relay.abandon_attempt('lost chain head')

    def on_time(self, requests):
        """Return the share of requests without a pause that is late."""
        late = [
            request_id
            for request_id in requests
            if max(self.callers[request_id].pauses) > MAX_GAP_S
        ]
        return 1 - len(late) / len(requests)

    def outcomes(self):
        return [
            outcome
            for context in self.contexts
            for outcome in context.metrics.hedges
        ]


def run_at_once(step):
    """Run a coroutine that waits for nothing."""
    try:
        step.send(None)
    except StopIteration:
        return
    raise AssertionError('the step waits')


def _layer_ranges(copy):
    first_end = STAGE_LAYERS - 2 * copy
    bounds = [0, *range(first_end, 80, STAGE_LAYERS), 80]
    return list(pairwise(bounds))
