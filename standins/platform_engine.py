"""Stand-ins for the platform's engines and plain services.

All endpoints share one pool, so that a chain can check whether its stages are
available.  The pool counts executions and checks the layers of each chain.  A
prompt with one of the pool's crashing parts makes the head of its chain crash
before the first event, and a request with a crashing path the endpoint that
runs it.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.mini_http import (
    ACCEPTED,
    CONFLICT,
    MISDIRECTED,
    NOT_FOUND,
    PRECONDITION_FAILED,
    UNAVAILABLE,
    MiniRequest,
    MiniResponse,
    MiniServer,
)
from standins.platform_log import PlatformLog

EVENT_INTERVAL_S = 0.02
EVENT_COUNT = 30
HEARTBEAT_PERIOD_S = 1.2
LOAD_DURATION_S = 0.2
LAYER_COUNT = 80

ChainStage = tuple[str, int, int]


@dataclass(slots=True)
class EndpointPool:
    """All endpoints, with execution counts and detected violations.

    ``crashing_runs`` are the times, on the loop's clock, at which requests with
    a crashing part or path arrived; ``crashed_at`` are those at which endpoints crashed
    on one.  ``on_crash`` is called with the endpoint.  An endpoint in
    ``limits_per_s`` names its limit in each response, and ``arrivals`` holds
    the times at which requests reached it.  ``bodies`` are those that plain
    services answer with, by path.
    """

    log: PlatformLog
    nodes: dict[str, 'StubEndpoint'] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    crashing_parts: set[str] = field(default_factory=set)
    crashing_paths: set[str] = field(default_factory=set)
    crashing_runs: list[float] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)
    on_crash: Callable[['StubEndpoint'], None] | None = None
    limits_per_s: dict[str, float] = field(default_factory=dict)
    arrivals: dict[str, list[float]] = field(default_factory=dict)
    bodies: dict[str, bytes] = field(default_factory=dict)

    def check_layers(self, request_id: str, stages: list[ChainStage]) -> None:
        """Record a violation unless each layer runs once and in order."""
        next_layer = 0
        for _, first, end in stages:
            if first != next_layer:
                self.violations.append(f'{request_id}: layers {stages}')
            next_layer = end
        if next_layer != LAYER_COUNT:
            self.violations.append(f'{request_id}: layers end at {next_layer}')


class StubEndpoint:
    """An endpoint; an engine if it has an accelerator kind."""

    def __init__(
        self, pool: EndpointPool, name: str, service: str, zone: str
    ) -> None:
        """Create an endpoint that does not listen yet."""
        self.name = name
        self.service = service
        self.zone = zone
        self.accelerator_kind = ''
        self.layers: tuple[int, int] | None = None
        self.is_draining = False
        self.is_dead = False
        self.orders = 0
        self.fence = 0
        self.paths: dict[str, list[ChainStage]] = {}
        self.server = MiniServer(self._answer)
        self._busy = False
        self._heartbeats = 1
        self._pool = pool

    async def start(self) -> None:
        """Listen, register in the pool and start the heartbeat."""
        address = await self.server.start()
        self._pool.nodes[address] = self
        self._heartbeat()

    def write_record(self) -> None:
        """Write the endpoint record to the store."""
        record: dict[str, object] = {
            'service': self.service,
            'address': self.server.address,
            'zone': self.zone,
            'slots': 96,
            'state': 'draining' if self.is_draining else 'ready',
            'born': 1,
            'seq': self._heartbeats,
            'route_kind': self.accelerator_kind,
        }
        if self.layers:
            first, end = self.layers
            record['layers'] = {'from': first, 'to': end, 'version': 1}
        self._heartbeats += 1
        content = json.dumps(record).encode()
        self._pool.log.put('keyed.servers', self.name, content)

    def _heartbeat(self) -> None:
        """Write the endpoint record periodically until the endpoint crashes."""
        if self.is_dead:
            return
        self.write_record()
        loop = asyncio.get_running_loop()
        loop.call_later(HEARTBEAT_PERIOD_S, self._heartbeat)

    def crash(self) -> None:
        """Stop immediately, as if the process was killed."""
        self.is_dead = True
        self.server.stop()

    def start_draining(self) -> None:
        """Announce in the store that this endpoint is draining."""
        self.is_draining = True
        self.write_record()

    def holds(self, first: int, end: int) -> bool:
        """Return whether this endpoint is alive and holds these layers."""
        if self.is_dead or self.layers is None:
            return False
        return self.layers[0] <= first and end <= self.layers[1]

    async def _answer(
        self,
        req: MiniRequest,
        writer: asyncio.StreamWriter,
    ) -> MiniResponse | None:
        if req.path == '/report':
            return self._report()
        if req.path == '/order':
            return self._order(json.loads(req.body))
        expected = req.headers.get('foxtailhatch-expect-instance')
        if expected != self.name:
            return MiniResponse(MISDIRECTED)
        if not self.accelerator_kind:
            return await self._run_plain(req)
        return await self._run_chain(req, writer)

    def _is_crashing(self, req: MiniRequest) -> bool:
        has_part = bool(self._pool.crashing_parts & _parts(req))
        return has_part or req.path in self._pool.crashing_paths

    async def _run_plain(self, req: MiniRequest) -> MiniResponse | None:
        if self._is_crashing(req):
            await self._crash_on_prompt()
            return None
        request_id = req.headers['foxtailhatch-request-id']
        self._pool.runs[request_id] += 1
        body = self._pool.bodies.get(req.path, b'done')
        return MiniResponse(body=body, headers=_seal_headers(request_id))

    async def _run_chain(
        self,
        req: MiniRequest,
        writer: asyncio.StreamWriter,
    ) -> MiniResponse | None:
        request_id = req.headers['foxtailhatch-request-id']
        stages = _parse_stages(req.headers.get('foxtailhatch-hops', ''))
        unavailable = self._first_unavailable(stages)
        if unavailable is not None:
            headers = {
                'Foxtailhatch-Not-Executed': '1',
                'At-Server': unavailable,
            }
            return MiniResponse(UNAVAILABLE, headers=headers)
        if self._is_crashing(req):
            await self._crash_on_prompt()
            return None
        self._pool.runs[request_id] += 1
        limit_headers = self._record_arrival()
        last_event_id = int(req.headers.get('last-event-id', 0))
        with _ActivePath(self.paths, request_id, stages):
            writer.write(_stream_head(request_id, limit_headers))
            await self._stream(request_id, last_event_id, writer)
        return None

    def _record_arrival(self) -> dict[str, str]:
        """Record a request, and return the header that names a limit."""
        limit_per_s = self._pool.limits_per_s.get(self.name)
        if limit_per_s is None:
            return {}
        arrived_at = asyncio.get_running_loop().time()
        self._pool.arrivals.setdefault(self.name, []).append(arrived_at)
        return {'Server-Limit': str(limit_per_s)}

    async def _crash_on_prompt(self) -> None:
        """Crash after the time of a prompt, before the first event."""
        loop = asyncio.get_running_loop()
        self._pool.crashing_runs.append(loop.time())
        await asyncio.sleep(EVENT_INTERVAL_S)
        if self.is_dead:
            return
        self._pool.crashed_at.append(loop.time())
        self.crash()
        if self._pool.on_crash is not None:
            self._pool.on_crash(self)

    async def _stream(
        self,
        request_id: str,
        last_event_id: int,
        writer: asyncio.StreamWriter,
    ) -> None:
        number = last_event_id
        while number < EVENT_COUNT:
            await asyncio.sleep(EVENT_INTERVAL_S)
            if self._first_unavailable(self.paths[request_id]) is None:
                number += 1
                self._pool.check_layers(request_id, self.paths[request_id])
                writer.write(_event(request_id, number))
                await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def _first_unavailable(self, stages: list[ChainStage]) -> str | None:
        for address, first, end in stages:
            node = self._pool.nodes.get(address)
            if node is None or not node.holds(first, end):
                return address
        return None

    def _report(self) -> MiniResponse:
        stalled = [
            {'id': request_id, 'address': unavailable}
            for request_id, stages in self.paths.items()
            if (unavailable := self._first_unavailable(stages)) is not None
        ]
        document: dict[str, object] = {
            'busy': self._busy,
            'seq': self.orders,
            'stalled': stalled,
        }
        if self.layers:
            first, end = self.layers
            document['layers'] = {'from': first, 'to': end}
        return MiniResponse(body=json.dumps(document).encode())

    def _order(self, order: dict[str, object]) -> MiniResponse:
        if order['op'] == 'repath':
            return self._repath(str(order['id']), str(order['path']))
        fence = order.get('fencing_token', 0)
        if isinstance(fence, int) and fence < self.fence:
            return MiniResponse(PRECONDITION_FAILED)
        if self._busy or order.get('expected') != self.orders:
            return MiniResponse(CONFLICT)
        self.fence = fence if isinstance(fence, int) else 0
        self.orders += 1
        self._busy = True
        asyncio.get_running_loop().call_later(
            LOAD_DURATION_S,
            self._load,
            int(str(order['from'])),
            int(str(order['to'])),
        )
        return MiniResponse(ACCEPTED)

    def _load(self, first: int, end: int) -> None:
        self.layers = (first, end)
        self._busy = False
        self.write_record()

    def _repath(self, request_id: str, path: str) -> MiniResponse:
        if request_id not in self.paths:
            return MiniResponse(NOT_FOUND)
        stages = _parse_stages(path)
        unavailable = self._first_unavailable(stages)
        if unavailable is not None:
            body = json.dumps({'address': unavailable}).encode()
            return MiniResponse(CONFLICT, body)
        self.paths[request_id] = stages
        return MiniResponse()


class _ActivePath:
    """Context manager that registers the path of a running request."""

    def __init__(
        self,
        paths: dict[str, list[ChainStage]],
        request_id: str,
        stages: list[ChainStage],
    ) -> None:
        self._paths = paths
        self._request_id = request_id
        self._parse_stages = stages

    def __enter__(self) -> None:
        self._paths[self._request_id] = self._parse_stages

    def __exit__(self, *_: object) -> None:
        self._paths.pop(self._request_id, None)


def _parts(req: MiniRequest) -> set[str]:
    listed = req.headers.get('foxtailhatch-prefix-hash', '').split(',')
    return {part.partition(':')[0] for part in listed}


def _stream_head(request_id: str, extra: dict[str, str]) -> bytes:
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
    lines.append('Transfer-Encoding: chunked')
    seal_headers = (_seal_headers(request_id) | extra).items()
    lines.extend(f'{key}: {text}' for key, text in seal_headers)
    return '\r\n'.join([*lines, '', '']).encode()


def _event(request_id: str, number: int) -> bytes:
    event = b'id: %d\ndata: %s\n\n' % (number, request_id.encode())
    return b'%x\r\n%s\r\n' % (len(event), event)


def _seal_headers(request_id: str) -> dict[str, str]:
    return {
        'Foxtailhatch-Request-Id': request_id,
        'Foxtailhatch-Response-Seal': f'seal-{request_id}',
    }


def _parse_stages(text: str) -> list[ChainStage]:
    stages = []
    for entry in filter(None, text.split(',')):
        address, _, layers = entry.partition('=')
        first, _, end = layers.partition('-')
        stages.append((address, int(first), int(end)))
    return stages
