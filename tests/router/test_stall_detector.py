"""Detection of stalled streams, and rerouting around the cause."""

import asyncio
from dataclasses import replace

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointState
from foxtailhatch.placement.protocols import OrderOutcome, RerouteReply
from foxtailhatch.placement.reports import EngineReport, StalledRequest
from foxtailhatch.relay.context import SelectedStage
from foxtailhatch.router.stall_detector import (
    MAX_HEAD_REROUTES,
    STALL_AFTER_S,
    StallDetector,
)
from foxtailhatch.routes import RouteKind
from tests.relay.fakes import start_relay
from tests.router.fakes import MemoryEngines
from tests.router.test_group_stall_detector import Stream


def stalled_setup(names=('e1', 'e2')):
    env = start_relay(
        names=names,
        kind=RouteKind.STREAM,
        resumable=True,
        layered=True,
    )
    env.endpoint_conn = env.accept_connection()
    env.endpoint_conn.start_stream()
    env.endpoint_conn.send_event(1)
    env.engines = MemoryEngines()

    async def has_witness(silent, since):
        return any(
            one.name not in env.engines.outcomes
            for one in map(endpoints.get, endpoints.names())
            if one not in silent
        )

    endpoints = env.context.endpoints
    env.detector = StallDetector(
        env.context, env.engines, lambda _: 0, has_witness
    )
    return env


def step(env):
    async def once():
        await env.detector.step()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(once())


def test_stream_with_progress_is_not_stalled():
    env = stalled_setup()
    env.reactor.advance(STALL_AFTER_S / 2)
    step(env)
    assert env.log.of('stalled') == []


def env_stalled_at_e2():
    """Return a setup in which the chain head reports waiting for ``e2``."""
    env = stalled_setup()
    address = env.context.endpoints.get('e2').address
    env.engines.reports['e1'] = EngineReport(
        stalled=(StalledRequest('request-1', address),),
    )
    env.reactor.advance(STALL_AFTER_S + 0.1)
    return env


def test_unresponsive_endpoint_that_work_waits_for_is_marked_silent():
    """Whether it is dead is for the probes of the suspect to show."""
    env = env_stalled_at_e2()
    env.engines.outcomes['e2'] = OrderOutcome.NO_ANSWER
    step(env)
    endpoints = env.context.endpoints
    assert endpoints.is_lost('e2')
    assert not endpoints.is_dead('e2')
    assert 'e2' not in [one.name for one in endpoints.alive('plain')]
    assert ('e2', 'stalled work') in env.suspects


# Guards against streams that are lost at a sound endpoint which is silent for a
# second.
def test_stream_goes_on_at_a_silent_chain_head_without_another_one():
    env = stalled_setup(('e1', 'e2'))
    env.context.endpoints.mark_dead('e2', 1, 0)
    env.engines.outcomes['e1'] = OrderOutcome.NO_ANSWER
    env.detector._suspect(env.context.endpoints.get('e1'), 'silent')
    for _ in range(10):
        env.reactor.advance(0.1)
        step(env)
    assert not env.relay.attempt.is_over
    env.endpoint_conn.send_event(2)
    assert b'id: 2' in env.caller.body


def test_responsive_endpoint_is_not_marked_dead():
    env = env_stalled_at_e2()
    step(env)
    assert not env.context.endpoints.is_lost('e2')
    assert env.log.of('alive_but_stalled')[0]['endpoint'] == 'e2'


def test_streams_are_rerouted_around_a_stalled_endpoint():
    env = env_stalled_at_e2()
    env.relay.attempt._endpoint_names = ['e1', 'e2']
    step(env)
    assert 'e2' in env.relay._history.selection().exclude


def test_stream_of_an_unresponsive_chain_head_resumes_elsewhere():
    env = stalled_setup()
    env.engines.outcomes['e1'] = OrderOutcome.NO_ANSWER
    env.reactor.advance(STALL_AFTER_S + 0.1)
    step(env)
    other = env.accept_connection()
    assert b'X-To: e2' in other.request
    assert b'X-After: 1' in other.request


def test_no_endpoint_is_marked_dead_if_none_responds():
    """A slow entry must not declare all chain heads dead.

    Its own delays make every probe time out.
    """
    env = stalled_setup()
    for name in ('e1', 'e2'):
        env.engines.outcomes[name] = OrderOutcome.NO_ANSWER
    env.reactor.advance(STALL_AFTER_S + 0.1)
    step(env)
    assert not env.context.endpoints.is_lost('e1')
    assert env.log.of('attempt_given_up') == []


def test_chain_head_is_not_queried_again_within_the_interval():
    env = stalled_setup()
    env.reactor.advance(STALL_AFTER_S + 0.1)
    step(env)
    step(env)
    assert len(env.log.of('stalled')) == 1


def test_no_reroute_is_sent_without_an_alternative_chain():
    env = stalled_setup()
    one = env.context.endpoints.get('e1')
    env.context.endpoints._draining_since[one.name, one.incarnation] = 0
    env.context.selector.select = lambda selection, now: None
    step(env)
    assert env.engines.moves == []


def test_refused_reroute_is_not_retried_at_once():
    env = stalled_setup()
    env.engines.move_answer = RerouteReply(OrderOutcome.CONFLICT)
    chosen = env.relay.attempt.chosen
    asyncio.run(
        env.detector._send_reroute(env.relay, chosen[0].endpoint, chosen)
    )
    env.detector._start_reroute(env.relay)
    assert not env.detector._rerouting


def test_refused_reroute_excludes_the_conflicting_endpoint():
    env = stalled_setup()
    address = env.context.endpoints.get('e2').address
    env.engines.move_answer = RerouteReply(OrderOutcome.CONFLICT, address)
    chosen = env.relay.attempt.chosen
    asyncio.run(
        env.detector._send_reroute(env.relay, chosen[0].endpoint, chosen)
    )
    assert env.relay.select_reroute(0) is not None
    assert 'e2' in env.relay._history.selection().exclude


def test_endpoint_with_recent_progress_is_not_marked_silent():
    env = stalled_setup()
    env.detector._suspect(
        env.context.endpoints.get('e1'), 'unresponsive chain head'
    )
    assert not env.context.endpoints.is_lost('e1')
    assert env.log.of('death_report_rejected')[0]['endpoint'] == 'e1'


def test_stream_is_rerouted_once_its_chain_is_no_longer_usable():
    """That the chain was usable at an earlier step does not count."""
    env = stalled_setup(('e1', 'e2', 'e3'))
    step(env)
    used = [stage.endpoint for stage in env.relay.attempt.chosen]
    assert env.engines.moves == []
    env.context.endpoints.mark_dead(
        used[-1].name, used[-1].incarnation, env.context.clock()
    )
    step(env)
    is_moved = bool(env.engines.moves)
    is_abandoned = bool(env.log.of('attempt_given_up'))
    assert is_moved or is_abandoned


def drain(env, name):
    endpoints = env.context.endpoints
    draining = replace(endpoints.get(name), state=EndpointState.DRAINING)
    endpoints.put(draining, env.context.clock())


def make_chain_of_two(env, others):
    """Let the stream run over ``e1`` and ``e2``, with ``others`` to go on."""
    endpoints = env.context.endpoints
    head = SelectedStage(endpoints.get('e1'), LayerRange(0, 40))
    chains = {
        name: (head, SelectedStage(endpoints.get(name), LayerRange(40, 80)))
        for name in ('e2', *others)
    }
    env.relay.attempt.switch_chain(chains['e2'])

    def select(selection, now):
        names = [name for name in others if name not in selection.exclude]
        return chains[names[0]] if selection.first and names else None

    env.context.selector.select = select


# Guards against streams that are moved every 50 ms as long as their head drains:
# each time all other stages read the whole prompt again, so none got on.
def test_stream_whose_head_drains_is_not_moved():
    env = stalled_setup(('e1', 'e2', 'e3'))
    make_chain_of_two(env, others=['e3', 'e2'])
    drain(env, 'e1')
    for _ in range(20):
        env.reactor.advance(0.2)
        step(env)
    assert env.engines.moves == []
    assert not env.relay.attempt.is_over


def test_stream_over_a_draining_stage_is_moved_once():
    env = stalled_setup(('e1', 'e2', 'e3'))
    make_chain_of_two(env, others=['e3'])
    drain(env, 'e2')
    for _ in range(20):
        env.reactor.advance(0.05)
        step(env)
    assert len(env.engines.moves) == 1


# Guards against entries whose processor time goes into searches in vain: each takes
# a millisecond and more, and a stalled stream made one every 50 ms.
def test_search_in_vain_is_not_repeated_at_each_step():
    env = stalled_setup(('e1', 'e2', 'e3'))
    make_chain_of_two(env, others=['e3'])
    drain(env, 'e2')
    searches = []
    env.relay.select_reroute = searches.append
    for _ in range(8):
        env.reactor.advance(0.05)
        step(env)
    assert 2 <= len(searches) <= 4


# Guards against entries that use up the connections of a chain head by asking it to
# move all of its streams at once, and take its resets for its death.
def test_reroutes_to_one_chain_head_are_few_at_a_time():
    env = stalled_setup(('e1', 'e2', 'e3'))
    make_chain_of_two(env, others=['e3'])
    drain(env, 'e2')
    asked = []

    async def reroute(head, order):
        asked.append(order.request_id)
        await asyncio.sleep(3600)

    env.engines.reroute = reroute
    others = [
        Stream(
            request_id=f'other-{number}',
            admitted=env.relay.admitted,
            attempt=env.relay.attempt,
            is_over=False,
            is_started=True,
            last_progress_at=env.context.clock(),
            select_reroute=env.relay.select_reroute,
            can_restart_elsewhere=lambda: False,
        )
        for number in range(20)
    ]
    env.context.running.update(others)
    step(env)
    assert 0 < len(asked) <= MAX_HEAD_REROUTES


def test_entry_without_requests_checks_nothing():
    env = stalled_setup()
    env.relay.caller_disconnected()
    assert not env.detector.has_streams
    env.reactor.advance(STALL_AFTER_S + 0.1)
    step(env)
    assert env.log.of('stalled') == []
