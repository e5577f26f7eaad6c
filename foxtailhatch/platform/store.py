"""Client for the platform's store, a keyed log over HTTP."""

import base64
import struct
from collections.abc import Iterator
from typing import Any
from urllib.parse import urlencode

import orjson
from returns.result import Failure, Result, Success

from foxtailhatch.platform import names
from foxtailhatch.relay.http_client import (
    MAX_RECORDS_BYTES,
    HttpCall,
    HttpClient,
    HttpResponse,
)
from foxtailhatch.router.keyed_log import (
    KeyedPage,
    KeyedRecord,
    LogPosition,
    Membership,
    StoreFault,
    Topic,
)

# The store responds within 4 ms, or 200 ms when it is slow.
CALL_TIMEOUT_S = 1.0
MS_IN_S = 1000
STATUS_OK = 200
STATUS_GONE = 410
STATUSES_BUSY = frozenset((429, 503, 507))
_TOPICS = {
    Topic.CONFIGURATION: names.CONFIGURATION_TOPIC,
    Topic.ENDPOINTS: names.ENDPOINT_TOPIC,
    Topic.ENTRIES: names.ENTRY_TOPIC,
    Topic.OBSERVATIONS: names.OBSERVATION_TOPIC,
}
MAX_EPOCH_DIGITS = 18
# Header of a read: end of the log and first retained offset.
_READ_HEAD = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class LogStore:
    """Call the store; every call loads it, so callers limit their rate."""

    def __init__(self, http_client: HttpClient) -> None:
        """Use the connections of ``http_client``."""
        self._http_client = http_client

    async def read_latest(self, topic: Topic) -> Result[KeyedPage, StoreFault]:
        """Return the latest record of each key, over all pages.

        The pages are not a consistent snapshot.  The returned position is the
        end of the log at the first page, so that a subsequent read returns
        all later changes.  Pages of two epochs of the store do not fit
        together.
        """
        records: list[KeyedRecord] = []
        end: LogPosition | None = None
        after = ''
        while True:
            outcome = await self._latest_page(topic, after)
            if not isinstance(outcome, Success):
                return Failure(outcome.failure())
            page, has_more = outcome.unwrap()
            end = page.end if end is None else end
            if page.end.epoch != end.epoch:
                return Failure(StoreFault.HISTORY_GONE)
            records.extend(page.records)
            if not has_more:
                return Success(KeyedPage(tuple(records), end))
            if not page.records:
                # There is no key after which to go on.
                return Failure(StoreFault.MALFORMED)
            after = records[-1].key

    async def read(
        self,
        topic: Topic,
        offset: int,
        wait_s: float,
    ) -> Result[KeyedPage, StoreFault]:
        """Return a page from ``offset`` on; wait at most ``wait_s``."""
        query = {'topic': _TOPICS[topic], 'part': 0, 'from': offset}
        if wait_s:
            query['wait_ms'] = int(wait_s * MS_IN_S)
        target = f'/log-read?{urlencode(query)}'
        called = await self._call(
            HttpCall(
                'GET',
                target,
                timeout_s=CALL_TIMEOUT_S + wait_s,
                max_response_bytes=MAX_RECORDS_BYTES,
            )
        )
        return called.bind(lambda response: _decode_page(response, offset))

    async def put(
        self,
        topic: Topic,
        key: str,
        value: bytes | None,  # noqa: WPS110
    ) -> Result[None, StoreFault]:
        """Append a value for a key; ``None`` appends a tombstone."""
        name = key.encode()
        record = b''.join((bytes((len(name),)), name, value or b''))
        query = urlencode({'topic': _TOPICS[topic], 'part': 0})
        body = b''.join((_LENGTH.pack(len(record)), record))
        called = await self._call(
            HttpCall('POST', f'/log-append?{query}', body, CALL_TIMEOUT_S)
        )
        return called.map(lambda _: None)

    async def join(
        self,
        member: str,
        generation: int,
        lease_s: float,
    ) -> Result[Membership, StoreFault]:
        """Join the leader lease group, or renew the membership in it."""
        fields = {
            'group': names.LEASE_GROUP,
            'member': member,
            'topics': [names.LEASE_TOPIC],
            'ttl_ms': int(lease_s * MS_IN_S),
            'generation': generation,
        }
        called = await self._post('/log-join', fields)
        return called.bind(_decode_membership)

    async def leave(self, member: str) -> Result[None, StoreFault]:
        """Leave the leader lease group."""
        fields = {'group': names.LEASE_GROUP, 'member': member}
        called = await self._post('/log-leave', fields)
        return called.map(lambda _: None)

    async def holder(self) -> Result[str, StoreFault]:
        """Return the member that holds the leader lease, or an empty name."""
        query = urlencode({'group': names.LEASE_GROUP})
        called = await self._call(
            HttpCall('GET', f'/log-owners?{query}', timeout_s=CALL_TIMEOUT_S)
        )
        return called.bind(_decode_holder)

    async def _post(
        self, path: str, fields: Any
    ) -> Result[HttpResponse, StoreFault]:
        body = orjson.dumps(fields)
        return await self._call(HttpCall('POST', path, body, CALL_TIMEOUT_S))

    async def _latest_page(
        self,
        topic: Topic,
        after: str,
    ) -> Result[tuple[KeyedPage, bool], StoreFault]:
        """Return the page after a key, and whether more pages follow."""
        query = {'topic': _TOPICS[topic], 'part': 0}
        if after:
            query['after'] = after
        called = await self._call(
            HttpCall(
                'GET',
                f'/log-newest?{urlencode(query)}',
                max_response_bytes=MAX_RECORDS_BYTES,
            )
        )
        return called.bind(_decode_latest)

    async def _call(self, call: HttpCall) -> Result[HttpResponse, StoreFault]:
        outcome = await self._http_client.call(call)
        if not isinstance(outcome, Success):
            return Failure(StoreFault.UNREACHABLE)
        response = outcome.unwrap()
        if response.status == STATUS_OK:
            return Success(response)
        if response.status in STATUSES_BUSY:
            return Failure(StoreFault.BUSY)
        if response.status == STATUS_GONE:
            return Failure(StoreFault.HISTORY_GONE)
        return Failure(StoreFault.REFUSED)


def _decode_json(response: HttpResponse) -> Result[Any, StoreFault]:
    try:
        document = orjson.loads(response.body)
    except ValueError:
        return Failure(StoreFault.MALFORMED)
    if not isinstance(document, dict):
        return Failure(StoreFault.MALFORMED)
    return Success(document)


def _decode_latest(
    response: HttpResponse,
) -> Result[tuple[KeyedPage, bool], StoreFault]:
    decoded = _decode_json(response)
    if not isinstance(decoded, Success):
        return Failure(decoded.failure())
    document = decoded.unwrap()
    try:
        page = _read_latest(document, _epoch(response))
    except (KeyError, TypeError, ValueError):
        return Failure(StoreFault.MALFORMED)
    return Success((page, bool(document.get('has_more'))))


def _read_latest(document: Any, epoch: int) -> KeyedPage:
    records = tuple(
        KeyedRecord(_text(item['key']), _value(item['value']))
        for item in document['items']
    )
    return KeyedPage(
        records, LogPosition(epoch, _count(document['end_offset']))
    )


def _value(encoded: Any) -> bytes:
    return base64.b64decode(_text(encoded), validate=True)


def _text(field: Any) -> str:
    if not isinstance(field, str):
        raise TypeError('not a text')
    return field


def _count(field: Any) -> int:
    """Return a whole number from zero on; a truth value is none."""
    if isinstance(field, bool) or not isinstance(field, int):
        raise TypeError('not a whole number')
    if field < 0:
        raise ValueError('negative')
    return field


def _epoch(response: HttpResponse) -> int:
    """Return the epoch of the store; 0 if it does not name a valid one."""
    field = response.head.get(names.STORE_EPOCH) or b''
    is_valid = field.isdigit() and len(field) <= MAX_EPOCH_DIGITS
    return int(field) if is_valid else 0


def _decode_membership(
    response: HttpResponse,
) -> Result[Membership, StoreFault]:
    try:
        membership = _read_membership(
            orjson.loads(response.body), _epoch(response)
        )
    except (ValueError, TypeError, LookupError):
        return Failure(StoreFault.MALFORMED)
    return Success(membership)


def _read_membership(document: Any, epoch: int) -> Membership:
    """Return the membership; partition 0 of the lease topic is the lease."""
    owned = [(row[0], row[1]) for row in document['parts']]
    is_holder = (names.LEASE_TOPIC, 0) in owned
    return Membership(_count(document['generation']), is_holder, epoch)


def _decode_holder(response: HttpResponse) -> Result[str, StoreFault]:
    try:
        return Success(_read_holder(orjson.loads(response.body)))
    except (ValueError, TypeError, LookupError):
        return Failure(StoreFault.MALFORMED)


def _read_holder(document: Any) -> str:
    """Return the owner of partition 0 in rows of topic, partition and owner.

    The rows are the only list in the document, or the document itself.
    """
    lists = [document]
    if isinstance(document, dict):
        lists = [one for one in document.values() if isinstance(one, list)]
    owners = [row[2] for row in lists[0] if row[:2] == [names.LEASE_TOPIC, 0]]
    return str(owners[0] or '') if owners else ''


def _decode_page(
    response: HttpResponse, offset: int
) -> Result[KeyedPage, StoreFault]:
    body = response.body
    if len(body) < _READ_HEAD.size:
        return Failure(StoreFault.MALFORMED)
    log_end, _ = _READ_HEAD.unpack_from(body)
    if log_end < offset:
        return Failure(StoreFault.MALFORMED)
    records = tuple(_decode_records(body[_READ_HEAD.size :]))
    end = LogPosition(_epoch(response), offset + len(records))
    return Success(KeyedPage(records, end, end.offset >= log_end))


def _decode_records(body: bytes) -> Iterator[KeyedRecord]:
    position = 0
    while position + _LENGTH.size <= len(body):
        length = _LENGTH.unpack_from(body, position)[0]
        position += _LENGTH.size
        if position + length > len(body):
            return
        yield _decode_record(body[position : position + length])
        position += length


def _decode_record(raw: bytes) -> KeyedRecord:
    key_end = 1 + raw[0] if raw else 0
    key = raw[1:key_end].decode('utf-8', 'replace')
    return KeyedRecord(key, raw[key_end:] or None)
