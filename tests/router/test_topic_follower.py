import asyncio

from foxtailhatch.router.feed import TopicUpdate
from foxtailhatch.router.keyed_log import KeyedRecord, StoreFault, Topic
from foxtailhatch.router.mirror import TopicMirror
from foxtailhatch.router.topic_follower import FAILURES_MIN, TopicFollower
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, MemoryStore


def follower(store, clock=None):
    seen = []
    log = ListLog()

    def take(records, newest):
        seen.append(([one.key for one in records], newest))

    made = TopicFollower(
        store,
        Topic.ENDPOINTS,
        TopicMirror(),
        take,
        log,
        clock or Clock(),
    )
    return made, seen, log


def step(made, times=1):
    for _ in range(times):
        asyncio.run(made.step())


def test_newest_first_then_what_comes():
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'), KeyedRecord('b', b'1'))
    made, seen, _ = follower(store)
    step(made)
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'2'))
    step(made, 2)
    assert seen == [(['a', 'b'], True), (['a'], False)]


def test_lost_history_starts_again_with_the_newest():
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'))
    made, seen, _ = follower(store)
    step(made)
    store.add(Topic.ENDPOINTS, KeyedRecord('a', None))
    store.first[Topic.ENDPOINTS] = 5
    step(made, 2)
    assert seen[-1] == ([], True)


def test_store_that_forgot_its_history_is_not_away():
    """Counted as away it was left alone for two seconds."""
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'))
    made, _, log = follower(store)
    step(made)
    store.first[Topic.ENDPOINTS] = 5
    step(made)
    assert not made.is_lost
    assert log.of('history_gone') and not log.of('store_lost')


def test_store_that_is_back_without_its_history_is_back():
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'))
    made, _, log = follower(store)
    step(made)
    store.fault = StoreFault.UNREACHABLE
    step(made, FAILURES_MIN)
    store.fault = None
    store.first[Topic.ENDPOINTS] = 5
    step(made)
    assert not made.is_lost
    assert log.of('store_regained')


def test_outage_gives_one_line_and_its_end_another():
    store = MemoryStore()
    made, _, log = follower(store)
    step(made)
    store.fault = StoreFault.UNREACHABLE
    step(made, 3)
    store.fault = None
    step(made, 2)
    assert len(log.of('store_lost')) == 1
    assert len(log.of('store_regained')) == 1


def test_knowledge_counts_from_before_the_read():
    clock = Clock(10)
    store = MemoryStore()
    made, _, _ = follower(store, clock)
    step(made)
    store.fault = StoreFault.BUSY
    clock.now = 20
    step(made)
    assert made.confirmed_at == 10
    assert made.failed_at == 20


def news(*keys, end, newest=False, age_s=0.5):
    records = tuple(KeyedRecord(key, b'1') for key in keys)
    return TopicUpdate(records, end, newest, age_s)


def test_knowledge_of_a_peer_is_as_old_as_the_peer_says():
    made, seen, _ = follower(MemoryStore())
    made.take(news('a', end=3, newest=True, age_s=1.5), sent_at=50)
    assert made.confirmed_at == 48.5
    assert seen == [(['a'], True)]


def test_peer_that_is_behind_takes_nothing_back():
    made, seen, _ = follower(MemoryStore())
    made.take(news('a', end=9, newest=True), sent_at=50)
    made.take(news('b', end=5, newest=True), sent_at=60)
    assert len(seen) == 1
    assert made.offset == 9


def test_peer_without_knowledge_brings_none():
    made, seen, _ = follower(MemoryStore())
    made.take(TopicUpdate((), None, False, None), sent_at=50)
    assert made.confirmed_at is None
    assert seen == []


def test_source_may_change_at_any_offset():
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'), KeyedRecord('b', b'1'))
    made, seen, _ = follower(store)
    made.take(news('a', end=1, newest=True), sent_at=50)
    step(made)
    assert seen == [(['a'], True), (['b'], False)]


def test_read_that_was_cut_once_is_not_an_outage():
    """The store cuts reads that wait, and answers the next ones."""
    store = MemoryStore()
    made, _, log = follower(store)
    step(made)
    store.fault = StoreFault.UNREACHABLE
    step(made)
    assert not made.is_lost
    assert log.of('read_failed') and not log.of('store_lost')
    store.fault = None
    step(made)
    store.fault = StoreFault.UNREACHABLE
    step(made)
    assert not made.is_lost
