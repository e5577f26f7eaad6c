"""A store that returns from an older copy, and gives out offsets again.

Entries learn of it one after the other, as most of them are fed by others.
"""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailhatch.router.feed import (
    FeedRequest,
    ResponderState,
    decode_feed_request,
    decode_feed_response,
    encode_feed_response,
)
from foxtailhatch.router.keyed_log import KeyedRecord, Topic
from foxtailhatch.router.mirror import Mirror
from foxtailhatch.router.settings import Bounds
from foxtailhatch.router.store_outage import StoreOutage
from foxtailhatch.router.topic_follower import TopicFollower
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, MemoryStore
from tests.router.test_entry_table import entry

TOPIC = Topic.ENDPOINTS


class FollowingEntry:
    """An entry that follows one topic, from the store or from another entry."""

    def __init__(self, store, clock):
        self.latest = {}
        self.mirror = Mirror()
        self._clock = clock
        self.follower = TopicFollower(
            store,
            TOPIC,
            self.mirror.topics[TOPIC],
            self._apply,
            ListLog(),
            StoreOutage(Bounds()),
            clock,
        )

    def read_store(self):
        asyncio.run(self.follower.step())

    def feed_from(self, source):
        sent_at = self._clock()
        asked = FeedRequest(entry('a'), {TOPIC: self.follower.position})
        raw = encode_feed_response(
            source.mirror,
            decode_feed_request(asked.encode()).unwrap(),
            ResponderState({}, reads_store=True),
            sent_at,
        )
        update = decode_feed_response(raw).unwrap().topics[TOPIC]
        self.follower.apply_update(update, sent_at)

    def _apply(self, records, is_snapshot):
        if is_snapshot:
            self.latest.clear()
        for record in records:
            self.latest[record.key] = record.value


class World:
    """A store, an entry that reads it, and one that is fed by the reader."""

    def __init__(self):
        self.clock = Clock()
        self.store = MemoryStore()
        self.reader = FollowingEntry(self.store, self.clock)
        self.fed = FollowingEntry(self.store, self.clock)
        self._values = iter(range(100_000))

    def write(self, *keys):
        for key in keys:
            value = b'%d' % next(self._values)
            self.store.add(TOPIC, KeyedRecord(key, value))

    def newest(self):
        return {
            record.key: record.value
            for record in self.store.topics.get(TOPIC, [])
        }

    def exchange(self, rounds=1):
        for _ in range(rounds):
            self.clock.now += 1
            self.reader.read_store()
            self.fed.feed_from(self.reader)


# Guards against fed entries that keep an old configuration for seconds.
def test_fed_entry_follows_its_reader_into_a_restored_store():
    world = World()
    world.write('a', 'b', 'a', 'c')
    world.exchange()
    world.store.restore(TOPIC, length=1)
    world.write('d')
    world.exchange(rounds=3)
    assert world.fed.latest == world.newest()
    assert world.fed.follower.confirmed_at == world.clock.now


# Guards against changes that are never seen, as their offsets had been read.
@pytest.mark.parametrize('rewritten', [3, 4, 9])
def test_records_at_offsets_that_were_given_out_again_are_not_skipped(
    rewritten,
):
    world = World()
    world.write('a', 'b', 'a', 'c')
    world.exchange()
    world.store.restore(TOPIC, length=1)
    world.write(*(f'new-{number}' for number in range(rewritten)))
    world.exchange(rounds=3)
    assert world.reader.latest == world.newest()
    assert world.fed.latest == world.newest()


@given(
    st.lists(
        st.sampled_from(['write', 'write more', 'restore', 'read', 'feed']),
        max_size=30,
    ),
    st.data(),
)
def test_all_entries_have_the_newest_records_after_any_restores(steps, choices):
    world = World()
    for step in steps:
        if step.startswith('write'):
            world.write(*'abcdef' if step == 'write more' else 'a')
        elif step == 'restore':
            length = len(world.store.topics.get(TOPIC, []))
            kept = choices.draw(st.integers(0, length))
            world.store.restore(TOPIC, kept)
        elif step == 'read':
            world.reader.read_store()
        else:
            world.fed.feed_from(world.reader)
    world.exchange(rounds=3)
    assert world.reader.latest == world.newest()
    assert world.fed.latest == world.newest()
