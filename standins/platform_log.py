"""A stand-in for the platform's store: keyed topics and one group."""

import asyncio
import base64
import json
import struct
from collections import defaultdict

from standins.mini_http import (
    GONE,
    UNAVAILABLE,
    MiniRequest,
    MiniResponse,
    MiniServer,
)

_HEAD = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')
MS_IN_S = 1000


class PlatformLog:
    """In-memory store; while ``is_down``, all calls get status 503.

    ``epoch`` rises each time the store returns from an older copy.
    """

    def __init__(self) -> None:
        """Create a store without topics or group members."""
        self.is_down = False
        self.epoch = 1
        self.calls = 0
        self.server = MiniServer(self._answer)
        self._topics: dict[str, list[bytes]] = defaultdict(list)
        # Members in the order in which they joined, and when each lapses.
        self._members: dict[str, float] = {}
        self._generation = 0
        self._appended = asyncio.Event()

    def put(self, topic: str, key: str, content: bytes | None) -> None:
        """Append a record, as operators and endpoints do."""
        name = key.encode()
        self._topics[topic].append(bytes([len(name)]) + name + (content or b''))
        self._appended.set()
        self._appended = asyncio.Event()

    def restore(self, lost: int) -> None:
        """Return from a copy without the ``lost`` latest records of each topic.

        The copy is of a time at which the group had seen fewer changes.
        """
        self.epoch += 1
        for topic, records in tuple(self._topics.items()):
            self._topics[topic] = records[: max(0, len(records) - lost)]
        self._generation = max(0, self._generation - lost)

    async def _answer(
        self,
        req: MiniRequest,
        _: asyncio.StreamWriter,
    ) -> MiniResponse:
        self.calls += 1
        epoch = self.epoch
        response = await self._handle(req)
        # A read that waits while the store is restored gets no answer from it.
        if epoch != self.epoch:
            response = MiniResponse(UNAVAILABLE)
        response.headers['Store-Era'] = str(self.epoch)
        return response

    async def _handle(self, req: MiniRequest) -> MiniResponse:
        if self.is_down:
            return MiniResponse(UNAVAILABLE)
        if req.path == '/log-read':
            return await self._read(req)
        answers = {
            '/log-newest': self._read_latest,
            '/log-append': self._append,
            '/log-join': self._join,
            '/log-leave': self._leave,
            '/log-owners': self._owners,
        }
        return answers[req.path](req)

    async def _read(self, req: MiniRequest) -> MiniResponse:
        records = self._topics[req.query['topic']]
        offset = int(req.query['from'])
        if offset > len(records):
            return MiniResponse(GONE)
        wait_s = int(req.query.get('wait_ms', 0)) / 1000
        if len(records) <= offset and wait_s:
            await self._wait(req.query['topic'], offset, wait_s)
        new_records = records[offset:]
        framed = [_LENGTH.pack(len(record)) + record for record in new_records]
        return MiniResponse(body=_HEAD.pack(len(records), 0) + b''.join(framed))

    async def _wait(self, topic: str, offset: int, seconds: float) -> None:
        try:
            await asyncio.wait_for(
                self._wait_for_records(topic, offset), seconds
            )
        except TimeoutError:
            return

    async def _wait_for_records(self, topic: str, offset: int) -> None:
        while len(self._topics[topic]) <= offset:
            await self._appended.wait()

    def _read_latest(self, req: MiniRequest) -> MiniResponse:
        topic = req.query['topic']
        latest: dict[str, bytes] = {}
        for record in self._topics[topic]:
            end = 1 + record[0]
            latest[record[1:end].decode()] = record[end:]
        items = [
            {'key': key, 'value': base64.b64encode(content).decode()}
            for key, content in latest.items()
            if content
        ]
        return _json(
            {
                'items': items,
                'has_more': False,
                'end_offset': len(self._topics[topic]),
            },
        )

    def _append(self, req: MiniRequest) -> MiniResponse:
        topic = req.query['topic']
        length = _LENGTH.unpack_from(req.body)[0]
        record = req.body[_LENGTH.size : _LENGTH.size + length]
        end = 1 + record[0]
        self.put(topic, record[1:end].decode(), record[end:] or None)
        return _json({'offset': len(self._topics[topic]) - 1})

    def _join(self, req: MiniRequest) -> MiniResponse:
        joined = json.loads(req.body)
        member = joined['member']
        now = asyncio.get_running_loop().time()
        self._expire_members(now)
        if member not in self._members:
            self._generation += 1
        self._members[member] = now + joined['ttl_ms'] / MS_IN_S
        is_leader = next(iter(self._members)) == member
        rows = [['placement', 0, 0]] if is_leader else []
        return _json({'generation': self._generation, 'parts': rows})

    def _leave(self, req: MiniRequest) -> MiniResponse:
        member = json.loads(req.body)['member']
        if self._members.pop(member, None) is not None:
            self._generation += 1
        return _json({'generation': self._generation})

    def _owners(self, _: MiniRequest) -> MiniResponse:
        self._expire_members(asyncio.get_running_loop().time())
        rows = [['placement', 0, member, 0] for member in self._members]
        return _json({'parts': rows[:1]})

    def _expire_members(self, now: float) -> None:
        """Drop the members that have not joined again in time."""
        lapsed = [
            member for member, ends_at in self._members.items() if ends_at < now
        ]
        for member in lapsed:
            self._members.pop(member)
        self._generation += bool(lapsed)


def _json(document: object) -> MiniResponse:
    return MiniResponse(body=json.dumps(document).encode())
