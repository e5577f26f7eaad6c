"""What the relay records of the demand at this entry."""

from dataclasses import replace

import pytest

from foxtailhatch.fleet.demand import RATE_WINDOW_S, RankDemand, ServiceDemand
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.context import NO_DEMAND, SelectedStage
from foxtailhatch.relay.refusals import RefusalReason, RelayRefusal
from foxtailhatch.relay.relay import Relay
from foxtailhatch.router.demand_recorder import DemandRecorder
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.status_pages import StatusPages
from tests.relay.fakes import FakeCaller, start_relay
from tests.router.fakes import Clock, board, engine
from tests.router.test_entry_table import entry
from tests.router.test_load_features import routes
from tests.routes.configurations import MODEL, configuration

ONE_PER_S = 1 / RATE_WINDOW_S


class Relays:
    """Relays of requests for the model service, at one entry."""

    def __init__(self, *priorities):
        self.fakes = start_relay()
        # The request that it starts with is for another service.
        self.first = self.fakes.accept_connection()
        self.board = board(cfg=configuration(routes=routes(*priorities)))
        self.context = self.fakes.context
        self.context.demand = DemandRecorder(self.board)
        for name in ('m1', 'm2'):
            self.context.endpoints.put(engine(name, layers=(0, 80)), 0)

    def start(self, priority=0):
        template = self.fakes.relay.admitted
        route = replace(template.route, priority=priority, attempts=1)
        admitted = AdmittedRequest(template.req, route, MODEL, 'crew', priority)
        relay = Relay(self.context, admitted, FakeCaller(), 0)
        relay.begin()
        return relay

    def wait(self, seconds):
        self.fakes.reactor.advance(seconds)

    def demand(self, rank=0):
        report = self.board.own_demand.report(self.context.clock())
        return report.get('model', ServiceDemand()).ranks.get(
            rank, RankDemand()
        )


# Guards against a request that counts after its end, or under another rank.
def test_request_runs_from_its_send_to_its_end():
    relays = Relays(0, 2)
    relays.start(priority=2)
    connection = relays.fakes.accept_connection()
    assert relays.demand(1) == RankDemand(0, 1, ONE_PER_S, 0, 140 * ONE_PER_S)
    connection.respond()
    assert relays.demand(1).running == 0
    assert relays.demand(0) == RankDemand()


@pytest.mark.parametrize('end', ['caller_disconnected', 'end_for_stop'])
def test_request_that_is_cancelled_has_ended(end):
    relays = Relays(0, 2)
    relay = relays.start()
    assert relays.demand().running == 1
    getattr(relay, end)()
    assert relays.demand().running == 0
    assert relays.demand().refusals_per_s == 0


# Guards against a retry that counts as another request.
def test_request_that_is_sent_again_counts_once():
    relays = Relays(0, 2)
    relays.start()
    relays.fakes.refuse_connection()
    assert len(relays.fakes.reactor.tcpClients) == 1
    assert relays.demand().running == 1
    assert relays.demand().starts_per_s == ONE_PER_S


# Guards against demand that seems low as nothing can be served.
def test_request_without_capacity_is_refused_and_never_ran():
    relays = Relays(0, 2)
    for name in ('m1', 'm2'):
        relays.context.endpoints.remove(name, 0)
    relays.start()
    relays.wait(1)
    assert relays.demand() == RankDemand(refusals_per_s=ONE_PER_S)


# Guards against demand that seems high as each refusal counts twice.
def test_request_that_an_engine_refuses_counts_once():
    relays = Relays(0, 2)
    relay = relays.start()
    for _ in range(10):
        while relays.fakes.reactor.tcpClients:
            connection = relays.fakes.accept_connection()
            connection.respond(status=503, headers='X-Not-Run: 1\r\n')
        relays.wait(0.1)
    assert relay.is_over
    assert relays.demand().running == 0
    assert relays.demand().requests_per_s == ONE_PER_S


# Guards against the cost of records that nobody asks for.
def test_nothing_is_recorded_where_no_service_asks_for_it():
    relays = Relays(1, 1)
    relays.start(priority=1)
    relays.fakes.accept_connection()
    assert relays.board.own_demand._services == {}
    tracked = relays.context.demand.track(relays.fakes.relay.admitted)
    assert tracked is NO_DEMAND


def record_of(state):
    recorder = DemandRecorder(state)
    template = start_relay().relay.admitted
    return recorder.track(replace(template, service=MODEL))


def stages(*zones, is_entry=False):
    return tuple(
        SelectedStage(engine(f'm{place}', zone=zone), None, is_entry)
        for place, zone in enumerate(zones)
    )


# Guards against links that seem idle although chains cross them.
def test_each_send_counts_its_hops_between_zones():
    state = board(Clock(0), configuration(routes=routes(0, 2)))
    record = record_of(state)
    record.sent(stages('z1', 'z1', 'z2', 'z1'), 0)
    record.sent(stages('z1', 'z2', 'z2'), 0)
    record.sent(stages('z1', 'z1'), 0)
    report = state.own_demand.report(0)['model']
    assert report.crossings_per_s == 3 / RATE_WINDOW_S
    assert report.total.starts_per_s == ONE_PER_S


# Guards against a forwarded request that counts at two entries.
def test_forwarded_request_counts_at_the_other_entry_alone():
    state = board(Clock(0), configuration(routes=routes(0, 2)))
    record = record_of(state)
    record.sent(stages('z2', is_entry=True), 0)
    record.ended()
    assert state.own_demand.report(0) == {}


# Guards against demand of requests that more capacity would not serve.
@pytest.mark.parametrize('reason', list(RefusalReason))
def test_only_refusals_for_lack_of_capacity_count(reason):
    state = board(Clock(0), configuration(routes=routes(0, 2)))
    record = record_of(state)
    record.refused(reason, RelayRefusal(reason).status, 0)
    counted = state.own_demand.report(0) != {}
    assert counted == (
        reason
        in {
            RefusalReason.NO_ENDPOINT,
            RefusalReason.ENDPOINT_REFUSED,
            RefusalReason.TIMEOUT_BEFORE_RUN,
        }
    )


def page_of(state):
    pages = StatusPages(state, start_relay().context, RouterMetrics('e1'))
    text = pages.metrics({}).decode()
    return [
        line
        for line in text.splitlines()
        if line.startswith('demand{') and line.endswith(' 7')
    ]


# Guards against levels of zones that are shown after they have left.
def test_gauge_shows_what_is_known_of_each_zone():
    state = board(cfg=configuration(routes=routes(0, 2)))
    now = state.clock()
    demand = ServiceDemand({1: RankDemand(waiting=7)})
    state.update_demand({'z2': {'model': demand}}, now)
    (line,) = page_of(state)
    for label in ('zone="z2"', 'rank="1"', 'of="waiting"', 'service="model"'):
        assert label in line
    state.update_demand({}, now)
    assert page_of(state) == []


def test_gauge_is_empty_where_no_service_asks_for_it():
    state = board()
    state.own_demand.set_waiting('model', 0, 7)
    assert page_of(state) == []


# Guards against an estimate that leaves out entries nothing is known of.
def test_estimate_counts_the_listed_entries():
    state = board(cfg=configuration(routes=routes(0, 2)))
    state.own_demand.set_waiting('model', 0, 3)
    now = state.clock()
    for name, zone in (('a', 'z1'), ('b', 'z2'), ('c', 'z2')):
        state.entries._lists[name] = ([entry(name, zone)], now)
    estimate = state.demand_estimate(now)
    assert estimate.at('z2', 'model').ranks[0].waiting == 6
