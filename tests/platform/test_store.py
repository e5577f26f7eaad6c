"""The store's wire format, against a client with scripted responses."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

import pytest
from returns.result import Failure, Success

from foxtailhatch.platform.store import LogStore
from foxtailhatch.relay.http_client import HttpResponse
from foxtailhatch.relay.http_connection import ResponseHead, TransportFailure
from foxtailhatch.router.keyed_log import KeyedRecord, StoreFault, Topic


class ScriptedHttpClient:
    """Return scripted responses in order and record the calls."""

    def __init__(self, *answers):
        self.calls = []
        self._answers = list(answers)

    async def call(self, call):
        self.calls.append(call)
        answer = self._answers.pop(0)
        if isinstance(answer, TransportFailure):
            return Failure(answer)
        status, body, *headers = answer
        head = ResponseHead(status, tuple(headers))
        return Success(HttpResponse(head, body))

    def query(self, index=0):
        return parse_qs(urlsplit(self.calls[index].target).query)


def run(coroutine):
    return asyncio.run(coroutine)


def record(key, value=b''):
    content = bytes((len(key),)) + key + value
    return struct.pack('>I', len(content)) + content


def page(*records, end=9):
    return struct.pack('>QQ', end, 0) + b''.join(records)


def listed_page(key, end, *, more):
    value = base64.b64encode(b'v').decode()
    item = {'key': key, 'value': value, 'offset': 1}
    return json.dumps(
        {'items': [item], 'has_more': more, 'end_offset': end},
    ).encode()


def test_read_returns_values_and_tombstones():
    body = page(record(b'a', b'1'), record(b'b'))
    http_client = ScriptedHttpClient((200, body))
    keyed_page = run(LogStore(http_client).read(Topic.ENDPOINTS, 4, 0)).unwrap()
    assert keyed_page.records == (
        KeyedRecord('a', b'1'),
        KeyedRecord('b', None),
    )
    assert keyed_page.end.offset == 6
    assert http_client.query()['topic'] == ['keyed.servers']


@pytest.mark.parametrize(
    ('headers', 'epoch'),
    [
        ([(b'store-era', b'3')], 3),
        ([(b'store-era', b'three')], 0),
        ([], 0),
    ],
)
def test_epoch_of_the_store_is_decoded_from_all_reads(headers, epoch):
    latest = b'{"items": [], "end_offset": 0}'
    http_client = ScriptedHttpClient(
        (200, page(), *headers), (200, latest, *headers)
    )
    store = LogStore(http_client)
    assert run(store.read(Topic.ENDPOINTS, 0, 0)).unwrap().end.epoch == epoch
    assert run(store.read_latest(Topic.ENDPOINTS)).unwrap().end.epoch == epoch


def test_truncated_record_is_left_for_the_next_read():
    body = page(record(b'a', b'1'), record(b'b', b'2')[:-1])
    http_client = ScriptedHttpClient((200, body))
    keyed_page = run(LogStore(http_client).read(Topic.ENDPOINTS, 4, 0)).unwrap()
    assert keyed_page.end.offset == 5


@pytest.mark.parametrize(
    ('end', 'is_complete'), [(5, True), (6, True), (7, False), (900, False)]
)
def test_page_is_complete_if_it_reaches_the_end_of_the_log(end, is_complete):
    """A page was taken for all that had been written since its offset."""
    body = page(record(b'a', b'1'), record(b'b', b'2'), end=end)
    http_client = ScriptedHttpClient((200, body))
    keyed_page = run(LogStore(http_client).read(Topic.ENDPOINTS, 4, 0)).unwrap()
    assert keyed_page.is_complete is is_complete


def test_truncated_page_is_not_complete():
    body = page(record(b'a', b'1'), record(b'b', b'2')[:-1], end=6)
    http_client = ScriptedHttpClient((200, body))
    keyed_page = run(LogStore(http_client).read(Topic.ENDPOINTS, 4, 0)).unwrap()
    assert not keyed_page.is_complete


def test_announced_page_without_records_is_no_end_of_a_snapshot():
    empty = json.dumps({'items': [], 'has_more': True, 'end_offset': 5})
    http_client = ScriptedHttpClient(
        (200, listed_page('a', 5, more=True)), (200, empty.encode())
    )
    read = run(LogStore(http_client).read_latest(Topic.ENDPOINTS))
    assert read.failure() is StoreFault.MALFORMED


def test_read_latest_reads_all_pages_and_returns_the_first_end():
    http_client = ScriptedHttpClient(
        (200, listed_page('a', 5, more=True)),
        (200, listed_page('b', 8, more=False)),
    )
    keyed_page = run(
        LogStore(http_client).read_latest(Topic.CONFIGURATION)
    ).unwrap()
    assert [record.key for record in keyed_page.records] == ['a', 'b']
    assert keyed_page.end.offset == 5
    assert http_client.query(1)['after'] == ['a']


def test_pages_of_two_epochs_are_no_snapshot():
    http_client = ScriptedHttpClient(
        (200, listed_page('a', 5, more=True), (b'store-era', b'1')),
        (200, listed_page('b', 2, more=False), (b'store-era', b'2')),
    )
    read = run(LogStore(http_client).read_latest(Topic.ENDPOINTS))
    assert read.failure() is StoreFault.HISTORY_GONE


@pytest.mark.parametrize('body', [b'{}', b'[1]', b'{"items": [1]}', b'junk'])
def test_malformed_snapshot_is_a_fault(body):
    store = LogStore(ScriptedHttpClient((200, body)))
    read = run(store.read_latest(Topic.ENDPOINTS))
    assert read.failure() is StoreFault.MALFORMED


@pytest.mark.parametrize(
    ('answer', 'fault'),
    [
        (TransportFailure.TIMEOUT, StoreFault.UNREACHABLE),
        ((503, b''), StoreFault.BUSY),
        ((429, b''), StoreFault.BUSY),
        ((410, b'{}'), StoreFault.HISTORY_GONE),
        ((403, b''), StoreFault.REFUSED),
        ((200, b'short'), StoreFault.MALFORMED),
    ],
)
def test_faults_of_a_read(answer, fault):
    store = LogStore(ScriptedHttpClient(answer))
    assert run(store.read(Topic.ENTRIES, 0, 0)).failure() is fault


def test_put_frames_key_and_value():
    http_client = ScriptedHttpClient((200, b'{}'))
    run(LogStore(http_client).put(Topic.ENTRIES, 'e1', b'v'))
    assert http_client.calls[0].body == record(b'e1', b'v')


@pytest.mark.parametrize(
    ('rows', 'holder'),
    [
        ([['placement', 0, 0]], True),
        ([['placement', 3, 0]], False),
        ([], False),
    ],
)
def test_lease_holder_is_assigned_the_first_partition(rows, holder):
    body = json.dumps({'generation': 4, 'parts': rows}).encode()
    store = LogStore(ScriptedHttpClient((200, body)))
    membership = run(store.join('e1', 0, 3)).unwrap()
    assert (membership.generation, membership.is_holder) == (4, holder)


OWNERS = [['placement', 0, 'e2', 7], ['placement', 1, 'e1', 0]]


@pytest.mark.parametrize('document', [OWNERS, {'parts': OWNERS}])
def test_holder_is_the_owner_of_the_first_partition(document):
    http_client = ScriptedHttpClient((200, json.dumps(document).encode()))
    assert run(LogStore(http_client).holder()) == Success('e2')
    assert http_client.query() == {'group': ['placement']}


@pytest.mark.parametrize('rows', [[], [['placement', 0, None, 0]]])
def test_partition_without_an_owner_is_held_by_nobody(rows):
    http_client = ScriptedHttpClient(
        (200, json.dumps({'parts': rows}).encode())
    )
    assert run(LogStore(http_client).holder()) == Success('')


@pytest.mark.parametrize(
    'body', [b'?', b'{}', b'5', b'[5]', b'[["placement", 0]]']
)
def test_unreadable_owners_are_malformed(body):
    http_client = ScriptedHttpClient((200, body))
    assert run(LogStore(http_client).holder()) == Failure(StoreFault.MALFORMED)


JOINED = {
    'no document': b'',
    'list': b'[]',
    'no generation': b'{"parts":[["placement",0,0]]}',
    'generation as text': b'{"generation":"1","parts":[]}',
    'parts that are no rows': b'{"generation":1,"parts":[1]}',
    'short row': b'{"generation":1,"parts":[["placement"]]}',
    'parts that are no list': b'{"generation":1,"parts":7}',
}
LISTED = {
    'key that is no text': b'{"items":[{"key":1,"value":"dg=="}],"end_offset":1}',
    'value that is no text': b'{"items":[{"key":"a","value":1}],"end_offset":1}',
    'value in another alphabet': (
        b'{"items":[{"key":"a","value":"d%=="}],"end_offset":1}'
    ),
    'items that are no list': b'{"items":7,"end_offset":1}',
    'negative end': b'{"items":[],"end_offset":-1}',
    'end as text': b'{"items":[],"end_offset":"1"}',
}
ERA = (b'store-era', b'4' * 5000)


# Guards against a lease, or the end of the loop that renews it, by an answer that
# is none of the store's.
@pytest.mark.parametrize('kind', JOINED)
def test_malformed_membership_is_a_fault(kind):
    http_client = ScriptedHttpClient((200, JOINED[kind]))
    joined = run(LogStore(http_client).join('e1', 0, 3))
    assert joined == Failure(StoreFault.MALFORMED)


def test_partition_of_another_topic_is_no_lease():
    body = b'{"generation":1,"parts":[["other",0,0]]}'
    joined = run(LogStore(ScriptedHttpClient((200, body))).join('e1', 0, 3))
    assert not joined.unwrap().is_holder


# Guards against records of other types, which end the loop that applies them.
@pytest.mark.parametrize('kind', LISTED)
def test_malformed_snapshot_page_is_a_fault(kind):
    http_client = ScriptedHttpClient((200, LISTED[kind]))
    outcome = run(LogStore(http_client).read_latest(Topic.ENDPOINTS))
    assert outcome == Failure(StoreFault.MALFORMED)


# Guards against data that count as confirmed by bytes that are no page.
def test_page_of_a_log_that_ends_before_the_offset_is_a_fault():
    http_client = ScriptedHttpClient((200, bytes(16)))
    outcome = run(LogStore(http_client).read(Topic.CONFIGURATION, 4, 0))
    assert outcome == Failure(StoreFault.MALFORMED)


@pytest.mark.parametrize('path', ['read', 'join', 'latest'])
def test_epoch_that_is_too_long_is_none(path):
    bodies = {
        'read': page(end=4),
        'join': b'{"generation":1,"parts":[]}',
        'latest': b'{"items":[],"end_offset":4}',
    }
    store = LogStore(ScriptedHttpClient((200, bodies[path], ERA)))
    calls = {
        'read': lambda: store.read(Topic.ENDPOINTS, 4, 0),
        'join': lambda: store.join('e1', 0, 3),
        'latest': lambda: store.read_latest(Topic.ENDPOINTS),
    }
    found = run(calls[path]()).unwrap()
    assert (found.epoch if path == 'join' else found.end.epoch) == 0
