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
from collections.abc import Callable, Iterable
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
from standins.notice_watch import NoticeWatch
from standins.platform_log import PlatformLog

EVENT_INTERVAL_S = 0.02
EVENT_COUNT = 30
HEARTBEAT_PERIOD_S = 1.2
LOAD_DURATION_S = 0.2
LAYER_COUNT = 80

_CALL_PATHS = frozenset(('/report', '/order'))
_LEAVING_HEADERS = {'Server-Leaving': '1'}

ChainStage = tuple[str, int, int]


@dataclass(slots=True)
class EndpointPool:
    """All endpoints, with execution counts and detected violations.

    ``crashing_runs`` are the times, on the loop's clock, at which requests with
    a crashing part or path arrived; ``crashed_at`` are those at which endpoints crashed
    on one.  ``on_crash`` is called with the endpoint.  An endpoint in
    ``limits_per_s`` names its limit in each response, and ``arrivals`` holds
    the times at which requests reached it.  ``bodies`` are those that plain
    services answer with, by path, and ``notices`` checks what entries send to
    endpoints that leave or asked for a pause.
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
    notices: NoticeWatch = field(init=False)

    def __post_init__(self) -> None:
        """Let the watch append to the violations of this pool."""
        self.notices = NoticeWatch(self.violations)

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
    """An endpoint; an engine if it has an accelerator kind.

    One that ``is_leaving`` says so in all its answers.  Until ``paused_until`` it
    refuses requests, and asks for the rest of the time as a pause.
    """

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
        self.is_leaving = False
        self.is_dead = False
        self.paused_until = float('-inf')
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
            'version': 'v1',
            'slots': 96,
            'cold_left_ms': 0,
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
        """Announce in the store and in answers that this endpoint leaves."""
        self.is_draining = True
        self.is_leaving = True
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
        response = await self._handle(req, writer)
        if response is not None and self.is_leaving:
            response.headers |= _LEAVING_HEADERS
            # An entry that waits for a report or an order may have given it up.
            if req.path not in _CALL_PATHS:
                self._record_leaving(_entry(writer))
        return response

    async def _handle(
        self,
        req: MiniRequest,
        writer: asyncio.StreamWriter,
    ) -> MiniResponse | None:
        if req.path in _CALL_PATHS:
            now = asyncio.get_running_loop().time()
            entry = _entry(writer)
            self._pool.notices.record_call(self.name, entry, req.path, now)
        if req.path == '/report':
            return self._report()
        if req.path == '/order':
            return self._order(json.loads(req.body), _entry(writer))
        expected = req.headers.get('foxtailhatch-expect-instance')
        if expected != self.name:
            return MiniResponse(MISDIRECTED)
        if not self.accelerator_kind:
            return await self._run_plain(req, _entry(writer))
        return await self._run_chain(req, writer)

    def _is_crashing(self, req: MiniRequest) -> bool:
        has_part = bool(self._pool.crashing_parts & _parts(req))
        return has_part or req.path in self._pool.crashing_paths

    def _record_leaving(self, entry: str) -> None:
        """Record that an entry is told that this endpoint leaves."""
        now = asyncio.get_running_loop().time()
        self._pool.notices.record_leaving(self.name, entry, now)

    def _check_pause(
        self, endpoints: Iterable['StubEndpoint'], entry: str, what: str
    ) -> MiniResponse | None:
        """Record a request, and refuse it if one of its endpoints is paused."""
        now = asyncio.get_running_loop().time()
        notices = self._pool.notices
        endpoints = tuple(endpoints)
        for endpoint in endpoints:
            notices.record_request(endpoint.name, entry, what, now)
        paused = [one for one in endpoints if now < one.paused_until]
        if not paused:
            return None
        pause_s = paused[0].paused_until - now
        notices.record_pause(paused[0].name, entry, pause_s, now)
        headers = {
            'Foxtailhatch-Not-Executed': '1',
            'At-Server': paused[0].server.address,
            'Retry-After': f'{pause_s:.3f}',
        }
        return MiniResponse(UNAVAILABLE, headers=headers)

    async def _run_plain(
        self, req: MiniRequest, entry: str
    ) -> MiniResponse | None:
        request_id = req.headers['foxtailhatch-request-id']
        refusal = self._check_pause([self], entry, request_id)
        if refusal is not None:
            return refusal
        if self._is_crashing(req):
            await self._crash_on_prompt()
            return None
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
        entry = _entry(writer)
        refusal = self._check_pause(self._nodes_of(stages), entry, request_id)
        if refusal is not None:
            return refusal
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
        headers = self._record_arrival()
        if self.is_leaving:
            headers |= _LEAVING_HEADERS
            self._record_leaving(entry)
        last_event_id = int(req.headers.get('last-event-id', 0))
        with _ActivePath(self.paths, request_id, stages):
            writer.write(_stream_head(request_id, headers))
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

    def _nodes_of(self, stages: list[ChainStage]) -> list['StubEndpoint']:
        """Return the known endpoints of a chain."""
        nodes = (self._pool.nodes.get(address) for address, _, _ in stages)
        return [node for node in nodes if node is not None]

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

    def _order(self, order: dict[str, object], entry: str) -> MiniResponse:
        if order['op'] == 'repath':
            return self._repath(str(order['id']), str(order['path']), entry)
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

    def _repath(self, request_id: str, path: str, entry: str) -> MiniResponse:
        if request_id not in self.paths:
            return MiniResponse(NOT_FOUND)
        stages = _parse_stages(path)
        now = asyncio.get_running_loop().time()
        known = self._nodes_of(self.paths[request_id])
        for node in self._nodes_of(stages):
            if node not in known:
                self._pool.notices.record_request(
                    node.name, entry, f'{request_id} as a new stage', now
                )
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


def _entry(writer: asyncio.StreamWriter) -> str:
    """Return the host of the entry at the other end of a connection."""
    peer = writer.get_extra_info('peername')
    return str(peer[0]) if peer else ''


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
