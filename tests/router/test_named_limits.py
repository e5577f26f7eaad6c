"""Brown-out: endpoints name how many requests a second they take in all.

Many entries send to the same endpoints, and hear of one another's requests only
some tenths of a second later.
"""

from collections import Counter, deque
from random import Random

import pytest

from foxtailhatch.fleet import Work
from foxtailhatch.fleet.rate_limits import (
    LIMIT_TTL_S,
    MAX_ENDPOINTS,
    WINDOW_S,
    RateLimits,
)
from foxtailhatch.relay.context import SelectionRequest
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.work_totals import (
    decode_work,
    encode_work,
    sum_work,
)
from foxtailhatch.routes import RouteKind
from tests.chains.test_shared_link_overload import REQUEST
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import start_relay
from tests.router.test_late_reports import entries
from tests.routes.configurations import MODEL

# The limit has to be kept this long after it was first named.
CONTACT_S = 3.0
ANSWER_S = 2.5
FIRST_EVENT_S = 0.3
REPORT_PERIOD_S = 0.5
REPORT_LAG_S = 0.3


class Fleet:
    """Entries that choose among the same heads, some of which name a limit."""

    def __init__(self, count, limits, seed):
        self.random = Random(seed)
        self.boards, self.clock, self.heartbeat = entries(count)
        self.limits = limits
        self.running = deque()
        self.answers = deque()
        self.reports = deque()
        self.arrivals = {name: [] for name in limits}
        self.refused = 0
        self.sent = 0

    def run(self, rate, seconds):
        end = self.clock.now + seconds
        next_report = self.clock.now
        while self.clock.now < end:
            self.clock.now += self.random.expovariate(rate)
            if self.clock.now >= next_report:
                next_report += REPORT_PERIOD_S
                works = [board.own_work() for board in self.boards]
                self.reports.append((self.clock.now + REPORT_LAG_S, works))
            self.settle()
            self.send()

    def settle(self):
        now = self.clock.now
        for board in self.boards:
            board.entries.record_heartbeat('entry-0', self.heartbeat, now)
        while self.reports and self.reports[0][0] <= now:
            _, works = self.reports.popleft()
            for number, board in enumerate(self.boards):
                others = works[:number] + works[number + 1 :]
                board.update_peer_work(sum_work(others), now)
        while self.answers and self.answers[0][0] <= now:
            _, board, name = self.answers.popleft()
            live = board.endpoints.get(name)
            board.rate_limits.record(live, self.limits.get(name), now)
        while self.running and self.running[0][0] <= now:
            _, loads, names = self.running.popleft()
            loads.end(names, REQUEST.tokens.expected)

    def send(self):
        now = self.clock.now
        board = self.random.choice(self.boards)
        chosen = LoadAwareSelector(board, self.random).select(
            SelectionRequest(MODEL, REQUEST), now
        )
        self.sent += 1
        if chosen is None:
            self.refused += 1
            return
        names = [stage.endpoint.name for stage in chosen]
        board.rate_limits.record_send(names[0], now)
        board.loads.begin(names, REQUEST.tokens.expected)
        self.running.append((now + ANSWER_S, board.loads, names))
        self.answers.append((now + FIRST_EVENT_S, board, names[0]))
        if names[0] in self.arrivals:
            self.arrivals[names[0]].append(now)


def busiest_window(times):
    return max(
        sum(1 for other in times if time <= other < time + WINDOW_S)
        for time in times
    )


# Guards against entries that each keep to a limit, and not together.
@pytest.mark.parametrize('count', [1, 3, 26, 39])
@pytest.mark.parametrize('per_s', [0.5, 2.5, 10.0])
@pytest.mark.parametrize('seed', range(3))
def test_limit_holds_for_all_entries_together(count, per_s, seed):
    fleet = Fleet(count, {'c0-0': per_s}, seed)
    fleet.run(rate=60, seconds=24)
    times = fleet.arrivals['c0-0']
    late = [time for time in times if time > times[0] + CONTACT_S]
    assert busiest_window(late) <= 1.5 * per_s * WINDOW_S + 5
    # The rest is served by the heads that have named no limit.
    assert fleet.refused == 0


@pytest.mark.parametrize('count', [1, 3, 26])
def test_endpoint_in_need_gets_much_of_what_it_takes(count):
    fleet = Fleet(count, {'c0-0': 5.0}, seed=count)
    fleet.run(rate=60, seconds=24)
    times = fleet.arrivals['c0-0']
    late = [time for time in times if time > times[0] + 8]
    assert len(late) >= 0.6 * 5.0 * (24 - 8)


def test_what_all_heads_together_do_not_take_is_refused():
    names = {f'c{number}-0': 5.0 for number in range(4)}
    fleet = Fleet(3, names, seed=4)
    fleet.run(rate=60, seconds=20)
    for times in fleet.arrivals.values():
        late = [time for time in times if time > times[0] + CONTACT_S]
        assert busiest_window(late) <= 1.5 * 5.0 * WINDOW_S + 5
    assert fleet.refused > 0.4 * fleet.sent
    assert Counter(map(len, fleet.arrivals.values())).total() == 4


def test_full_rate_returns_once_no_limit_is_named():
    fleet = Fleet(3, {'c0-0': 1.0}, seed=5)
    fleet.run(rate=60, seconds=8)
    fleet.limits.clear()
    fleet.run(rate=60, seconds=10)
    late = [time for time in fleet.arrivals['c0-0'] if time > 110 + 4]
    assert len(late) > 3 * 4


def test_limit_is_kept_by_entries_that_know_of_it_from_others_alone():
    boards, clock, heartbeat = entries(2)
    for board in boards:
        board.entries.record_heartbeat('entry-0', heartbeat, clock.now)
    reported = {'c0-0': Work(sent=20, limit_per_s=2.0)}
    boards[1].update_peer_work(reported, clock.now)
    for seed in range(20):
        chosen = LoadAwareSelector(boards[1], Random(seed)).select(
            SelectionRequest(MODEL, REQUEST), clock.now
        )
        assert chosen[0].endpoint.name != 'c0-0'


def test_limit_of_an_earlier_incarnation_or_long_ago_does_not_hold():
    limits = RateLimits()
    limits.record(endpoint('e1', incarnation=1), 2.0, 0)
    assert limits.named(endpoint('e1', incarnation=1), 1) == 2.0
    assert limits.named(endpoint('e1', incarnation=2), 1) is None
    assert limits.named(endpoint('e1', incarnation=1), LIMIT_TTL_S + 1) is None


def test_requests_before_the_limit_was_named_count():
    limits = RateLimits()
    for _ in range(9):
        limits.record_send('e1', 0)
    limits.record(endpoint('e1'), 2.0, 1)
    assert limits.report(frozenset(), 1) == {
        'e1': Work(sent=9, limit_per_s=2.0)
    }
    assert limits.sent('e1', WINDOW_S + 1) == 0


def test_endpoints_that_are_gone_leave_nothing_behind():
    limits = RateLimits()
    for number in range(3 * MAX_ENDPOINTS):
        limits.record_send(f'e{number}', number)
    limits.record(endpoint('e1'), 2.0, 0)
    assert len(limits._sent_at) <= MAX_ENDPOINTS + 1
    assert limits.names(LIMIT_TTL_S + 1) == frozenset()
    assert limits.report(frozenset(), LIMIT_TTL_S + 1) == {}


def test_limits_survive_encoding_and_others_cost_nothing():
    work = {'e1': Work(1, 1, 9, 3, 2.5), 'e2': Work(1, 0, 9)}
    assert decode_work(encode_work(work)) == work
    assert encode_work(work)['e2'] == [1, 0, 9]


def test_repeats_and_resumptions_count_like_first_attempts():
    env = start_relay(
        kind=RouteKind.STREAM, resumable=True, layered=True, slack=100.0
    )
    first = env.accept_connection()
    first.start_stream('X-Limit: 2.5\r\n')
    first.send_event(1)
    first.close()
    env.accept_connection()
    now = env.reactor.seconds()
    assert env.context.rate_limits.named(endpoint('e1'), now) == 2.5
    assert env.context.rate_limits.sent('e1', now) == 1
    assert env.context.rate_limits.sent('e2', now) == 1
