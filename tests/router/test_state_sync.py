"""Which topics an entry reads from the store, and when it reads none."""

import asyncio
from types import SimpleNamespace

from returns.result import Success

from foxtailhatch.router.keyed_log import KeyedRecord, StoreFault, Topic
from foxtailhatch.router.state_sync import STARTUP_S, StateSync
from tests.relay.fakes import ListLog
from tests.router.entry_network import STORE, EntryNetwork
from tests.router.fakes import Clock, MemoryStore, board
from tests.router.test_entry_table import entry
from tests.routes.configurations import configuration


class RecordingStore(MemoryStore):
    """A store that records which topics are read."""

    def __init__(self):
        super().__init__()
        self.read_topics = []

    async def read_latest(self, topic):
        self.read_topics.append(topic)
        return await super().read_latest(topic)

    async def read(self, topic, offset, wait_s):
        self.read_topics.append(topic)
        return await super().read(topic, offset, wait_s)


class ManualLoops:
    """Loops that take one step each time a test calls :meth:`run`."""

    def __init__(self):
        self.steps = []

    def repeat(self, pause_s, step):
        self.steps.append(step)

    def run(self):
        async def once():
            for step in self.steps:
                await step()

        asyncio.run(once())


def make_world():
    clock = Clock()
    store = RecordingStore()
    blackboard = board(clock, has_configuration=False)
    adapter = SimpleNamespace(
        store=store,
        configuration_key='config',
        decode_configuration=lambda raw: Success(
            configuration(version=int(raw))
        ),
    )
    state_sync = StateSync(
        blackboard,
        adapter,
        ListLog(),
        lambda: entry('entry-1'),
        lambda address: None,
        lambda name, now: False,
        SimpleNamespace(apply=lambda records, **kind: None),
    )
    loops = ManualLoops()
    state_sync.start(loops)
    return SimpleNamespace(
        board=blackboard,
        clock=clock,
        store=store,
        state_sync=state_sync,
        loops=loops,
    )


def test_starting_entry_reads_what_its_first_requests_need():
    """After all entries were killed at once, requests continue to come."""
    world = make_world()
    world.loops.run()
    assert Topic.CONFIGURATION in world.store.read_topics
    assert Topic.ENDPOINTS in world.store.read_topics


def test_starting_entry_reads_other_topics_only_after_startup():
    """If all entries start at once, each would read everything."""
    world = make_world()
    world.loops.run()
    world.loops.run()
    assert world.store.read_topics.count(Topic.ENDPOINTS) == 1
    assert world.store.read_topics.count(Topic.ENTRIES) == 2
    assert Topic.OBSERVATIONS not in world.store.read_topics


def test_entry_without_peers_reads_all_topics_after_startup():
    world = make_world()
    world.clock.now += STARTUP_S + 0.1
    world.loops.run()
    assert set(world.store.read_topics) == set(Topic)


def test_one_topic_is_read_in_an_outage():
    world = make_world()
    world.clock.now += STARTUP_S + 0.1
    world.store.fault = StoreFault.UNREACHABLE
    world.loops.run()
    world.loops.run()
    world.store.read_topics.clear()
    world.loops.run()
    assert world.store.read_topics == [Topic.CONFIGURATION]


# Guards against entries that start after a restore, and are fed the older copy.
def test_feed_keeps_the_configuration_in_force_after_a_restore():
    world = make_world()
    for version in (b'3', b'7'):
        world.store.add(Topic.CONFIGURATION, KeyedRecord('config', version))
    world.loops.run()
    world.store.restore(Topic.CONFIGURATION, length=1)
    world.loops.run()
    world.loops.run()
    fed, is_snapshot = world.state_sync.mirror.topics[
        Topic.CONFIGURATION
    ].since(None)
    assert world.board.store_epoch == 1
    assert world.board.table.version == 7
    assert (fed, is_snapshot) == ([KeyedRecord('config', b'7')], True)


def test_time_since_which_the_store_is_read_is_recorded():
    world = make_world()
    world.loops.run()
    assert world.state_sync.reads_store
    assert world.state_sync.reading_store_since == world.clock.now


# Guards against entries that are taken for gone after an outage of the store.
def test_heartbeats_may_be_missed_during_an_outage_and_a_while_after_it():
    network = EntryNetwork(zones=1, entries_per_zone=1)
    network.run(5)
    (one,) = network.entries.values()
    assert not one.board.may_miss_heartbeats(network.loop.now)
    network.cut(one.name, STORE)
    network.run(5)
    assert one.board.may_miss_heartbeats(network.loop.now)
    network.restore(one.name, STORE)
    network.run(3)
    assert one.board.may_miss_heartbeats(network.loop.now)
    network.run(5)
    assert not one.board.may_miss_heartbeats(network.loop.now)
    network.close()
