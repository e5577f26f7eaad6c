"""A feed never skips or repeats a record, however far behind a reader is."""

from hypothesis import given
from hypothesis import strategies as st

from foxtailhatch.fleet import Work
from foxtailhatch.router.feed import (
    FeedRequest,
    ResponderState,
    decode_feed_request,
    decode_feed_response,
    encode_feed_response,
)
from foxtailhatch.router.keyed_log import KeyedRecord, Topic
from foxtailhatch.router.mirror import RECORDS_KEPT, Mirror, TopicMirror
from tests.router.test_entry_table import entry


def records(first, end):
    return [KeyedRecord(f'k{place}', b'v') for place in range(first, end)]


def test_reader_gets_what_it_lacks():
    mirror = TopicMirror()
    mirror.reset(records(0, 3), 3)
    mirror.append(records(3, 6), 6)
    found, is_newest = mirror.since(4)
    assert [one.key for one in found] == ['k4', 'k5']
    assert not is_newest


def test_reader_that_is_too_far_behind_gets_the_newest():
    mirror = TopicMirror()
    mirror.reset(records(0, 3), 3)
    mirror.append([KeyedRecord('k1', None)], 4)
    for offset in (None, 1, 99):
        found, is_newest = mirror.since(offset)
        assert is_newest
        assert {one.key for one in found} == {'k0', 'k2'}


def test_what_is_kept_is_bounded():
    mirror = TopicMirror()
    mirror.reset([], 0)
    mirror.append(records(0, 3 * RECORDS_KEPT), 3 * RECORDS_KEPT)
    assert len(mirror.recent) == RECORDS_KEPT


@given(st.lists(st.integers(1, 5), max_size=20), st.data())
def test_replay_from_any_offset_gives_the_same_keys(steps, source):
    mirror = TopicMirror()
    mirror.reset([], 0)
    end = 0
    for step in steps:
        mirror.append(records(end, end + step), end + step)
        end += step
    offset = source.draw(st.integers(0, end))
    found, is_newest = mirror.since(offset)
    assert not is_newest
    assert [one.key for one in found] == [f'k{n}' for n in range(offset, end)]


def test_call_and_news_survive_the_wire():
    offsets = {Topic.OBSERVATIONS: None, Topic.ENTRIES: 4}
    call = FeedRequest(entry('a'), offsets, {'e1': Work(2, 1, 900)})
    assert decode_feed_request(call.encode()).unwrap() == call
    mirror = Mirror()
    topic = mirror.topics[Topic.OBSERVATIONS]
    topic.reset(records(0, 2), 2)
    topic.confirmed_at = 10.0
    raw = encode_feed_response(
        mirror,
        call,
        ResponderState({'e2': Work(3, 0, 7)}, reads_store=False),
        12.5,
    )
    found = decode_feed_response(raw).unwrap()
    assert found.work == {'e2': Work(3, 0, 7)}
    assert not found.reads_store
    assert found.topics[Topic.OBSERVATIONS].age_s == 2.5
    assert found.topics[Topic.OBSERVATIONS].is_newest
    assert found.topics[Topic.ENTRIES].age_s is None


@given(st.binary())
def test_foreign_bytes_are_outcomes(raw):
    decode_feed_request(raw)
    decode_feed_response(raw)
