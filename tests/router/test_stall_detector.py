"""Streams that stand still, and the way around what they wait for."""

import asyncio

from foxtailhatch.placement.protocols import OrderOutcome, RerouteReply
from foxtailhatch.placement.reports import EngineReport, StalledRequest
from foxtailhatch.router.stall_detector import STALL_AFTER_S, StallDetector
from foxtailhatch.routes import RouteKind
from tests.relay.fakes import bench
from tests.router.fakes import MemoryEngines


def world(names=('e1', 'e2')):
    made = bench(
        names=names,
        kind=RouteKind.STREAM,
        resumable=True,
        layered=True,
    )
    made.side = made.connect()
    made.side.stream()
    made.side.event(1)
    made.engines = MemoryEngines()
    made.watch = StallDetector(made.parts, made.engines)
    return made


def step(made):
    async def once():
        await made.watch.step()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(once())


def test_stream_with_progress_is_left_alone():
    made = world()
    made.reactor.advance(STALL_AFTER_S / 2)
    step(made)
    assert made.log.of('stalled') == []


def stalled_at_e2():
    """Return a world whose receiver says that it waits for ``e2``."""
    made = world()
    address = made.parts.endpoints.get('e2').address
    made.engines.reports['e1'] = EngineReport(
        stalled=(StalledRequest('request-1', address),),
    )
    made.reactor.advance(STALL_AFTER_S + 0.1)
    return made


def test_silent_endpoint_that_work_waits_for_is_dead():
    made = stalled_at_e2()
    made.engines.outcomes['e2'] = OrderOutcome.NO_ANSWER
    step(made)
    assert made.parts.endpoints.is_dead('e2')
    assert ('e2', 'stalled work') in made.suspects


def test_endpoint_that_answers_is_not_taken_for_dead():
    made = stalled_at_e2()
    step(made)
    assert not made.parts.endpoints.is_dead('e2')
    assert made.log.of('alive_but_stalled')[0]['endpoint'] == 'e2'


def test_streams_are_led_around_an_endpoint_that_does_no_work():
    made = stalled_at_e2()
    made.relay.attempt._names = ['e1', 'e2']
    step(made)
    assert 'e2' in made.relay._receivers.choice().avoid


def test_stream_of_a_silent_receiver_goes_on_elsewhere():
    made = world()
    made.engines.outcomes['e1'] = OrderOutcome.NO_ANSWER
    made.reactor.advance(STALL_AFTER_S + 0.1)
    step(made)
    other = made.connect()
    assert b'X-To: e2' in other.request
    assert b'X-After: 1' in other.request


def test_silence_of_all_is_a_fault_of_this_side():
    """An entry that was slow itself declared three receivers dead."""
    made = world()
    for name in ('e1', 'e2'):
        made.engines.outcomes[name] = OrderOutcome.NO_ANSWER
    made.reactor.advance(STALL_AFTER_S + 0.1)
    step(made)
    assert not made.parts.endpoints.is_dead('e1')
    assert made.log.of('attempt_given_up') == []


def test_receiver_is_not_asked_again_at_once():
    made = world()
    made.reactor.advance(STALL_AFTER_S + 0.1)
    step(made)
    step(made)
    assert len(made.log.of('stalled')) == 1


def test_stream_that_crosses_a_leaving_endpoint_is_moved():
    made = world()
    one = made.parts.endpoints.get('e1')
    made.parts.endpoints._draining_since[one.name, one.incarnation] = 0
    made.parts.chooser.select = lambda choice, now: None
    step(made)
    assert made.engines.moves == []


def test_refused_move_is_not_repeated_at_once():
    made = world()
    made.engines.move_answer = RerouteReply(OrderOutcome.CONFLICT)
    chosen = made.relay.attempt.chosen
    asyncio.run(made.watch._repath(made.relay, chosen[0].endpoint, chosen))
    made.watch._start_move(made.relay)
    assert made.watch._moving == set()


def test_refused_move_leaves_the_endpoint_in_the_way_out():
    made = world()
    address = made.parts.endpoints.get('e2').address
    made.engines.move_answer = RerouteReply(OrderOutcome.CONFLICT, address)
    chosen = made.relay.attempt.chosen
    asyncio.run(made.watch._repath(made.relay, chosen[0].endpoint, chosen))
    assert made.relay.select_reroute(0) is not None
    assert 'e2' in made.relay._receivers.choice().avoid


def test_death_that_streams_contradict_is_doubted_with_a_line():
    made = world()
    made.watch._lost(made.parts.endpoints.get('e1'), 'silent receiver')
    assert not made.parts.endpoints.is_dead('e1')
    assert made.log.of('doubted')[0]['endpoint'] == 'e1'
