"""One decider at a time, under faults between decision and order."""

import asyncio
from dataclasses import replace

from foxtailhatch.core import LayerRange
from foxtailhatch.placement.layout import uncovered_ranges
from foxtailhatch.placement.protocols import OrderOutcome
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.router.keyed_log import Membership, StoreFault
from foxtailhatch.router.leader_lease import LeaderLease
from foxtailhatch.router.placement_controller import (
    RELEASE_NOTICE_S,
    PlacementController,
)
from tests.relay.fakes import ListLog
from tests.router.fakes import (
    Clock,
    MemoryEngines,
    MemoryStore,
    board,
    engine,
)


class World:
    """A decider, its engines and the time."""

    def __init__(self, *endpoints):
        self.clock = Clock()
        self.board = board(self.clock)
        self.store = MemoryStore()
        self.engines = MemoryEngines()
        self.log = ListLog()
        self.findings = []
        for one in endpoints:
            self.board.endpoints.put(one, 0)
        self.lease = LeaderLease(self.board, self.store, self.log)
        self.placement_controller = PlacementController(
            self.board,
            self.lease,
            self.engines,
            self.log,
            self.publish,
        )

    def publish(self, finding):
        self.findings.append(finding)
        finding.apply(self.board.endpoints, self.clock.now)

    def join(self):
        asyncio.run(self.lease.maintain(is_candidate=True))

    def run(self, seconds):
        for _ in range(int(seconds / 0.25)):
            self.clock.now += 0.25
            if not self.store.fault:
                self.board.configuration_confirmed_at = self.clock.now
            self.join()
            asyncio.run(self.placement_controller.step())

    def held(self):
        return {
            name: self.board.endpoints.get(name).layers
            for name in self.board.endpoints.names()
        }


def zone(count=12):
    return [engine(f'e{place:02}') for place in range(count)]


def placed_world():
    world = World(*zone())
    world.join()
    world.run(4)
    return world


def test_empty_engines_are_given_the_whole_model():
    world = placed_world()
    held = sorted(one for one in world.held().values() if one)
    assert held[0].first == 0
    assert max(one.end for one in held) == 80


def test_nothing_is_ordered_without_the_turn():
    world = World(*zone())
    world.store.membership = Membership(1, is_holder=False)
    world.join()
    world.run(4)
    assert world.engines.orders == []


def test_nothing_is_ordered_while_the_list_still_grows():
    world = World(*zone(3))
    world.join()
    for place in range(8):
        world.board.endpoints.put(engine(f'late{place}'), 0)
        world.run(0.5)
    assert world.engines.orders == []


def test_whole_placement_is_left_alone():
    world = placed_world()
    count = len(world.engines.orders)
    world.run(10)
    assert len(world.engines.orders) == count


def test_layers_of_a_dead_engine_are_placed_again():
    world = placed_world()
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    world.run(3)
    rest = [
        layers
        for name, layers in world.held().items()
        if name != 'e05' and layers
    ]
    reached = 0
    for layers in sorted(rest):
        assert layers.first <= reached
        reached = max(reached, layers.end)
    assert reached == 80


def test_store_that_is_away_does_not_stop_repairs():
    world = placed_world()
    world.store.fault = StoreFault.UNREACHABLE
    world.join()
    count = len(world.engines.orders)
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    world.run(3)
    assert len(world.engines.orders) > count


def test_fenced_decider_gives_no_further_orders():
    world = placed_world()
    for name in world.engines.fences:
        world.engines.fences[name] = 9
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    world.run(3)
    fenced = [
        line
        for line in world.log.of('order')
        if line['outcome'] == OrderOutcome.FENCED.value
    ]
    before = len(world.log.of('order'))
    world.run(5)
    assert fenced
    assert len(world.log.of('order')) == before


def test_higher_generation_ends_the_fence():
    world = placed_world()
    for name in world.engines.fences:
        world.engines.fences[name] = 9
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    world.run(3)
    world.store.membership = Membership(10, is_holder=True)
    world.join()
    count = len(world.engines.orders)
    world.run(3)
    assert len(world.engines.orders) > count


def test_new_decider_learns_how_many_orders_an_engine_accepted():
    world = World(*zone())
    for one in zone():
        world.engines.reports[one.name] = EngineReport(orders=4)
    world.join()
    world.run(6)
    assert sum(one is not None for one in world.held().values()) == 12


def test_silent_engine_is_found_dead():
    world = World(*zone())
    world.engines.outcomes['e03'] = OrderOutcome.NO_ANSWER
    world.join()
    world.run(4)
    assert [one.endpoint for one in world.findings if one.is_dead] == ['e03']


def test_lost_answer_of_an_order_is_followed_by_looking():
    world = placed_world()
    original = world.engines.place

    async def lose_answer(*args):
        await original(*args)
        return OrderOutcome.NO_ANSWER

    world.engines.place = lose_answer
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    count = len(world.engines.orders)
    world.run(4)
    ordered = world.engines.orders[count:]
    assert ordered
    assert len(set(ordered)) == len(ordered)


def test_finding_tells_the_others_what_an_engine_now_holds():
    world = placed_world()
    told = {one.endpoint: one.layers for one in world.findings}
    assert told == {name: one for name, one in world.held().items() if one}
    assert all(isinstance(one, LayerRange) for one in told.values())
    assert uncovered_ranges([], 80) == [LayerRange(0, 80)]


def test_entries_hear_that_layers_go_before_the_engine_does():
    """Requests on their way to layers that are given up are refused."""
    world = placed_world()
    told, known_for = {}, []
    publish, place = world.publish, world.engines.place

    def note(finding):
        told[finding.endpoint, finding.layers] = world.clock.now
        publish(finding)

    async def order(one, layers, fence, expected):
        held = world.board.endpoints.get(one.name).layers
        if held == layers:
            known_for.append(world.clock.now - told[one.name, held])
        return await place(one, layers, fence, expected)

    world.placement_controller._publish = note
    world.engines.place = order
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    world.run(12)
    assert known_for
    assert min(known_for) >= RELEASE_NOTICE_S


def test_new_holder_repairs_at_once_while_endpoints_come_and_go():
    """A release: the list changes all the time, and the turn moves."""
    first = placed_world()
    held = first.held()
    world = World(
        *(
            replace(first.board.endpoints.get(name), layers=layers)
            for name, layers in held.items()
            if name != 'e05'
        ),
    )
    world.run(0.25)
    assert world.engines.orders
