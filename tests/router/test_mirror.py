"""A feed neither skips nor repeats a record, however far behind a reader is."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailhatch.fleet import Work
from foxtailhatch.router.feed import (
    FeedRequest,
    ResponderState,
    check_topics,
    decode_feed_request,
    decode_feed_response,
    encode_feed_response,
)
from foxtailhatch.router.keyed_log import KeyedRecord, LogPosition, Topic
from foxtailhatch.router.mirror import (
    RETAINED_BYTES,
    RETAINED_RECORDS,
    Mirror,
    TopicMirror,
)
from tests.router.test_entry_table import entry


def at(offset, epoch=1):
    return LogPosition(epoch, offset)


def make_records(first, end):
    return [KeyedRecord(f'k{offset}', b'v') for offset in range(first, end)]


def test_reader_gets_the_records_it_lacks():
    mirror = TopicMirror()
    mirror.reset(make_records(0, 3), at(3))
    mirror.append(make_records(3, 6), at(6))
    records, is_snapshot = mirror.since(at(4))
    assert [record.key for record in records] == ['k4', 'k5']
    assert not is_snapshot


def test_reader_that_is_too_far_behind_gets_a_snapshot():
    mirror = TopicMirror()
    mirror.reset(make_records(0, 3), at(3))
    mirror.append([KeyedRecord('k1', None)], at(4))
    for position in (None, at(1), at(99), at(4, epoch=2), at(4, epoch=0)):
        records, is_snapshot = mirror.since(position)
        assert is_snapshot
        assert {record.key for record in records} == {'k0', 'k2'}


def test_number_of_retained_records_is_bounded():
    mirror = TopicMirror()
    mirror.reset([], at(0))
    end = 3 * RETAINED_RECORDS
    mirror.append(make_records(0, end), at(end))
    assert len(mirror.recent) == RETAINED_RECORDS


def test_size_of_retained_records_is_bounded():
    """Large configurations in a row exceeded the memory of all entries at once."""
    mirror = TopicMirror()
    mirror.reset([], at(0))
    value = bytes(262_144)
    for end in range(1, 101):
        mirror.append([KeyedRecord('config', value)], at(end))
    kept = sum(len(record.value) for record in mirror.recent)
    assert 0 < kept <= RETAINED_BYTES
    behind, is_snapshot = mirror.since(at(1))
    assert is_snapshot
    assert [record.key for record in behind] == ['config']


def test_record_above_the_bound_is_passed_on_as_a_snapshot():
    """A single large record left nothing to send to a reader that lacks it."""
    mirror = TopicMirror()
    mirror.reset([], at(0))
    large = KeyedRecord('config', bytes(RETAINED_BYTES + 1))
    mirror.append([large], at(1))
    assert mirror.since(at(0)) == ([large], True)
    assert mirror.since(at(1)) == ([], False)


@given(st.lists(st.integers(1, 5), max_size=20), st.data())
def test_reads_from_any_offset_return_all_later_records(steps, source):
    mirror = TopicMirror()
    mirror.reset([], at(0))
    end = 0
    for step in steps:
        mirror.append(make_records(end, end + step), at(end + step))
        end += step
    offset = source.draw(st.integers(0, end))
    records, is_snapshot = mirror.since(at(offset))
    assert not is_snapshot
    assert [record.key for record in records] == [
        f'k{n}' for n in range(offset, end)
    ]


def test_feed_request_and_response_round_trip():
    positions = {Topic.OBSERVATIONS: None, Topic.ENTRIES: at(4)}
    request = FeedRequest(entry('a'), positions, {'e1': Work(2, 1, 900)})
    assert decode_feed_request(request.encode()).unwrap() == request
    mirror = Mirror()
    topic = mirror.topics[Topic.OBSERVATIONS]
    topic.reset(make_records(0, 2), at(2))
    topic.confirmed_at = 10.0
    raw = encode_feed_response(
        mirror,
        request,
        ResponderState({'e2': Work(3, 0, 7)}, reads_store=False),
        12.5,
    )
    response = decode_feed_response(raw).unwrap()
    assert response.work == {'e2': Work(3, 0, 7)}
    assert not response.reads_store
    assert response.topics[Topic.OBSERVATIONS].age_s == 2.5
    assert response.topics[Topic.OBSERVATIONS].is_snapshot
    assert response.topics[Topic.OBSERVATIONS].end == at(2)
    assert response.topics[Topic.ENTRIES].age_s is None


def test_response_without_a_requested_topic_is_a_failure():
    """It ended the step of the feed by an exception, without a line."""
    positions = {Topic.OBSERVATIONS: None, Topic.ENTRIES: at(4)}
    request = FeedRequest(entry('a'), positions)
    raw = encode_feed_response(
        Mirror(),
        FeedRequest(entry('a'), {Topic.ENTRIES: at(4)}),
        ResponderState({}, reads_store=True),
        12.5,
    )
    response = decode_feed_response(raw).unwrap()
    checked = check_topics(response, request)
    assert checked.failure() == 'topics missing: findings'


@given(st.binary())
def test_arbitrary_bytes_raise_no_exception(raw):
    decode_feed_request(raw)
    decode_feed_response(raw)


# Guards against data that never get old, and against records of other types, from
# an entry in trouble.
@pytest.mark.parametrize(
    'update',
    [
        [[], [0, 4], False, float('nan')],
        [[], [0, 4], False, float('-inf')],
        [[], [0, 4], False, -60.0],
        [[], [0, 4], False, True],
        [[], [0, 4], False, 'now'],
        [[[1, b'v']], [0, 4], False, 0.1],
        [[['a', 'v']], [0, 4], False, 0.1],
        [[['a', 7]], [0, 4], False, 0.1],
        [[], [0, -4], False, 0.1],
        [[], ['x', 4], False, 0.1],
    ],
)
def test_update_with_odd_fields_is_malformed(update):
    topics = {Topic.ENTRIES.value: update}
    assert decode_feed_response(cbor2.dumps([topics, {}, True])).failure()


def test_update_with_an_age_since_the_request_is_sound():
    topics = {Topic.ENTRIES.value: [[['a', None]], [0, 4], False, -0.5]}
    decoded = decode_feed_response(cbor2.dumps([topics, {}, True])).unwrap()
    assert decoded.topics[Topic.ENTRIES].age_s == -0.5
