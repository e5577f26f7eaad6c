"""What an entry reads from the store, and when it leaves that to others."""

import asyncio
from types import SimpleNamespace

from foxtailhatch.router.keyed_log import StoreFault, Topic
from foxtailhatch.router.state_sync import NEWCOMER_S, StateSync
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, MemoryStore, board
from tests.router.test_entry_table import entry


class CountingStore(MemoryStore):
    """Note which topics are read."""

    def __init__(self):
        super().__init__()
        self.read_topics = []

    async def read_latest(self, topic):
        self.read_topics.append(topic)
        return await super().read_latest(topic)

    async def read(self, topic, offset, wait_s):
        self.read_topics.append(topic)
        return await super().read(topic, offset, wait_s)


class Steps:
    """Loops that run when a test says so."""

    def __init__(self):
        self.steps = []

    def paced(self, pause_s, step):
        self.steps.append(step)

    def run(self):
        async def once():
            for step in self.steps:
                await step()

        asyncio.run(once())


def world():
    clock = Clock()
    store = CountingStore()
    state_sync = StateSync(
        board(clock),
        SimpleNamespace(store=store),
        ListLog(),
        lambda: entry('entry-1'),
        lambda address: None,
        lambda name, now: False,
    )
    steps = Steps()
    state_sync.start(steps)
    return SimpleNamespace(
        clock=clock,
        store=store,
        state_sync=state_sync,
        steps=steps,
    )


def test_newcomer_reads_what_its_first_requests_need():
    """All entries were killed at once, and requests go on."""
    made = world()
    made.steps.run()
    assert Topic.CONFIGURATION in made.store.read_topics
    assert Topic.ENDPOINTS in made.store.read_topics


def test_newcomer_leaves_the_rest_until_it_knows_the_entries():
    """All entries start at once: each would go on to read everything."""
    made = world()
    made.steps.run()
    made.steps.run()
    assert made.store.read_topics.count(Topic.ENDPOINTS) == 1
    assert made.store.read_topics.count(Topic.ENTRIES) == 2
    assert Topic.OBSERVATIONS not in made.store.read_topics


def test_entry_that_stays_alone_reads_everything():
    made = world()
    made.clock.now += NEWCOMER_S + 0.1
    made.steps.run()
    assert set(made.store.read_topics) == set(Topic)


def test_one_topic_is_tried_while_the_store_is_away():
    made = world()
    made.clock.now += NEWCOMER_S + 0.1
    made.store.fault = StoreFault.UNREACHABLE
    made.steps.run()
    made.steps.run()
    made.store.read_topics.clear()
    made.steps.run()
    assert made.store.read_topics == [Topic.CONFIGURATION]


def test_reader_knows_since_when_it_reads():
    made = world()
    made.steps.run()
    assert made.state_sync.reads_store
    assert made.state_sync.reading_store_since == made.clock.now
