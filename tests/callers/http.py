"""A front over a fake daemon on a loopback port, and a plain HTTP client."""

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
from foxtailhatch.core import Caller, ErrorCode, Refusal
from foxtailhatch.core.timeline_json import events_to_json
from foxtailhatch.outside import ServiceResponse

LIMITS = HttpLimits(body_bytes=2000, body_timeout_s=10, slow_caller_s=30)


@dataclass
class FakeAnswer:
    """Records what the front asks of a running answer."""

    asked: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def cancel(self):
        self._note('cancel')

    def pause(self):
        self._note('pause')

    def resume(self):
        self._note('resume')

    def _note(self, what):
        self.asked.append(what)
        self.changed.set()

    async def until(self, what):
        while what not in self.asked:
            self.changed.clear()
            await self.changed.wait()


class FakeGateway:
    """Takes requests; the test plays the answer through ``script``."""

    def __init__(self):
        self.generated = []
        self.calls = []
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
        self.asked_zone = availability_zone
        return self.recommendation

    def generate(self, req, sink):
        self.generated.append(req)
        self.sink = sink
        self.script(req, sink)
        return self.answer

    async def call_service(self, req):
        self.calls.append(req)
        return self.service_outcome


class FakeObservability:
    def __init__(self):
        self.ended = []
        self.broken = []
        self.timed = []
        self.events = []
        self.version = 3

    def metrics(self):
        return b'requests 1\n'

    def healthy(self):
        return True

    def ready(self):
        return False

    def timeline(self, subject):
        asked = [e for e in self.events if subject in {'', e.subject}]
        return events_to_json(asked)

    def status(self):
        return {'instance': 'entry-1', 'configuration_version': self.version}

    def record_request_outcome(self, code):
        self.ended.append(code)

    def record_answer_times(self, times):
        self.timed.append(times)

    def invariant_broken(self, exc):
        self.broken.append(exc)


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
    """A listening front, and what it stands on."""

    def __init__(self, reactor, operators):
        self.reactor = reactor
        self.clock = Clock()
        self.gateway = FakeGateway()
        self.observability = FakeObservability()
        site = build_site(
            self.gateway,
            self.observability,
            LIMITS,
            self.clock,
            operators,
        )
        self.listening = reactor.listenTCP(0, site, interface='127.0.0.1')
        self.port = self.listening.getHost().port

    def abort_connections(self):
        """Cut every connection, as a process that dies does."""
        for reader in self.reactor.getReaders():
            if isinstance(reader, Server):
                reader.abortConnection()

    async def connect(self, limit=2**16):
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def ask(self, method, path, body=b'', **headers):
        """Send one request and read the reply to its end."""
        reader, writer = await self.connect()
        writer.write(request_bytes(method, path, body, headers))
        reply = await read_reply(reader)
        writer.close()
        return reply

    async def post(self, path, document, **headers):
        body = json.dumps(document).encode()
        given = {'Authorization': 'Bearer good', **headers}
        return await self.ask('POST', path, body, **given)


def request_bytes(method, path, body=b'', headers=None):
    given = {'Connection': 'close', 'Content-Length': len(body)}
    for name, text in (headers or {}).items():
        given[name.replace('_', '-')] = text
    lines = [f'{name}: {text}\r\n' for name, text in given.items()]
    head = f'{method} {path} HTTP/1.1\r\n{"".join(lines)}\r\n'
    return head.encode() + body


async def read_reply(reader):
    """Read until the connection ends and undo the chunks."""
    head, _, body = (await reader.read(-1)).partition(b'\r\n\r\n')
    first, *lines = head.decode().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines)
    if headers.get('transfer-encoding') == 'chunked':
        body = unchunk(body)
    return Reply(int(first.split()[1]), headers, body)


def unchunk(body):
    whole = b''
    while body:
        size, _, body = body.partition(b'\r\n')
        length = int(size, 16)
        whole += body[:length]
        body = body[length + 2 :]
    return whole


def with_server(test, operators=None):
    """Run a coroutine test with a listening front on a loop of its own."""

    def run():
        loop = asyncio.new_event_loop()
        reactor = asyncioreactor.AsyncioSelectorReactor(loop)
        loop.run_until_complete(
            asyncio.wait_for(around(test, reactor, operators), 30)
        )
        loop.close()

    run.__name__ = test.__name__
    return run


async def around(test, reactor, operators):
    server = RunningServer(reactor, operators)
    try:
        await test(server)
    finally:
        server.listening.stopListening()
        for reader in reactor.getReaders():
            reactor.removeReader(reader)


def answer_with(text, reason=FinishReason.STOP, first=0):
    """Return a script that answers ``text`` at once."""

    def script(req, sink):
        for index, token in enumerate(text.encode(), first):
            sink.token(index, token)
        sink.finished(reason)

    return script
