"""Which entries a reader lists, and when it writes the list."""

import asyncio
from types import SimpleNamespace

from returns.result import Success

from foxtailhatch.fleet import Work
from foxtailhatch.router.entry_table import Heartbeat, decode_heartbeat
from foxtailhatch.router.heartbeats import (
    FED_ENTRY_TIMEOUT_S,
    HEARTBEAT_S,
    Heartbeats,
)
from tests.relay.fakes import ListLog
from tests.router.fakes import Clock, board
from tests.router.test_entry_table import entry


class RecordingStore:
    """A store that records the lists in the heartbeats written to it."""

    def __init__(self):
        self.lists = []

    async def put(self, topic, key, value):
        entries = decode_heartbeat(value).unwrap().entries
        self.lists.append([listed.name for listed in entries])
        return Success(None)


def make_heartbeats():
    clock = Clock()
    store = RecordingStore()
    heartbeats = Heartbeats(
        board(clock),
        SimpleNamespace(store=store),
        ListLog(),
        lambda: entry('entry-1'),
    )
    return heartbeats, store, clock


def step(heartbeats, reader=True):
    asyncio.run(heartbeats.step(reads_store=reader))


def test_reader_lists_itself_and_the_entries_it_feeds():
    heartbeats, store, clock = make_heartbeats()
    heartbeats.record_feed_request(entry('b'), {}, clock.now)
    step(heartbeats)
    assert store.lists == [['entry-1', 'b']]


def test_list_is_written_only_if_due_or_changed():
    heartbeats, store, clock = make_heartbeats()
    step(heartbeats)
    clock.now += HEARTBEAT_S / 2
    step(heartbeats)
    assert len(store.lists) == 1
    heartbeats.record_feed_request(entry('b'), {}, clock.now)
    step(heartbeats)
    assert len(store.lists) == 2
    clock.now += HEARTBEAT_S
    step(heartbeats)
    assert len(store.lists) == 3


def test_entry_without_recent_feed_requests_is_dropped():
    heartbeats, store, clock = make_heartbeats()
    heartbeats.record_feed_request(entry('b'), {}, clock.now)
    step(heartbeats)
    clock.now += FED_ENTRY_TIMEOUT_S + 0.1
    step(heartbeats)
    assert store.lists[-1] == ['entry-1']


def test_entry_that_is_not_a_reader_writes_nothing():
    heartbeats, store, _ = make_heartbeats()
    step(heartbeats, reader=False)
    assert store.lists == []


def test_work_of_other_zones_is_known_through_their_readers():
    """Zones that have lost their engines send requests to other zones."""
    heartbeats, _, clock = make_heartbeats()
    far = Heartbeat([entry('far', 'z2')], {'e1': Work(9, 9, 900)})
    heartbeats._board.entries.record_heartbeat('far', far, clock.now)
    heartbeats._board.loads.begin(['e1'], 10)
    heartbeats.record_feed_request(entry('b'), {'e1': Work(1, 1, 5)}, clock.now)
    assert heartbeats.work_of_others('b', clock.now) == {
        'e1': Work(10, 10, 910)
    }
    assert heartbeats.work_of_others('entry-1', clock.now) == {
        'e1': Work(10, 10, 905),
    }
