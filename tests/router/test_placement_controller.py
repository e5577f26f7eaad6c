"""One controller at a time, and faults between the plan and the order."""

import asyncio
from dataclasses import replace
from random import Random

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import Work
from foxtailhatch.placement.layout import uncovered_ranges
from foxtailhatch.placement.protocols import EngineFault, OrderOutcome
from foxtailhatch.placement.reports import EngineReport
from foxtailhatch.router.keyed_log import Membership, StoreFault
from foxtailhatch.router.leader_lease import LeaderLease
from foxtailhatch.router.placement_controller import (
    RELEASE_NOTICE_S,
    PlacementController,
)
from foxtailhatch.router.reach_prober import ReachProber, ReachRecorder
from tests.relay.fakes import ListLog
from tests.router.fakes import (
    Clock,
    MemoryEngines,
    MemoryStore,
    board,
    engine,
)


class World:
    """A controller, its engines and its clock."""

    def __init__(self, *endpoints):
        self.clock = Clock()
        self.board = board(self.clock)
        self.store = MemoryStore()
        self.engines = MemoryEngines()
        self.log = ListLog()
        self.observations = []
        for added in endpoints:
            self.board.endpoints.put(added, 0)
        self.lease = LeaderLease(self.board, self.store, self.log)
        recorder = ReachRecorder(self.engines, self.board)
        self.controller = PlacementController(
            self.board,
            self.lease,
            recorder,
            self.log,
            self.publish,
            ReachProber(self.board, recorder, self.log, Random(1)).has_witness,
        )

    def publish(self, observation):
        self.observations.append(observation)
        observation.apply(self.board.endpoints, self.clock.now)

    def join(self):
        asyncio.run(self.lease.maintain(is_candidate=True))

    def run(self, seconds):
        for _ in range(int(seconds / 0.25)):
            self.clock.now += 0.25
            if not self.store.fault:
                self.board.configuration_confirmed_at = self.clock.now
            self.join()
            asyncio.run(self.controller.step())

    def held(self):
        return {
            name: self.board.endpoints.get(name).layers
            for name in self.board.endpoints.names()
        }


def make_zone(count=12):
    return [engine(f'e{number:02}') for number in range(count)]


def placed_world():
    world = World(*make_zone())
    world.join()
    world.run(4)
    return world


def test_empty_engines_get_the_whole_model():
    world = placed_world()
    held = sorted(layers for layers in world.held().values() if layers)
    assert held[0].first == 0
    assert max(layers.end for layers in held) == 80


def test_nothing_is_ordered_without_the_lease():
    world = World(*make_zone())
    world.store.membership = Membership(1, is_holder=False)
    world.join()
    world.run(4)
    assert world.engines.orders == []


def test_nothing_is_ordered_while_the_list_grows():
    world = World(*make_zone(3))
    world.join()
    for number in range(8):
        world.board.endpoints.put(engine(f'late{number}'), 0)
        world.run(0.5)
    assert world.engines.orders == []


def test_complete_placement_is_not_changed():
    world = placed_world()
    count = len(world.engines.orders)
    world.run(10)
    assert len(world.engines.orders) == count


def test_layers_of_a_dead_engine_are_replaced():
    world = placed_world()
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    world.run(3)
    remaining = [
        layers
        for name, layers in world.held().items()
        if name != 'e05' and layers
    ]
    covered_to = 0
    for layers in sorted(remaining):
        assert layers.first <= covered_to
        covered_to = max(covered_to, layers.end)
    assert covered_to == 80


def test_lost_layers_are_replaced_in_a_store_outage():
    world = placed_world()
    world.store.fault = StoreFault.UNREACHABLE
    world.join()
    count = len(world.engines.orders)
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    world.run(3)
    assert len(world.engines.orders) > count


def test_fenced_controller_gives_no_further_orders():
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


def test_controller_resumes_with_a_higher_generation():
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


def test_new_controller_learns_the_order_counts_of_engines():
    world = World(*make_zone())
    for empty in make_zone():
        world.engines.reports[empty.name] = EngineReport(orders=4)
    world.join()
    world.run(6)
    assert sum(layers is not None for layers in world.held().values()) == 12


def test_unresponsive_engine_is_observed_dead():
    world = World(*make_zone())
    world.engines.outcomes['e03'] = OrderOutcome.NO_ANSWER
    world.join()
    world.run(4)
    assert [
        observation.endpoint
        for observation in world.observations
        if observation.is_dead
    ] == ['e03']


# Guards against a death by one report that did not come.
def test_engine_that_is_silent_for_a_second_after_an_order_is_not_dead():
    world = World(*make_zone())
    world.engines.fault = EngineFault.NO_RESPONSE
    world.join()
    while not world.engines.orders:
        world.run(0.25)
    ordered = world.engines.orders[0][0]
    world.engines.outcomes[ordered] = OrderOutcome.NO_ANSWER
    world.run(1.0)
    world.engines.outcomes.clear()
    world.run(4)
    assert [seen for seen in world.observations if seen.is_dead] == []


def test_order_with_a_lost_answer_is_not_repeated():
    world = placed_world()
    place = world.engines.place

    async def lose_answer(*args):
        await place(*args)
        return OrderOutcome.NO_ANSWER

    world.engines.place = lose_answer
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    count = len(world.engines.orders)
    world.run(4)
    ordered = world.engines.orders[count:]
    assert ordered
    assert len(set(ordered)) == len(ordered)


def test_layers_held_after_an_order_are_published():
    world = placed_world()
    published = {
        observation.endpoint: observation.layers
        for observation in world.observations
    }
    assert published == {
        name: layers for name, layers in world.held().items() if layers
    }
    assert all(isinstance(layers, LayerRange) for layers in published.values())
    assert uncovered_ranges([], 80) == [LayerRange(0, 80)]


def test_release_of_layers_is_announced_before_the_order():
    """An engine refuses requests that arrive for layers it has released."""
    world = placed_world()
    published_at, notice_times = {}, []
    publish, place = world.publish, world.engines.place

    def record_publish(observation):
        published_at[observation.endpoint, observation.layers] = world.clock.now
        publish(observation)

    async def record_order(ordered, layers, fence, expected):
        held = world.board.endpoints.get(ordered.name).layers
        if held == layers:
            notice_times.append(
                world.clock.now - published_at[ordered.name, held]
            )
        return await place(ordered, layers, fence, expected)

    world.controller._publish = record_publish
    world.engines.place = record_order
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    world.run(12)
    assert notice_times
    assert min(notice_times) >= RELEASE_NOTICE_S


def test_new_holder_replaces_layers_at_once_while_the_list_changes():
    """In a release the list changes all the time, and the lease moves."""
    first = placed_world()
    held = first.held()
    world = World(
        *(
            replace(first.board.endpoints.get(name), layers=layers)
            for name, layers in held.items()
            if name != 'e05'
        ),
    )
    world.engines.reports = first.engines.reports
    world.run(0.25)
    assert world.engines.orders


def refusing_world(report):
    """Return a world whose lost layers one engine has been ordered to hold.

    The order is that of a previous leader, which this entry does not know.
    """
    world = placed_world()
    for name in world.board.endpoints.names():
        world.engines.reports[name] = replace(
            world.engines.reports.get(name, EngineReport()),
            orders=5,
            layers=report.layers,
            is_busy=report.is_busy,
        )
    world.engines.orders.clear()
    world.board.endpoints.mark_dead('e05', 1, world.clock.now)
    return world


def test_engine_that_executes_an_order_of_another_is_left_alone():
    """Two leaders in turn gave each engine other layers, and none served."""
    world = refusing_world(EngineReport(is_busy=True))
    world.run(2)
    assert world.engines.orders == []
    assert world.log.of('order_of_another')


def test_plan_for_layers_that_an_engine_no_longer_holds_is_dropped():
    world = refusing_world(EngineReport(layers=LayerRange(0, 2)))
    world.clock.now += 0.25
    asyncio.run(world.controller.step())
    assert world.engines.orders == []
    assert world.observations[-1].layers == LayerRange(0, 2)


def mixed_zone():
    """Return engines of which the slow ones are kept in reserve."""
    fast = [engine(f'fast{number}', 'large') for number in range(6)]
    return [*fast, *(engine(f'slow{number}') for number in range(3))]


def test_reserve_serves_while_requests_use_up_the_kv_cache():
    """A burst arrives faster than slow accelerators could be loaded later."""
    world = World(*mixed_zone())
    world.join()
    world.run(4)
    assert not any(
        layers
        for name, layers in world.held().items()
        if name.startswith('slow')
    )
    world.board.update_peer_work(
        {f'fast{number}': Work(80, 80, 90_000) for number in range(6)},
        world.clock.now,
    )
    world.clock.now += 0.25
    asyncio.run(world.controller.step())
    assert world.engines.orders[-1][0].startswith('slow')
