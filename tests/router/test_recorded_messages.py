"""Messages of earlier landings, read by this code; their files name the commit.

Entries of two builds run side by side during a rolling upgrade.  What this code
writes is the same, byte for byte, so that those builds read it too.
"""

import json
from pathlib import Path

import pytest

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import Work
from foxtailhatch.recovery.crash_suspects import LostPrompt
from foxtailhatch.router.entry_table import (
    EntryRecord,
    Heartbeat,
    decode_heartbeat,
)
from foxtailhatch.router.feed import (
    FeedRequest,
    ResponderState,
    decode_feed_request,
    decode_feed_response,
    encode_feed_response,
)
from foxtailhatch.router.keyed_log import KeyedRecord, LogPosition, Topic
from foxtailhatch.router.mirror import Mirror
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

FILES = sorted((Path(__file__).parent / 'recorded').glob('*.json'))
ENTRY = EntryRecord(
    name='entry-1',
    zone='z1',
    region='here',
    address='10.0.0.1:80',
    peer_address='10.0.0.1:90',
    cpu_cores=1.5,
    is_ready=True,
    unreached=('model',),
)
OWN_WORK = {'i-1': Work(2, 1, 900)}
REQUEST = FeedRequest(
    ENTRY,
    {topic: LogPosition(2, 7) for topic in Topic} | {Topic.OBSERVATIONS: None},
    OWN_WORK,
)
DEAD = EndpointObservation('i-1', 5, is_dead=True, by='entry-1')
LAYERS = EndpointObservation('i-1', 5, False, LayerRange(3, 9), 'entry-1')
LOST = LostRecord('i-1', 5, (LostPrompt('own', ('p1', 'p2')),), ('f1',))
SOUND = SoundRecord({'p1': 0.5})
PART = PartRecord('p1', 2, 'entry-1')


def make_response():
    mirror = Mirror()
    for topic in mirror.topics.values():
        topic.reset([KeyedRecord('k1', b'v1')], LogPosition(2, 7))
        later = [KeyedRecord('k2', b'v2'), KeyedRecord('k1', None)]
        topic.append(later, LogPosition(2, 9))
        topic.confirmed_at = 10.0
    responder = ResponderState({'i-2': Work(3, 0, 7)}, reads_store=False)
    return encode_feed_response(mirror, REQUEST, responder, 12.5)


@pytest.fixture(params=FILES, ids=lambda path: path.stem)
def recorded(request):
    messages = json.loads(request.param.read_text())
    return {name: bytes.fromhex(raw) for name, raw in messages.items()}


def test_feeds_are_read(recorded):
    decoded = decode_feed_request(recorded['feed_request']).unwrap()
    assert decoded == REQUEST
    response = decode_feed_response(recorded['feed_response']).unwrap()
    entries = response.topics[Topic.ENTRIES]
    assert [record.key for record in entries.records] == ['k2', 'k1']
    assert (entries.end, entries.age_s) == (LogPosition(2, 9), 2.5)
    assert response.topics[Topic.OBSERVATIONS].is_snapshot
    assert response.work == {'i-2': Work(3, 0, 7)}
    assert not response.reads_store


def test_records_of_the_store_are_read(recorded):
    heartbeat = decode_heartbeat(recorded['heartbeat']).unwrap()
    assert (heartbeat.entries, heartbeat.work) == ([ENTRY], OWN_WORK)
    assert decode_observation(recorded['dead']).unwrap() == DEAD
    assert decode_observation(recorded['layers']).unwrap() == LAYERS
    for key, expected in (('lost', LOST), ('sound', SOUND), ('part', PART)):
        decoded = decode_prompt_record(f'{key}/x', recorded[key])
        assert decoded.unwrap() == expected


def test_what_is_written_has_not_changed(recorded):
    written = {
        'feed_request': REQUEST.encode(),
        'feed_response': make_response(),
        'heartbeat': Heartbeat([ENTRY], OWN_WORK).encode(),
        'dead': DEAD.encode(),
        'layers': LAYERS.encode(),
        'lost': LOST.encode(),
        'sound': SOUND.encode(),
        'part': PART.encode(),
    }
    assert written == recorded
