"""When paused streams are hedged, alone and at many entries at once."""

from random import Random
from types import SimpleNamespace

import pytest

from foxtailhatch.relay.context import SelectionRequest
from foxtailhatch.relay.hedging import MIN_PAUSE_S
from foxtailhatch.relay.retry_budget import USABLE_SHARE, RetryBudget
from foxtailhatch.router.endpoint_selection import LoadAwareSelector
from foxtailhatch.router.hedge_controller import (
    CHECK_PERIOD_S,
    FUTILE_DELAY_S,
    IDLE_PERIOD_S,
    MAX_FUTILE_STARTS,
    MAX_LATENESS_S,
    HedgeController,
)
from foxtailhatch.routes import RouteKind
from tests.chains.test_shared_link_overload import REQUEST, engine
from tests.fleet.endpoints import endpoint
from tests.relay.fakes import FakeCaller, start_relay
from tests.router.fakes import Clock, board
from tests.router.hedge_model import DETECTION_S, HedgeModel, run_at_once
from tests.routes.configurations import MODEL

STREAM = {'kind': RouteKind.STREAM, 'resumable': True, 'layered': True}
NAMES = ('e1', 'e2', 'e3', 'e4')
SEEDS = range(1, 5)


def play(lost_engines, entries, streams_each, seed, is_hedged):
    """Silence engines; return the share of their streams that are on time."""
    model = HedgeModel(entries, streams_each, seed, is_hedged)
    model.run(1.3)
    names = lost_engines(model)
    hit = model.silence(names)
    model.run(DETECTION_S)
    model.detect(names)
    model.run(1)
    on_time = model.on_time(hit) * len(hit) if hit else 0
    return on_time, len(hit), model


def share_on_time(lost_engines, entries, streams_each, is_hedged):
    plays = [
        play(lost_engines, entries, streams_each, seed, is_hedged)
        for seed in (SEEDS if is_hedged else SEEDS[:1])
    ]
    return sum(play[0] for play in plays) / sum(play[1] for play in plays)


# Load: 30 entries with one stream, or three, each.  A stage dies, and nothing reacts
# to that for 0.3 s.  Nine in ten hedges are to arrive within 0.25 s; the bound leaves
# room for the time to connect and for the steps of the model.
@pytest.mark.parametrize('streams_each', [1, 3])
def test_streams_over_a_dead_stage_are_on_time(streams_each):
    def lost(model):
        return [model.most_used()]

    assert share_on_time(lost, 30, streams_each, is_hedged=False) == 0
    assert share_on_time(lost, 30, streams_each, is_hedged=True) > 0.75


# Load: 4 of 32 engines of a zone are lost at once, with three streams at each of
# 30 entries.  Many other chains of the zone hold one of them too, so hedges that
# stay in the zone meet them (a share of 0.33 in a trial).
def test_most_streams_over_a_lost_group_are_on_time():
    def lost(model):
        return model.some_of('z1', 4)

    assert share_on_time(lost, 30, 3, is_hedged=False) == 0
    assert share_on_time(lost, 30, 3, is_hedged=True) > 0.5


# Load: one engine of 30 entries is silent for 1 s and then goes on, as sound ones may.
# Guards against events that come twice, and against its loss.
def test_streams_are_whole_after_a_sound_engine_was_silent():
    model = HedgeModel(30, 2)
    model.run(1.3)
    name = model.most_used()
    hit = model.silence([name], 1.0)
    assert hit
    model.run(4)
    for caller in model.callers.values():
        numbers = [
            int(line[4:])
            for line in caller.body.splitlines()
            if line.startswith(b'id: ')
        ]
        assert numbers == list(range(1, len(numbers) + 1))
        assert caller.finished
    assert model.outcomes()
    for context in model.contexts:
        assert not context.endpoints.is_lost(name)
        assert context.loads.in_progress() == {}


# Guards against hedges on sound chains, whose events come every 40 ms.
def test_streams_over_sound_chains_are_not_hedged():
    model = HedgeModel(30, 3)
    model.run(4)
    assert model.outcomes() == []


def paused_streams(chains, budget=None):
    """Return an entry with streams that pause, over each of some chains."""
    env = start_relay(names=NAMES, attempts=4, budget=budget, **STREAM)
    env.relays, env.conns = [env.relay], [env.accept_connection()]
    for _ in chains[1:]:
        relay = type(env.relay)(
            env.context, env.relay.admitted, FakeCaller(), env.reactor.seconds()
        )
        relay.begin()
        env.relays.append(relay)
        env.conns.append(env.accept_connection())
    for conn in env.conns:
        conn.start_stream()
        conn.send_event(1)
    for relay, names in zip(env.relays, chains, strict=True):
        stage = relay.attempt.chosen[0]
        relay.attempt.switch_chain(
            tuple(
                type(stage)(env.context.endpoints.get(name), stage.layers)
                for name in names
            )
        )
    env.controller = HedgeController(env.context)
    return env


def check_until(env, until):
    """Run the checks on time up to a moment."""
    while env.reactor.seconds() < until:
        run_at_once(env.controller.step())
        left_s = until - env.reactor.seconds()
        env.reactor.advance(min(env.controller.delay_s(), left_s))
    run_at_once(env.controller.step())


def hedge_count(env):
    return len(env.log.of('hedged'))


def test_paused_stream_is_hedged_in_time():
    env = paused_streams([('e1',)])
    due_at = env.relay.hedging.due_at
    check_until(env, due_at - CHECK_PERIOD_S)
    assert hedge_count(env) == 0
    check_until(env, due_at + 0.001)
    assert hedge_count(env) == 1
    line = env.log.of('hedged')[0]
    assert line['chains'] == [['e1'], ['e2']]
    assert line['pause_s'] < env.relay.admitted.route.max_gap_s


# Guards against hedges for events that have arrived and are not read yet.
@pytest.mark.parametrize(
    ('late_s', 'count'), [(MAX_LATENESS_S + 0.01, 0), (0.05, 1)]
)
def test_nothing_is_hedged_in_a_check_that_was_late(late_s, count):
    env = paused_streams([('e1',)])
    run_at_once(env.controller.step())
    env.reactor.advance(env.controller.delay_s() + late_s)
    run_at_once(env.controller.step())
    assert hedge_count(env) == count


# Guards against hedges of all streams of an entry that is cut off.
def test_nothing_is_hedged_if_streams_without_a_common_endpoint_pause():
    env = paused_streams([('e1', 'e2'), ('e3',)])
    check_until(env, 1)
    assert hedge_count(env) == 0


@pytest.mark.parametrize('second', [('e1', 'e3'), ('e3', 'e2')])
def test_streams_with_a_common_endpoint_are_hedged(second):
    env = paused_streams([('e1', 'e2'), second])
    check_until(env, env.relay.hedging.due_at)
    assert hedge_count(env) > 0


# Guards against late streams after the loss of several engines at once.
def test_streams_are_hedged_while_another_one_goes_on():
    env = paused_streams([('e1',), ('e2',), ('e3',)])
    due_at = env.relay.hedging.due_at
    env.reactor.advance(due_at - env.reactor.seconds())
    env.conns[2].send_event(2)
    run_at_once(env.controller.step())
    assert hedge_count(env) == 2


# Guards against hedges that take the budget of retries after failures: of five
# retries, three are left after two hedges, and then two.
def test_half_of_the_budget_is_left():
    budget = RetryBudget(0, 5 / USABLE_SHARE, 10, started_at=-10)
    env = paused_streams([('e1',)] * 5, budget)
    check_until(env, 0.5)
    assert hedge_count(env) == 3
    assert budget.remaining('plain', env.reactor.seconds(), 1) == 2


# Guards against a second chain over an endpoint that other streams wait for.
def test_hedge_avoids_endpoints_of_other_paused_streams():
    env = paused_streams([('e1', 'e4'), ('e2', 'e4')])
    check_until(env, env.relay.hedging.due_at + 0.001)
    heads = [line['chains'][1] for line in env.log.of('hedged')]
    assert heads == [['e3'], ['e3']]


# Guards against processor time for streams that go on: of an entry, all control may
# take 2.9 % of a core.
def test_checks_are_rare_while_all_streams_go_on():
    env = paused_streams([('e1',)])
    env.context.selector.select = None
    checks = 0
    next_event = 2
    while env.reactor.seconds() < 10:
        run_at_once(env.controller.step())
        checks += 1
        until = env.reactor.seconds() + env.controller.delay_s()
        while env.reactor.seconds() < until:
            env.reactor.advance(min(0.04, until - env.reactor.seconds()))
            env.conns[0].send_event(next_event)
            next_event += 1
        if env.relay.is_over:
            break
    assert checks / env.reactor.seconds() < 1.1 / IDLE_PERIOD_S


def test_entry_without_streams_checks_rarely():
    env = paused_streams([('e1',)])
    env.relay.caller_disconnected()
    run_at_once(env.controller.step())
    assert env.controller.delay_s() == pytest.approx(IDLE_PERIOD_S)
    assert IDLE_PERIOD_S <= MIN_PAUSE_S


# Guards against an event loop that is busy with searches while a zone has no chain
# left: 50 streams pause, and each search fails.
def test_searches_without_a_result_are_few():
    env = paused_streams([('e1',)] * 50)
    searches = []
    env.context.selector.select = lambda selection, now: searches.append(now)
    begin = env.reactor.seconds()
    check_until(env, begin + 2)
    per_check = MAX_FUTILE_STARTS
    assert 0 < len(searches) <= 2 * (per_check / FUTILE_DELAY_S + per_check)


# Guards against a hedge that stays behind on a chain that is known to be lost.
def test_hedge_over_a_lost_endpoint_does_not_take_over():
    env = paused_streams([('e1',)])
    check_until(env, env.relay.hedging.due_at + 0.001)
    env.accept_connection()
    env.context.endpoints.mark_silent('e2', 1)
    env.context.endpoints.mark_silent('e1', 1)
    assert env.relay.abandon_attempt('lost chain head')
    assert b'X-To: e3' in env.accept_connection().request
    assert env.metrics.hedges == ['failed']


def select_in_one_zone(engines):
    env = board(Clock())
    for live in engines:
        env.endpoints.put(live, env.clock())
    selection = SelectionRequest(MODEL, REQUEST, is_single_zone=True)
    chosen = LoadAwareSelector(env, Random(1)).select(selection, env.clock())
    return chosen and {stage.endpoint.zone for stage in chosen}


def halves(zone, *parts):
    ranges = {'first': (0, 40), 'last': (40, 80)}
    return [
        engine(f'{zone}-{part}', zone, ranges[part], 'large') for part in parts
    ]


# Guards against a load of the link between zones by hedges.
@pytest.mark.parametrize(
    ('engines', 'zones'),
    [
        (halves('z1', 'first', 'last') + halves('z2', 'first', 'last'), {'z1'}),
        (halves('z1', 'first') + halves('z2', 'first', 'last'), {'z2'}),
        (halves('z1', 'first') + halves('z2', 'last'), None),
    ],
)
def test_chain_lies_in_one_zone(engines, zones):
    assert select_in_one_zone(engines) == zones


def test_endpoint_of_a_plain_service_is_in_one_zone():
    env = board(Clock())
    env.endpoints.put(endpoint('p1', zone='z2'), env.clock())
    service = SimpleNamespace(name='plain', engine=None)
    selection = SelectionRequest(service, REQUEST, is_single_zone=True)
    chosen = LoadAwareSelector(env, Random(1)).select(selection, env.clock())
    assert [stage.endpoint.name for stage in chosen] == ['p1']
