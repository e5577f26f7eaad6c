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


class PutStore:
    """Keep what is written."""

    def __init__(self):
        self.lists = []

    async def put(self, topic, key, value):
        found = decode_heartbeat(value).unwrap().entries
        self.lists.append([one.name for one in found])
        return Success(None)


def heartbeats():
    clock = Clock()
    store = PutStore()
    made = Heartbeats(
        board(clock),
        SimpleNamespace(store=store),
        ListLog(),
        lambda: entry('entry-1'),
    )
    return made, store, clock


def step(made, reader=True):
    asyncio.run(made.step(reads_store=reader))


def test_reader_lists_itself_and_those_it_feeds():
    made, store, clock = heartbeats()
    made.record_feed_request(entry('b'), {}, clock.now)
    step(made)
    assert store.lists == [['entry-1', 'b']]


def test_list_is_written_when_due_or_changed_only():
    made, store, clock = heartbeats()
    step(made)
    clock.now += HEARTBEAT_S / 2
    step(made)
    assert len(store.lists) == 1
    made.record_feed_request(entry('b'), {}, clock.now)
    step(made)
    assert len(store.lists) == 2
    clock.now += HEARTBEAT_S
    step(made)
    assert len(store.lists) == 3


def test_entry_that_asks_no_more_is_dropped():
    made, store, clock = heartbeats()
    made.record_feed_request(entry('b'), {}, clock.now)
    step(made)
    clock.now += FED_ENTRY_TIMEOUT_S + 0.1
    step(made)
    assert store.lists[-1] == ['entry-1']


def test_fed_entry_writes_nothing():
    made, store, _ = heartbeats()
    step(made, reader=False)
    assert store.lists == []


def test_work_of_other_zones_is_known_through_their_readers():
    """Zones whose own engines are gone send to those of another."""
    made, _, clock = heartbeats()
    far = Heartbeat([entry('far', 'z2')], {'e1': Work(9, 9, 900)})
    made._board.entries.record_heartbeat('far', far, clock.now)
    made._board.loads.begin(['e1'], 10)
    made.record_feed_request(entry('b'), {'e1': Work(1, 1, 5)}, clock.now)
    assert made.work_of_others('b', clock.now) == {'e1': Work(10, 10, 910)}
    assert made.work_of_others('entry-1', clock.now) == {
        'e1': Work(10, 10, 905),
    }
