"""What a later build adds to a message is ignored; its other fields are read.

The fields of a message are told by their places, so a later build appends.
"""

import cbor2
import orjson
import pytest

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import Work
from foxtailhatch.recovery.crash_suspects import LostPrompt
from foxtailhatch.router.entry_table import (
    EntryRecord,
    Heartbeat,
    decode_entry,
    decode_heartbeat,
)
from foxtailhatch.router.feed import (
    FeedRequest,
    decode_feed_request,
    decode_feed_response,
)
from foxtailhatch.router.keyed_log import KeyedRecord, LogPosition, Topic
from foxtailhatch.router.lease_peers import decode_age
from foxtailhatch.router.observations import (
    EndpointObservation,
    decode_observation,
)
from foxtailhatch.router.prompt_records import (
    LostRecord,
    PartRecord,
    SoundRecord,
    decode_prompt_record,
)
from tests.router.fakes import board
from tests.router.test_record_applier import make_applier

ADDED = {'added': 'later'}
ENTRY = EntryRecord(
    'e1', 'z1', 'here', '10.0.0.1:80', '10.0.0.1:90', 1.5, is_ready=True
)
WORK = {'i-1': Work(2, 1, 900, 7, 4.5)}
RAW_WORK = {'i-1': [2, 1, 900, 7, 4.5, ADDED]}
POSITION = LogPosition(2, 7)


def test_feed_request_with_more_fields_is_read():
    fields = [*ENTRY.fields(), ADDED]
    raw = cbor2.dumps(
        [fields, {'entries': [2, 7, ADDED]}, RAW_WORK, None, ADDED]
    )
    expected = FeedRequest(ENTRY, {Topic.ENTRIES: POSITION}, WORK)
    assert decode_feed_request(raw).unwrap() == expected


def test_feed_of_an_unknown_topic_is_named_and_left_out():
    positions = {'entries': [2, 7], 'unheard': [1, 1]}
    raw = cbor2.dumps([ENTRY.fields(), positions, {}])
    request = decode_feed_request(raw).unwrap()
    assert request.positions == {Topic.ENTRIES: POSITION}
    assert request.unknown_topics == ('unheard',)


def test_feed_response_with_more_fields_and_topics_is_read():
    update = [[['k', b'v', ADDED]], [2, 7, ADDED], True, 0.5, ADDED]
    topics = {'entries': update, 'unheard': [ADDED]}
    response = decode_feed_response(
        cbor2.dumps([topics, RAW_WORK, True, None, ADDED])
    ).unwrap()
    assert set(response.topics) == {Topic.ENTRIES}
    assert response.topics[Topic.ENTRIES].records == (KeyedRecord('k', b'v'),)
    assert response.topics[Topic.ENTRIES].end == POSITION
    assert (response.work, response.reads_store) == (WORK, True)


def test_heartbeat_with_more_fields_is_read():
    raw = cbor2.dumps([[[*ENTRY.fields(), ADDED]], RAW_WORK, None, ADDED])
    assert decode_heartbeat(raw).unwrap() == Heartbeat([ENTRY], WORK)


def test_observation_with_more_fields_is_read():
    expected = EndpointObservation('i', 5, False, LayerRange(3, 9), 'e1')
    raw = orjson.dumps([*orjson.loads(expected.encode()), ADDED])
    assert decode_observation(raw).unwrap() == expected


@pytest.mark.parametrize(
    ('key', 'expected'),
    [
        ('lost/e', LostRecord('i', 5, (LostPrompt('own', ('p',)),), ('f',))),
        ('part/p', PartRecord('p', 2, 'e1')),
    ],
)
def test_prompt_record_with_more_fields_is_read(key, expected):
    raw = orjson.dumps([*orjson.loads(expected.encode()), ADDED])
    assert decode_prompt_record(key, raw).unwrap() == expected


def test_sound_part_with_more_fields_is_read():
    raw = orjson.dumps([['p', 0.5, ADDED]])
    decoded = decode_prompt_record('sound/e', raw)
    assert decoded.unwrap() == SoundRecord({'p': 0.5})


def test_lease_answer_with_more_fields_is_read():
    assert decode_age(cbor2.dumps({'age_s': 1.5} | ADDED)) == 1.5


def test_work_without_a_limit_has_none():
    raw = cbor2.dumps([ENTRY.fields(), {}, {'i-1': [2, 1, 900]}])
    assert decode_feed_request(raw).unwrap().work == {'i-1': Work(2, 1, 900)}


def test_lost_record_without_requests_has_none():
    raw = orjson.dumps(['i', 5, [['own', 'p']]])
    decoded = decode_prompt_record('lost/e', raw).unwrap()
    assert decoded == LostRecord('i', 5, (LostPrompt('own', ('p',)),))


def test_message_without_a_required_field_is_not_read():
    assert decode_entry(ENTRY.fields()[:-1]).failure()
    assert decode_feed_request(cbor2.dumps([ENTRY.fields(), {}])).failure()
    assert decode_feed_response(cbor2.dumps([{}, {}])).failure()
    assert decode_heartbeat(cbor2.dumps([[ENTRY.fields()]])).failure()
    assert decode_observation(orjson.dumps(['i', 5, True])).failure()
    assert decode_prompt_record('part/p', orjson.dumps(['p', 2])).failure()


def test_record_of_an_unknown_kind_is_logged_and_changes_nothing():
    blackboard = board()
    applier, log = make_applier(blackboard)
    revision = blackboard.endpoints.revision
    raw = orjson.dumps({'kind': 'later'})
    applier.apply_observations(
        [KeyedRecord('unheard/x', raw)], is_snapshot=False
    )
    assert log.of('observation_unreadable') == [{'key': 'unheard/x'}]
    assert blackboard.endpoints.revision == revision
