"""Observations of endpoints do not outlive them for good."""

import asyncio

from foxtailhatch.router.keyed_log import KeyedRecord, LogPosition, Topic
from foxtailhatch.router.leader_lease import LeaderLease
from foxtailhatch.router.mirror import Mirror
from foxtailhatch.router.observation_cleanup import (
    ABSENT_S,
    MAX_DELETIONS,
    ObservationCleanup,
)
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, MemoryStore, board, engine


class RecordingStore(MemoryStore):
    """Record what is deleted."""

    def __init__(self):
        super().__init__()
        self.deleted = []

    async def put(self, topic, key, value):
        assert (topic, value) == (Topic.OBSERVATIONS, None)
        self.deleted.append(key)
        return await super().put(topic, key, value)


def make_cleanup(keys, *, is_held=True):
    clock = Clock()
    blackboard = board(clock)
    mirror = Mirror()
    topic = mirror.topics[Topic.OBSERVATIONS]
    records = [KeyedRecord(key, b'1') for key in keys]
    topic.reset(records, LogPosition(0, len(records)))
    store = RecordingStore()
    lease = LeaderLease(blackboard, store, ListLog())
    lease.is_held = is_held
    cleanup = ObservationCleanup(blackboard, store, mirror, lease, ListLog())
    return cleanup, clock, blackboard, store, topic


def test_observations_of_endpoints_that_left_are_deleted():
    """They grew in the store and in each entry with every name ever used."""
    cleanup, clock, blackboard, store, _ = make_cleanup(
        ['e-gone', 'e-here', 'part/5c', 'lost/entry-1']
    )
    blackboard.endpoints.put(engine('e-here'), clock.now)
    asyncio.run(cleanup.step())
    clock.now += ABSENT_S
    asyncio.run(cleanup.step())
    assert store.deleted == ['e-gone']


def test_endpoint_that_is_listed_again_keeps_its_observation():
    cleanup, clock, blackboard, store, _ = make_cleanup(['e-1'])
    asyncio.run(cleanup.step())
    blackboard.endpoints.put(engine('e-1'), clock.now)
    clock.now += ABSENT_S
    asyncio.run(cleanup.step())
    blackboard.endpoints.remove('e-1', clock.now)
    asyncio.run(cleanup.step())
    assert store.deleted == []


def test_only_the_holder_of_the_lease_deletes():
    cleanup, clock, _, store, _ = make_cleanup(['e-gone'], is_held=False)
    asyncio.run(cleanup.step())
    clock.now += 2 * ABSENT_S
    asyncio.run(cleanup.step())
    assert store.deleted == []


def test_writes_of_a_step_are_bounded():
    cleanup, clock, _, store, topic = make_cleanup(
        [f'e-{number}' for number in range(3 * MAX_DELETIONS)]
    )
    asyncio.run(cleanup.step())
    clock.now += ABSENT_S
    asyncio.run(cleanup.step())
    assert len(store.deleted) == MAX_DELETIONS
    tombstones = [KeyedRecord(key, None) for key in store.deleted]
    topic.append(tombstones, LogPosition(0, 99))
    asyncio.run(cleanup.step())
    assert len(set(store.deleted)) == 2 * MAX_DELETIONS
