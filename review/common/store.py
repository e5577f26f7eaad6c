"""A stand-in for the platform's store: keyed topics and groups."""

import asyncio
import base64
import json
import struct
from collections import defaultdict

from common.http import Reply, Server

HEAD = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')


class Store:
    """Linearizable and in memory.

    Each router has a listener of its own, so that the store can treat the
    machines differently: ``modes[name]`` is ``up``, ``silent`` or ``reset``.
    """

    def __init__(self):
        self.modes = defaultdict(lambda: 'up')
        self._topics = defaultdict(list)
        self._members = {}
        self._generation = 0
        self._appended = asyncio.Event()
        self._servers = []

    async def listen(self, name):
        server = Server(self._answer, lambda: self.modes[name])
        self._servers.append(server)
        return await server.start()

    def set_all(self, mode):
        self.modes.clear()
        self.modes.default_factory = lambda: mode

    def stop(self):
        for server in self._servers:
            server.stop()

    def put(self, topic, key, value):
        """Append a record, as operators and servers do; ``None`` deletes."""
        name = key.encode()
        self._topics[topic].append(bytes([len(name)]) + name + (value or b''))
        self._appended.set()
        self._appended = asyncio.Event()

    def newest(self, topic):
        newest = {}
        for offset, record in enumerate(self._topics[topic]):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (record[end:], offset)
        return {key: pair for key, pair in newest.items() if pair[0]}

    async def _answer(self, request, _):
        await asyncio.sleep(0.004)
        handler = {
            '/log-read': self._read,
            '/log-newest': self._newest,
            '/log-append': self._append,
            '/log-join': self._join,
            '/log-leave': self._leave,
        }[request.path]
        return await handler(request)

    async def _read(self, request):
        records = self._topics[request.query['topic']]
        begin = int(request.query['from'])
        wait_s = int(request.query.get('wait_ms', 0)) / 1000
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while len(records) <= begin and loop.time() < until:
            try:
                await asyncio.wait_for(
                    self._appended.wait(), until - loop.time()
                )
            except TimeoutError:
                break
        room = int(request.query.get('max_kb', 1024)) * 1024
        framed = []
        for record in records[begin:]:
            room -= LENGTH.size + len(record)
            if room < 0 and framed:
                break
            framed.append(LENGTH.pack(len(record)) + record)
        return Reply(body=HEAD.pack(len(records), 0) + b''.join(framed))

    async def _newest(self, request):
        topic = request.query['topic']
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (value, offset) in self.newest(topic).items()
        ]
        return _json(
            {
                'items': items,
                'has_more': False,
                'end_offset': len(self._topics[topic]),
            }
        )

    async def _append(self, request):
        topic = request.query['topic']
        length = LENGTH.unpack_from(request.body)[0]
        record = request.body[LENGTH.size : LENGTH.size + length]
        end = 1 + record[0]
        self.put(topic, record[1:end].decode(), record[end:] or None)
        count = len(self._topics[topic])
        return _json({'offset': count - 1, 'end_offset': count})

    async def _join(self, request):
        call = json.loads(request.body)
        now = asyncio.get_running_loop().time()
        lapsed = [one for one, end in self._members.items() if end < now]
        for one in lapsed:
            self._members.pop(one)
        member = call['member']
        if member not in self._members or lapsed:
            self._generation += 1
        self._members[member] = now + call['ttl_ms'] / 1000
        rows = []
        if next(iter(self._members)) == member:
            rows = [[call['topics'][0], 0, 0]]
        return _json({'generation': self._generation, 'parts': rows})

    async def _leave(self, request):
        if self._members.pop(json.loads(request.body)['member'], None):
            self._generation += 1
        return _json({'generation': self._generation})


def _json(document):
    return Reply(
        body=json.dumps(document).encode(),
        headers={'Content-Type': 'application/json'},
    )
