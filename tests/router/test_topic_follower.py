"""Follow a topic through outages, lost history and a change of source."""

import asyncio

from foxtailhatch.router.feed import TopicUpdate
from foxtailhatch.router.keyed_log import (
    KeyedRecord,
    LogPosition,
    StoreFault,
    Topic,
)
from foxtailhatch.router.mirror import TopicMirror
from foxtailhatch.router.settings import Bounds
from foxtailhatch.router.store_outage import StoreOutage
from foxtailhatch.router.topic_follower import FAILURES_MIN, TopicFollower
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, MemoryStore


def make_follower(store, clock=None, outage=None):
    applied = []
    log = ListLog()

    def on_records(records, is_snapshot):
        applied.append(([record.key for record in records], is_snapshot))

    follower = TopicFollower(
        store,
        Topic.ENDPOINTS,
        TopicMirror(),
        on_records,
        log,
        outage or StoreOutage(Bounds()),
        clock or Clock(),
    )
    return follower, applied, log


class SlowStore(MemoryStore):
    """A store whose reads take a second, also those that fail."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    async def read(self, topic, offset, wait_s):
        self.clock.now += 1
        return await super().read(topic, offset, wait_s)


def step(follower, times=1):
    for _ in range(times):
        asyncio.run(follower.step())


def test_snapshot_is_followed_by_later_records():
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'), KeyedRecord('b', b'1'))
    follower, applied, _ = make_follower(store)
    step(follower)
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'2'))
    step(follower, 2)
    assert applied == [(['a', 'b'], True), (['a'], False)]


def test_lost_history_is_replaced_by_a_snapshot():
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'))
    follower, applied, _ = make_follower(store)
    step(follower)
    store.add(Topic.ENDPOINTS, KeyedRecord('a', None))
    store.first[Topic.ENDPOINTS] = 5
    step(follower, 2)
    assert applied[-1] == ([], True)


def test_lost_history_is_not_an_outage():
    """Counted as an outage, it would keep the entry from reading the store
    for two seconds.
    """
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'))
    follower, _, log = make_follower(store)
    step(follower)
    store.first[Topic.ENDPOINTS] = 5
    step(follower)
    assert not follower.is_lost
    assert log.of('history_gone') and not log.of('store_lost')


def test_lost_history_ends_an_outage():
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'))
    follower, _, log = make_follower(store)
    step(follower)
    store.fault = StoreFault.UNREACHABLE
    step(follower, FAILURES_MIN)
    store.fault = None
    store.first[Topic.ENDPOINTS] = 5
    step(follower)
    assert not follower.is_lost
    assert log.of('store_regained')


def test_start_and_end_of_an_outage_are_logged_once():
    store = MemoryStore()
    follower, _, log = make_follower(store)
    step(follower)
    store.fault = StoreFault.UNREACHABLE
    step(follower, 3)
    store.fault = None
    step(follower, 2)
    assert len(log.of('store_lost')) == 1
    assert len(log.of('store_regained')) == 1


def test_confirmation_is_the_time_before_the_read():
    clock = Clock(10)
    store = MemoryStore()
    follower, _, _ = make_follower(store, clock)
    step(follower)
    store.fault = StoreFault.BUSY
    clock.now = 20
    step(follower)
    assert follower.confirmed_at == 10


def test_failure_is_dated_by_the_send_of_the_read():
    """Dated by its timeout, it made an outage look longer than it was."""
    clock = Clock(10)
    store = SlowStore(clock)
    outage = StoreOutage(Bounds())
    follower, _, _ = make_follower(store, clock, outage)
    step(follower)
    store.fault = StoreFault.UNREACHABLE
    clock.now = 20
    step(follower)
    assert clock.now == 21
    assert outage.failed_at == 20
    store.fault = None
    step(follower)
    assert outage.returned_at == 22


def test_lost_history_does_not_date_an_outage():
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'))
    outage = StoreOutage(Bounds())
    follower, _, _ = make_follower(store, outage=outage)
    step(follower)
    store.first[Topic.ENDPOINTS] = 5
    step(follower)
    assert outage.failed_at is None


def update(*keys, end, is_snapshot=False, age_s=0.5):
    records = tuple(KeyedRecord(key, b'1') for key in keys)
    position = LogPosition(0, end)
    return TopicUpdate(records, position, is_snapshot, age_s)


def test_age_of_a_peers_data_is_taken_into_account():
    follower, applied, _ = make_follower(MemoryStore())
    follower.apply_update(
        update('a', end=3, is_snapshot=True, age_s=1.5), sent_at=50
    )
    assert follower.confirmed_at == 48.5
    assert applied == [(['a'], True)]


def test_update_of_a_peer_that_is_behind_is_ignored():
    follower, applied, _ = make_follower(MemoryStore())
    follower.apply_update(update('a', end=9, is_snapshot=True), sent_at=50)
    follower.apply_update(update('b', end=5, is_snapshot=True), sent_at=60)
    assert len(applied) == 1
    assert follower.position == LogPosition(0, 9)


def test_ignored_updates_of_a_peer_are_logged_once():
    follower, _, log = make_follower(MemoryStore())
    follower.apply_update(update('a', end=9, is_snapshot=True), sent_at=50)
    for sent_at in (60, 70):
        follower.apply_update(update('b', end=5), sent_at=sent_at)
    assert [
        line['peer_position'].offset for line in log.of('update_ignored')
    ] == [5]


def test_update_of_a_peer_without_data_is_ignored():
    follower, applied, _ = make_follower(MemoryStore())
    follower.apply_update(TopicUpdate((), None, False, None), sent_at=50)
    assert follower.confirmed_at is None
    assert applied == []


def test_source_may_change_at_any_offset():
    store = MemoryStore()
    store.add(Topic.ENDPOINTS, KeyedRecord('a', b'1'), KeyedRecord('b', b'1'))
    follower, applied, _ = make_follower(store)
    follower.apply_update(update('a', end=1, is_snapshot=True), sent_at=50)
    step(follower)
    assert applied == [(['a'], True), (['b'], False)]


def test_single_failed_read_is_not_an_outage():
    """A healthy store may break off a long-polling read."""
    store = MemoryStore()
    follower, _, log = make_follower(store)
    step(follower)
    store.fault = StoreFault.UNREACHABLE
    step(follower)
    assert not follower.is_lost
    assert log.of('read_failed') and not log.of('store_lost')
    store.fault = None
    step(follower)
    store.fault = StoreFault.UNREACHABLE
    step(follower)
    assert not follower.is_lost


class PagedStore(MemoryStore):
    """Call ``on_read`` before each read, and count the reads."""

    def __init__(self, page_records):
        super().__init__()
        self.page_records = page_records
        self.reads = 0
        self.on_read = lambda number: None

    async def read(self, topic, offset, wait_s):
        self.reads += 1
        self.on_read(self.reads)
        return await super().read(topic, offset, wait_s)


def make_reader_that_is_behind(pages):
    """Return a follower that lacks as many pages of two records."""
    clock = Clock(10)
    store = PagedStore(page_records=2)
    follower, applied, _ = make_follower(store, clock)
    step(follower)
    for number in range(2 * pages):
        store.add(Topic.ENDPOINTS, KeyedRecord(f'k{number}', b'1'))
    clock.now = 20
    return follower, applied, store, clock


def test_all_pages_are_read_at_once():
    follower, applied, store, _ = make_reader_that_is_behind(pages=3)
    step(follower)
    assert [keys for keys, _ in applied[1:]] == [
        ['k0', 'k1'],
        ['k2', 'k3'],
        ['k4', 'k5'],
    ]
    assert follower.confirmed_at == 20


def test_page_that_is_not_the_last_confirms_nothing():
    """Keys were taken by an old configuration while newer ones were read."""
    follower, _, store, _ = make_reader_that_is_behind(pages=3)
    confirmed = []
    store.on_read = lambda _: confirmed.append(follower.confirmed_at)
    step(follower)
    assert confirmed == [10, 10, 10]


def test_data_are_not_confirmed_if_a_later_page_is_lost():
    follower, applied, store, _ = make_reader_that_is_behind(pages=3)

    def fail_third(number):
        store.fault = StoreFault.UNREACHABLE if number == 3 else None

    store.on_read = fail_third
    step(follower)
    assert len(applied) == 3
    assert follower.confirmed_at == 10
    step(follower)
    assert follower.confirmed_at == 20


def test_pages_are_confirmed_as_of_the_read_of_the_last_one():
    follower, _, store, clock = make_reader_that_is_behind(pages=3)

    def pass_time(_):
        clock.now += 1

    store.on_read = pass_time
    step(follower)
    assert follower.confirmed_at == 22


def test_store_that_keeps_what_it_announces_is_not_read_without_end():
    follower, _, store, _ = make_reader_that_is_behind(pages=1)
    store.page_records = 0
    step(follower)
    assert store.reads == 1
    assert follower.confirmed_at == 10


# Guards against endpoints that leave and get requests for seconds: an entry that was
# turned away by the store and is fed since took each removal for a lapse.
def test_data_of_a_peer_show_that_the_store_is_back():
    clock = Clock(10.0)
    outage = StoreOutage(Bounds(settling_s=4.0, leaving_s=3.0))
    follower, _, _ = make_follower(MemoryStore(), clock, outage)
    outage.record_failure(10.0)
    end = LogPosition(0, 5)
    clock.now = 10.6
    before = TopicUpdate((), end, is_snapshot=True, age_s=0.8)
    follower.apply_update(before, sent_at=10.5)
    assert outage.returned_at is None
    clock.now = 11.2
    after = TopicUpdate((), end, is_snapshot=False, age_s=0.3)
    follower.apply_update(after, sent_at=11.0)
    assert outage.returned_at == 11.2
    clock.now = 14.0
    assert outage.lapses_until(clock()) < clock()
