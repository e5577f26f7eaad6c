"""HTTP API of a fake daemon on a loopback port, and a minimal client."""

import asyncio
import json
from dataclasses import dataclass, field

from returns.result import Failure, Success
from twisted.internet import asyncioreactor
from twisted.internet.task import Clock
from twisted.internet.tcp import Server

from foxtailhatch.callers import (
    EntryRecommendation,
    FinishReason,
    HttpLimits,
    ReachableModel,
    build_site,
)
from foxtailhatch.callers.connections import CallerConnections
from foxtailhatch.core import Caller, ErrorCode, Refusal
from foxtailhatch.core.timeline_json import events_to_json
from foxtailhatch.outside import ServiceResponse

LIMITS = HttpLimits(body_bytes=2000, body_timeout_s=10, slow_caller_s=30)


@dataclass
class FakeAnswer:
    """Records the calls of the API to a running answer."""

    calls: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def cancel(self):
        self._record('cancel')

    def pause(self):
        self._record('pause')

    def resume(self):
        self._record('resume')

    def _record(self, call):
        self.calls.append(call)
        self.changed.set()

    async def wait_for(self, call):
        while call not in self.calls:
            self.changed.clear()
            await self.changed.wait()


class FakeGateway:
    """Records requests; ``script`` writes the answer to the sink."""

    def __init__(self):
        self.requests = []
        self.service_calls = []
        self.recommendation = EntryRecommendation(('10.0.0.1:80',), 30)
        self.answer = FakeAnswer()
        self.script = lambda req, sink: None
        self.service_outcome = Success(
            ServiceResponse(201, b'ok', 'text/plain')
        )

    def authenticate(self, token):
        if token == 'good':
            return Success(Caller('crew', 'festoon'))
        return Failure(Refusal(ErrorCode.BAD_TOKEN, 'Unknown token.'))

    def models(self, caller):
        return [ReachableModel('guide', '7')]

    def recommend_entries(self, availability_zone):
        self.requested_zone = availability_zone
        return self.recommendation

    def generate(self, req, sink):
        self.requests.append(req)
        self.sink = sink
        self.script(req, sink)
        return self.answer

    async def call_service(self, req):
        self.service_calls.append(req)
        return self.service_outcome


class FakeObservability:
    def __init__(self):
        self.outcomes = []
        self.violations = []
        self.answer_times = []
        self.events = []
        self.version = 3

    def metrics(self):
        return b'requests 1\n'

    def healthy(self):
        return True

    def ready(self):
        return False

    def timeline(self, subject):
        selected = [e for e in self.events if subject in {'', e.subject}]
        return events_to_json(selected)

    def status(self):
        return {'instance': 'entry-1', 'configuration_version': self.version}

    def record_request_outcome(self, code):
        self.outcomes.append(code)

    def record_answer_times(self, times):
        self.answer_times.append(times)

    def invariant_broken(self, exc):
        self.violations.append(exc)


@dataclass
class Reply:
    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)

    def error(self):
        return self.json()['error']


class RunningServer:
    """A listening server, with its fake daemon and clock."""

    def __init__(self, reactor, operators):
        self.reactor = reactor
        self.clock = Clock()
        self.gateway = FakeGateway()
        self.observability = FakeObservability()
        self.delivered = []
        self.cut = []
        self.connections = CallerConnections(self)
        site = build_site(
            self.gateway,
            self.observability,
            LIMITS,
            self.clock,
            self.connections,
            operators,
        )
        self.listening = reactor.listenTCP(0, site, interface='127.0.0.1')
        self.port = self.listening.getHost().port

    def record_delivered(self, request_id):
        self.delivered.append(request_id)

    def record_cut(self, subject, reason, cause):
        self.cut.append((subject, reason, cause))

    def abort_connections(self):
        """Reset every connection, as the end of the process does."""
        for reader in self.reactor.getReaders():
            if isinstance(reader, Server):
                reader.abortConnection()

    async def connect(self, limit=2**16):
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def request(self, method, path, body=b'', **headers):
        """Send one request and read the complete response."""
        reader, writer = await self.connect()
        writer.write(request_bytes(method, path, body, headers))
        reply = await read_reply(reader)
        writer.close()
        return reply

    async def post(self, path, document, **headers):
        body = json.dumps(document).encode()
        all_headers = {'Authorization': 'Bearer good', **headers}
        return await self.request('POST', path, body, **all_headers)


def request_bytes(method, path, body=b'', headers=None):
    all_headers = {'Connection': 'close', 'Content-Length': len(body)}
    for name, text in (headers or {}).items():
        all_headers[name.replace('_', '-')] = text
    lines = [f'{name}: {text}\r\n' for name, text in all_headers.items()]
    head = f'{method} {path} HTTP/1.1\r\n{"".join(lines)}\r\n'
    return head.encode() + body


async def read_reply(reader):
    """Read until the connection ends, and decode a chunked body."""
    head, _, body = (await reader.read(-1)).partition(b'\r\n\r\n')
    first, *lines = head.decode().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines)
    if headers.get('transfer-encoding') == 'chunked':
        body = decode_chunks(body)
    return Reply(int(first.split()[1]), headers, body)


def decode_chunks(body):
    decoded = b''
    while body:
        size, _, body = body.partition(b'\r\n')
        length = int(size, 16)
        decoded += body[:length]
        body = body[length + 2 :]
    return decoded


def with_server(test, operators=None):
    """Run a coroutine test with a listening server on a new event loop."""

    def run():
        loop = asyncio.new_event_loop()
        reactor = asyncioreactor.AsyncioSelectorReactor(loop)
        loop.run_until_complete(
            asyncio.wait_for(run_test(test, reactor, operators), 30)
        )
        loop.close()

    run.__name__ = test.__name__
    return run


async def run_test(test, reactor, operators):
    server = RunningServer(reactor, operators)
    try:
        await test(server)
    finally:
        server.listening.stopListening()
        for reader in reactor.getReaders():
            reactor.removeReader(reader)


def answer_with(text, reason=FinishReason.STOP, first=0):
    """Return a script that sends the answer ``text`` at once."""

    def script(req, sink):
        for index, token in enumerate(text.encode(), first):
            sink.token(index, token)
        sink.finished(reason)

    return script
