"""An entry that loses its links to all engines, while others reach them.

What it finds is that nobody answers here, which says nothing about any engine.
"""

import asyncio
from random import Random

from foxtailhatch.placement.protocols import OrderOutcome
from foxtailhatch.router.group_stall_detector import (
    MIN_GROUP_STREAMS,
    PROBE_INTERVAL_S,
)
from foxtailhatch.router.keyed_log import Topic
from foxtailhatch.router.observation_publisher import ObservationPublisher
from foxtailhatch.router.reach_prober import ReachProber, ReachRecorder
from tests.fleet.endpoints import endpoint
from tests.router.fakes import (
    ListLog,
    MemoryEngines,
    MemoryStore,
    board,
    engine,
)
from tests.router.test_group_stall_detector import (
    ENDPOINTS,
    DetectorSetup,
    stream,
)
from tests.router.test_placement_controller import World, make_zone


# Guards against sound engines that are dead for all until the end of the day.
def test_chain_that_is_probed_in_parts_is_not_reported():
    """Most engines of the second chain were probed with the first one."""
    other = endpoint('e4', 'model')
    setup = DetectorSetup('e1', 'e2', 'e3', 'e4')
    streams = [stream() for _ in range(MIN_GROUP_STREAMS)]
    setup.check(streams, now=1.0)
    second = [
        stream(parts=[other, *ENDPOINTS]) for _ in range(MIN_GROUP_STREAMS)
    ]
    setup.check(second, now=1.0 + PROBE_INTERVAL_S / 2)
    assert setup.reported == []


# Guards against reports of deaths by an entry that reaches no engine.
def test_entry_that_reaches_no_engine_reports_no_death():
    env = board()
    store = MemoryStore()
    engines = MemoryEngines()
    written = []

    async def put(topic, key, value):
        written.append((topic, key))
        return await MemoryStore.put(store, topic, key, value)

    store.put = put
    for number in range(6):
        name = f'e{number}'
        env.endpoints.put(engine(name, layers=(0, 40)), 0)
        engines.outcomes[name] = OrderOutcome.NO_ANSWER
    recorder = ReachRecorder(engines, env)
    adapter = type('Adapter', (), {'store': store, 'engines': recorder})
    prober = ReachProber(env, recorder, ListLog(), Random(1))

    async def scenario():
        publisher = ObservationPublisher(
            env,
            adapter,
            ListLog(),
            prober,
            lambda _: False,
            lambda endpoint, now: None,
        )
        for name in ('e0', 'e1', 'e2'):
            publisher.confirm_suspect(env.endpoints.get(name), 'not_connected')
        await asyncio.sleep(0.05)

    asyncio.run(scenario())
    assert (Topic.OBSERVATIONS, 'e0') not in written
    assert not any(map(env.endpoints.is_dead, ('e0', 'e1', 'e2')))


# Guards against orders to, and reports of, engines that the leader lost sight of.
def test_leader_that_reaches_no_engine_reports_no_death():
    world = World(*make_zone())
    world.join()
    while not world.engines.orders:
        world.run(0.25)
    for name in tuple(world.board.endpoints.names()):
        world.engines.outcomes[name] = OrderOutcome.NO_ANSWER
    world.run(2.0)
    assert [seen for seen in world.observations if seen.is_dead] == []
