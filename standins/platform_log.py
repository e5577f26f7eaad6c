"""A stand-in of the platform's store: keyed topics and one group."""

import asyncio
import base64
import json
import struct
from collections import defaultdict

from standins.mini_http import (
    UNAVAILABLE,
    MiniAnswer,
    MiniRequest,
    MiniServer,
)

_HEAD = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class PlatformLog:
    """Keep topics in memory; ``is_down`` refuses all calls with 503."""

    def __init__(self) -> None:
        """Start empty."""
        self.is_down = False
        self.calls = 0
        self.server = MiniServer(self._answer)
        self._topics: dict[str, list[bytes]] = defaultdict(list)
        self._members: list[str] = []
        self._generation = 0
        self._grown = asyncio.Event()

    def put(self, topic: str, key: str, content: bytes | None) -> None:
        """Write a record, as operators and endpoints do."""
        name = key.encode()
        self._topics[topic].append(bytes([len(name)]) + name + (content or b''))
        self._grown.set()
        self._grown = asyncio.Event()

    async def _answer(
        self,
        req: MiniRequest,
        _: asyncio.StreamWriter,
    ) -> MiniAnswer:
        self.calls += 1
        if self.is_down:
            return MiniAnswer(UNAVAILABLE)
        if req.path == '/log-read':
            return await self._read(req)
        answers = {
            '/log-newest': self._newest,
            '/log-append': self._append,
            '/log-join': self._join,
            '/log-leave': self._leave,
        }
        return answers[req.path](req)

    async def _read(self, req: MiniRequest) -> MiniAnswer:
        records = self._topics[req.query['topic']]
        offset = int(req.query['from'])
        wait_s = int(req.query.get('wait_ms', 0)) / 1000
        if len(records) <= offset and wait_s:
            await self._wait(req.query['topic'], offset, wait_s)
        found = records[offset:]
        framed = [_LENGTH.pack(len(record)) + record for record in found]
        return MiniAnswer(body=_HEAD.pack(len(records), 0) + b''.join(framed))

    async def _wait(self, topic: str, offset: int, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._until(topic, offset), seconds)
        except TimeoutError:
            return

    async def _until(self, topic: str, offset: int) -> None:
        while len(self._topics[topic]) <= offset:
            await self._grown.wait()

    def _newest(self, req: MiniRequest) -> MiniAnswer:
        topic = req.query['topic']
        newest: dict[str, bytes] = {}
        for record in self._topics[topic]:
            end = 1 + record[0]
            newest[record[1:end].decode()] = record[end:]
        items = [
            {'key': key, 'value': base64.b64encode(content).decode()}
            for key, content in newest.items()
            if content
        ]
        return _json(
            {
                'items': items,
                'has_more': False,
                'end_offset': len(self._topics[topic]),
            },
        )

    def _append(self, req: MiniRequest) -> MiniAnswer:
        topic = req.query['topic']
        length = _LENGTH.unpack_from(req.body)[0]
        record = req.body[_LENGTH.size : _LENGTH.size + length]
        end = 1 + record[0]
        self.put(topic, record[1:end].decode(), record[end:] or None)
        return _json({'offset': len(self._topics[topic]) - 1})

    def _join(self, req: MiniRequest) -> MiniAnswer:
        member = json.loads(req.body)['member']
        if member not in self._members:
            self._members.append(member)
            self._generation += 1
        holds = self._members[0] == member
        rows = [['placement', 0, 0]] if holds else []
        return _json({'generation': self._generation, 'parts': rows})

    def _leave(self, req: MiniRequest) -> MiniAnswer:
        member = json.loads(req.body)['member']
        if member in self._members:
            self._members.remove(member)
            self._generation += 1
        return _json({'generation': self._generation})


def _json(document: object) -> MiniAnswer:
    return MiniAnswer(body=json.dumps(document).encode())
