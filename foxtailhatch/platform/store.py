"""The platform's store: a log over HTTP."""

import base64
import struct
from collections.abc import Iterator
from typing import Any
from urllib.parse import urlencode

import orjson
from returns.result import Failure, Result, Success

from foxtailhatch.platform import names
from foxtailhatch.relay.http_client import HttpCall, HttpClient, HttpResponse
from foxtailhatch.router.keyed_log import (
    KeyedPage,
    KeyedRecord,
    Membership,
    StoreFault,
    Topic,
)

# The store answers in 4 ms, or fifty times that while it is slow.
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
# End of the log and first retained offset, before the records of a read.
_READ_HEAD = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class LogStore:
    """Speak to the store; each call costs, so callers pace themselves."""

    def __init__(self, caller: HttpClient) -> None:
        """Use the connections of ``caller``."""
        self._caller = caller

    async def read_latest(self, topic: Topic) -> Result[KeyedPage, StoreFault]:
        """Return the newest record of each key, over all pages.

        Pages are no snapshot, so reading goes on from the end that the
        first page named: what changed since is then read again.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        after = ''
        while True:
            page = await self._newest_page(topic, after)
            if not isinstance(page, Success):
                return Failure(page.failure())
            found = page.unwrap()
            end = found['end_offset'] if end is None else end
            for one in found['items']:
                after = one['key']
                content = base64.b64decode(one['value'])
                records.append(KeyedRecord(after, content))
            if not found.get('has_more') or not found['items']:
                return Success(KeyedPage(tuple(records), end))

    async def read(
        self,
        topic: Topic,
        offset: int,
        wait_s: float,
    ) -> Result[KeyedPage, StoreFault]:
        """Return the records from an offset on."""
        query = {'topic': _TOPICS[topic], 'part': 0, 'from': offset}
        if wait_s:
            query['wait_ms'] = int(wait_s * MS_IN_S)
        target = f'/log-read?{urlencode(query)}'
        called = await self._call(
            HttpCall('GET', target, timeout_s=CALL_TIMEOUT_S + wait_s)
        )
        return called.bind(lambda answer: _read_page(answer, offset))

    async def put(
        self,
        topic: Topic,
        key: str,
        value: bytes | None,  # noqa: WPS110
    ) -> Result[None, StoreFault]:
        """Append the newest value of a key."""
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
        """Join the group of deciders, or stay in it."""
        wish = {
            'group': names.LEASE_GROUP,
            'member': member,
            'topics': [names.LEASE_TOPIC],
            'ttl_ms': int(lease_s * MS_IN_S),
            'generation': generation,
        }
        called = await self._post('/log-join', wish)
        return called.bind(_membership)

    async def leave(self, member: str) -> Result[None, StoreFault]:
        """Leave the group of deciders."""
        wish = {'group': names.LEASE_GROUP, 'member': member}
        called = await self._post('/log-leave', wish)
        return called.map(lambda _: None)

    async def _post(
        self, path: str, wish: Any
    ) -> Result[HttpResponse, StoreFault]:
        body = orjson.dumps(wish)
        return await self._call(HttpCall('POST', path, body, CALL_TIMEOUT_S))

    async def _newest_page(
        self,
        topic: Topic,
        after: str,
    ) -> Result[Any, StoreFault]:
        query = {'topic': _TOPICS[topic], 'part': 0}
        if after:
            query['after'] = after
        called = await self._call(
            HttpCall('GET', f'/log-newest?{urlencode(query)}')
        )
        return called.bind(_json)

    async def _call(self, call: HttpCall) -> Result[HttpResponse, StoreFault]:
        outcome = await self._caller.call(call)
        if not isinstance(outcome, Success):
            return Failure(StoreFault.UNREACHABLE)
        answer = outcome.unwrap()
        if answer.status == STATUS_OK:
            return Success(answer)
        if answer.status in STATUSES_BUSY:
            return Failure(StoreFault.BUSY)
        if answer.status == STATUS_GONE:
            return Failure(StoreFault.HISTORY_GONE)
        return Failure(StoreFault.REFUSED)


def _json(answer: HttpResponse) -> Result[Any, StoreFault]:
    try:
        found = orjson.loads(answer.body)
    except ValueError:
        return Failure(StoreFault.MALFORMED)
    if not isinstance(found, dict):
        return Failure(StoreFault.MALFORMED)
    return Success(found)


def _membership(answer: HttpResponse) -> Result[Membership, StoreFault]:
    return _json(answer).map(
        lambda found: Membership(
            found.get('generation', 0),
            # The topic's partitions are shared out; one of them is the turn.
            any(row[1] == 0 for row in found.get('parts', ())),
        )
    )


def _read_page(
    answer: HttpResponse, offset: int
) -> Result[KeyedPage, StoreFault]:
    body = answer.body
    if len(body) < _READ_HEAD.size:
        return Failure(StoreFault.MALFORMED)
    records = tuple(_records(body[_READ_HEAD.size :]))
    return Success(KeyedPage(records, offset + len(records)))


def _records(body: bytes) -> Iterator[KeyedRecord]:
    place = 0
    while place + _LENGTH.size <= len(body):
        length = _LENGTH.unpack_from(body, place)[0]
        place += _LENGTH.size
        if place + length > len(body):
            return
        yield _record(body[place : place + length])
        place += length


def _record(raw: bytes) -> KeyedRecord:
    key_end = 1 + raw[0] if raw else 0
    key = raw[1:key_end].decode('utf-8', 'replace')
    return KeyedRecord(key, raw[key_end:] or None)
