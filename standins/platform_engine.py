"""Stand-ins of the platform's engines and plain services.

All of them live in one pool, so that a chain can see whether its parts are
there.  Each run is recorded, with the layers that it went through.
"""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field

from standins.mini_http import (
    ACCEPTED,
    CONFLICT,
    MISDIRECTED,
    NOT_FOUND,
    OLD_FENCE,
    UNAVAILABLE,
    MiniAnswer,
    MiniRequest,
    MiniServer,
)
from standins.platform_log import PlatformLog

EVENT_S = 0.02
EVENTS = 30
HEARTBEAT_S = 1.2
LOAD_S = 0.2
LAYERS = 80

Part = tuple[str, int, int]


@dataclass(slots=True)
class Pool:
    """All endpoints, and what has run: broken rules are collected."""

    log: PlatformLog
    nodes: dict[str, 'Node'] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)

    def check_layers(self, request_id: str, parts: list[Part]) -> None:
        """Collect a chain that does not run each layer once, in order."""
        reached = 0
        for _, first, end in parts:
            if first != reached:
                self.broken.append(f'{request_id}: layers {parts}')
            reached = end
        if reached != LAYERS:
            self.broken.append(f'{request_id}: layers end at {reached}')


class Node:
    """One endpoint; an engine if it has a card."""

    def __init__(self, pool: Pool, name: str, service: str, zone: str) -> None:
        """Listen nowhere yet."""
        self.name = name
        self.service = service
        self.zone = zone
        self.card = ''
        self.layers: tuple[int, int] | None = None
        self.is_leaving = False
        self.is_dead = False
        self.orders = 0
        self.fence = 0
        self.paths: dict[str, list[Part]] = {}
        self.server = MiniServer(self._answer)
        self._busy = False
        self._pool = pool

    async def start(self) -> None:
        """Listen and write the first record."""
        address = await self.server.start()
        self._pool.nodes[address] = self
        self._beat_on()

    def beat(self) -> None:
        """Write what the list says of this endpoint."""
        record: dict[str, object] = {
            'service': self.service,
            'address': self.server.address,
            'zone': self.zone,
            'slots': 96,
            'state': 'draining' if self.is_leaving else 'ready',
            'born': 1,
            'route_kind': self.card,
        }
        if self.layers:
            first, end = self.layers
            record['layers'] = {'from': first, 'to': end, 'version': 1}
        content = json.dumps(record).encode()
        self._pool.log.put('keyed.servers', self.name, content)

    def _beat_on(self) -> None:
        """Write a record with each heartbeat, as long as this lives."""
        if self.is_dead:
            return
        self.beat()
        loop = asyncio.get_running_loop()
        loop.call_later(HEARTBEAT_S, self._beat_on)

    def crash(self) -> None:
        """End at once, as after a kill."""
        self.is_dead = True
        self.server.stop()

    def leave(self) -> None:
        """Write that this endpoint is leaving."""
        self.is_leaving = True
        self.beat()

    def holds(self, first: int, end: int) -> bool:
        """Tell whether these layers can be asked of this endpoint."""
        if self.is_dead or self.layers is None:
            return False
        return self.layers[0] <= first and end <= self.layers[1]

    async def _answer(
        self,
        req: MiniRequest,
        writer: asyncio.StreamWriter,
    ) -> MiniAnswer | None:
        if req.path == '/report':
            return self._report()
        if req.path == '/order':
            return self._order(json.loads(req.body))
        expected = req.headers.get('foxtailhatch-expect-instance')
        if expected != self.name:
            return MiniAnswer(MISDIRECTED)
        if not self.card:
            return self._run_plain(req)
        return await self._run_chain(req, writer)

    def _run_plain(self, req: MiniRequest) -> MiniAnswer:
        request_id = req.headers['foxtailhatch-request-id']
        self._pool.runs[request_id] += 1
        return MiniAnswer(body=b'done', headers=_proof(request_id))

    async def _run_chain(
        self,
        req: MiniRequest,
        writer: asyncio.StreamWriter,
    ) -> MiniAnswer | None:
        request_id = req.headers['foxtailhatch-request-id']
        parts = _parts(req.headers.get('foxtailhatch-hops', ''))
        lacking = self._lacking(parts)
        if lacking is not None:
            headers = {'Foxtailhatch-Not-Executed': '1', 'At-Server': lacking}
            return MiniAnswer(UNAVAILABLE, headers=headers)
        self._pool.runs[request_id] += 1
        begun = int(req.headers.get('last-event-id', 0))
        with _Path(self.paths, request_id, parts):
            writer.write(_stream_head(request_id))
            await self._stream(request_id, begun, writer)
        return None

    async def _stream(
        self,
        request_id: str,
        begun: int,
        writer: asyncio.StreamWriter,
    ) -> None:
        number = begun
        while number < EVENTS:
            await asyncio.sleep(EVENT_S)
            if self._lacking(self.paths[request_id]) is None:
                number += 1
                self._pool.check_layers(request_id, self.paths[request_id])
                writer.write(_event(request_id, number))
                await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def _lacking(self, parts: list[Part]) -> str | None:
        for address, first, end in parts:
            node = self._pool.nodes.get(address)
            if node is None or not node.holds(first, end):
                return address
        return None

    def _report(self) -> MiniAnswer:
        stalled = [
            {'id': request_id, 'address': lacking}
            for request_id, parts in self.paths.items()
            if (lacking := self._lacking(parts)) is not None
        ]
        document: dict[str, object] = {
            'busy': self._busy,
            'seq': self.orders,
            'stalled': stalled,
        }
        if self.layers:
            first, end = self.layers
            document['layers'] = {'from': first, 'to': end}
        return MiniAnswer(body=json.dumps(document).encode())

    def _order(self, order: dict[str, object]) -> MiniAnswer:
        if order['op'] == 'repath':
            return self._repath(str(order['id']), str(order['path']))
        fence = order.get('fencing_token', 0)
        if isinstance(fence, int) and fence < self.fence:
            return MiniAnswer(OLD_FENCE)
        if self._busy or order.get('expected') != self.orders:
            return MiniAnswer(CONFLICT)
        self.fence = fence if isinstance(fence, int) else 0
        self.orders += 1
        self._busy = True
        asyncio.get_running_loop().call_later(
            LOAD_S,
            self._load,
            int(str(order['from'])),
            int(str(order['to'])),
        )
        return MiniAnswer(ACCEPTED)

    def _load(self, first: int, end: int) -> None:
        self.layers = (first, end)
        self._busy = False
        self.beat()

    def _repath(self, request_id: str, path: str) -> MiniAnswer:
        if request_id not in self.paths:
            return MiniAnswer(NOT_FOUND)
        parts = _parts(path)
        lacking = self._lacking(parts)
        if lacking is not None:
            body = json.dumps({'address': lacking}).encode()
            return MiniAnswer(CONFLICT, body)
        self.paths[request_id] = parts
        return MiniAnswer()


class _Path:
    """Keep the path of a request while it runs."""

    def __init__(
        self,
        paths: dict[str, list[Part]],
        request_id: str,
        parts: list[Part],
    ) -> None:
        self._paths = paths
        self._request_id = request_id
        self._parts = parts

    def __enter__(self) -> None:
        self._paths[self._request_id] = self._parts

    def __exit__(self, *_: object) -> None:
        self._paths.pop(self._request_id, None)


def _stream_head(request_id: str) -> bytes:
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
    lines.append('Transfer-Encoding: chunked')
    proof = _proof(request_id).items()
    lines.extend(f'{key}: {text}' for key, text in proof)
    return '\r\n'.join([*lines, '', '']).encode()


def _event(request_id: str, number: int) -> bytes:
    event = b'id: %d\ndata: %s\n\n' % (number, request_id.encode())
    return b'%x\r\n%s\r\n' % (len(event), event)


def _proof(request_id: str) -> dict[str, str]:
    return {
        'Foxtailhatch-Request-Id': request_id,
        'Foxtailhatch-Response-Seal': f'seal-{request_id}',
    }


def _parts(text: str) -> list[Part]:
    parts = []
    for entry in filter(None, text.split(',')):
        address, _, layers = entry.partition('=')
        first, _, end = layers.partition('-')
        parts.append((address, int(first), int(end)))
    return parts
