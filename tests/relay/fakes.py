"""A relay with a fake caller and fake endpoints."""

from dataclasses import replace
from types import SimpleNamespace

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointLoads, EndpointTable, RateLimits
from foxtailhatch.fleet.pauses import EndpointNotice
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.context import RelayContext, SelectedStage
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.request import (
    EndpointIdentity,
    EndpointResponse,
    RelayRequest,
    ResponseKind,
    TokenCounts,
)
from foxtailhatch.relay.retry_budget import RetryBudget
from foxtailhatch.routes import RouteKind
from tests.fleet.endpoints import endpoint
from tests.routes.configurations import PLAIN, route

REQUEST_ID = 'request-1'


class ListLog:
    """A log that records its lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))

    def of(self, event):
        return [fields for name, fields in self.lines if name == event]


class CountingMetrics:
    """Metrics that record outcomes and retries."""

    def __init__(self):
        self.outcomes = []
        self.retries = []
        self.failed_attempts = []
        self.undelivered = []
        self.notices = []
        self.hedges = []

    def record_outcome(self, outcome, seconds):
        self.outcomes.append(outcome)

    def record_first_byte(self, seconds):
        """Ignore the time to the first byte."""

    def record_retry(self, cause):
        self.retries.append(cause)

    def record_undelivered(self, cause):
        self.undelivered.append(cause)

    def record_failed_attempt(self, kind, *, has_begun):
        self.failed_attempts.append((kind, has_begun))

    def record_notice(self, kind):
        self.notices.append(kind)

    def record_hedge(self, outcome):
        self.hedges.append(outcome)


class RecordingPrompts:
    """A watch for harmful prompts that records what it is told."""

    def __init__(self):
        self.blocked = set()
        self.sound = set()
        self.waiting = set()
        self.begun = []
        self.ran = []
        self.lost = []
        self.lost_requests = []
        self.ended = []

    def record_begun(self, req, now):
        self.begun.append(req.shared_parts)

    def record_lost(self, chosen, req, now):
        self.lost.append((chosen[0].endpoint.name, req.shared_parts))

    def record_sound(self, req, now):
        self.ran.append(req.fingerprint)

    def record_request_lost(self, head, req, now):
        self.lost_requests.append((head.name, req.fingerprint))

    def may_repeat(self, req, now):
        return req.fingerprint not in self.waiting

    def end_turn(self, req):
        self.ended.append(req.fingerprint)

    def is_cleared(self, req):
        return self.sound.issuperset(req.shared_parts)

    def is_blocked(self, req):
        return bool(self.blocked & set(req.suspects))


class PlainCodec:
    """A codec with short header names."""

    id_header = b'x-id'
    event_field = b'x-versions'

    def encode(self, req, dispatch):
        resume = dispatch.resume_after
        head = f'GET {req.target} HTTP/1.1\r\nX-To: {dispatch.endpoint}\r\n'
        if resume is not None:
            head += f'X-After: {resume}\r\n'
        return f'{head}\r\n'.encode()

    def leaving_header(self, endpoint):
        return b'x-who', f'{endpoint.name}/{endpoint.incarnation}'.encode()

    def decode_forwarded_head(self, head, req):
        response = self.decode_head(head, req)
        name, _, born = (head.get(b'x-who') or b'').decode().partition('/')
        if name:
            leaving = EndpointIdentity(name, int(born))
            response = replace(response, leaving=leaving)
        if head.status == 503:
            return replace(response, kind=ResponseKind.NOT_RUN)
        return response

    def decode_head(self, head, req):
        if head.get(b'x-not-run'):
            kind = ResponseKind.NOT_RUN
        elif head.status >= 400:
            kind = ResponseKind.FAILURE
        else:
            kind = ResponseKind.SUCCESS
        faulty = head.get(b'x-at')
        return EndpointResponse(
            kind,
            head.status,
            head.headers,
            faulty.decode() if faulty else None,
            head.get(b'content-type') == b'text/event-stream',
            float(head.get(b'x-limit') or 0) or None,
            EndpointNotice(
                head.get(b'x-leaving') == b'1',
                float(head.get(b'x-pause') or 0) or None,
            ),
        )


class FirstEndpointSelector:
    """Select the first usable endpoint that meets the constraints."""

    def __init__(self, endpoints, layered=False):
        self._endpoints = endpoints
        self._is_layered = layered

    def select(self, selection, now):
        for one in self._endpoints.usable(selection.service.name, now):
            if one.name in selection.exclude:
                continue
            if selection.heads and one.name not in selection.heads:
                continue
            if selection.first and selection.first.endpoint != one:
                continue
            layers = LayerRange(0, 80) if self._is_layered else None
            return (SelectedStage(one, layers),)
        return None


class FakeCaller:
    """A caller's connection that records the response."""

    def __init__(self):
        self.status = None
        self.headers = ()
        self.body = b''
        self.finished = False
        self.aborted = False

    def start(self, status, headers):
        assert self.status is None
        self.status = status
        self.headers = dict(headers)

    def write(self, piece):
        self.body += piece

    def finish(self):
        assert not self.aborted
        self.finished = True

    def abort(self):
        assert not self.finished
        self.aborted = True

    def set_backpressure_source(self, transport):
        """Apply no backpressure."""


class FakeEndpointConnection:
    """The endpoint's side of one connection."""

    def __init__(self, client):
        factory = client[2]
        self.transport = StringTransport()
        self.transport.setTcpNoDelay = lambda _: None
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)
        self.transport.abortConnection = self._aborted
        self.is_aborted = False

    @property
    def request(self):
        return self.transport.value()

    def send_bytes(self, raw):
        self.protocol.dataReceived(raw)

    def respond(
        self, body=b'ok', status=200, headers='', request_id=REQUEST_ID
    ):
        self.send_bytes(
            f'HTTP/1.1 {status} X\r\nX-Id: {request_id}\r\n{headers}'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body,
        )

    def start_stream(self, headers=''):
        self.send_bytes(
            f'HTTP/1.1 200 OK\r\nX-Id: {REQUEST_ID}\r\n{headers}'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode(),
        )

    def send_event(self, number):
        self.send_chunk(b'id: %d\ndata: t%d\n\n' % (number, number))

    def send_chunk(self, piece):
        self.send_bytes(b'%x\r\n%s\r\n' % (len(piece), piece))

    def end_stream(self):
        self.send_bytes(b'0\r\n\r\n')

    def close(self, clean=True):
        reason = ConnectionDone() if clean else ConnectionLost()
        self.protocol.connectionLost(Failure(reason))

    def _aborted(self):
        self.is_aborted = True


def start_relay(
    names=('e1', 'e2'),
    kind=RouteKind.REPEATABLE,
    resumable=False,
    attempts=2,
    slack=100.0,
    timeout_s=10.0,
    layered=False,
    service=PLAIN,
    budget=None,
    parts=(),
    fingerprint='',
    is_forwarded=False,
    prepare=None,
    fill_limit=None,
):
    """Return a started relay with its dependencies, caller and endpoints."""
    reactor = MemoryReactorClock()
    endpoints = EndpointTable()
    for name in names:
        endpoints.put(endpoint(name), 0)
    log = ListLog()
    metrics = CountingMetrics()
    suspects = []
    context = RelayContext(
        reactor=reactor,
        clock=reactor.seconds,
        codec=PlainCodec(),
        endpoints=endpoints,
        loads=EndpointLoads(),
        rate_limits=RateLimits(),
        budget=budget or RetryBudget(0.2, slack, 10, started_at=-10),
        selector=FirstEndpointSelector(endpoints, layered),
        log=log,
        metrics=metrics,
        prompts=RecordingPrompts(),
        entries=lambda: 1,
        on_suspect=lambda one, why: suspects.append((one.name, why)),
    )
    if prepare is not None:
        prepare(context)
    req = RelayRequest(
        request_id=REQUEST_ID,
        method='GET',
        target='/a/b',
        host='host.example',
        headers=(),
        body=b'',
        key=None,
        caller_timeout_s=20,
        tokens=TokenCounts(100, 50, 40),
        last_event_id=None,
        prompt_parts=parts,
        fingerprint=fingerprint,
        is_forwarded=is_forwarded,
    )
    relay_route = route(
        kind=kind,
        attempts=attempts,
        resumable=resumable,
        timeout_s=timeout_s,
    )
    caller = FakeCaller()
    relay = Relay(
        context,
        AdmittedRequest(
            req, relay_route, service, 'crew', 1, fill_limit=fill_limit
        ),
        caller,
        0,
    )
    relay.begin()
    return SimpleNamespace(
        reactor=reactor,
        relay=relay,
        caller=caller,
        context=context,
        log=log,
        metrics=metrics,
        suspects=suspects,
        accept_connection=lambda: FakeEndpointConnection(
            reactor.tcpClients.pop(0)
        ),
        refuse_connection=lambda: _refuse(reactor),
    )


def _refuse(reactor):
    client = reactor.tcpClients.pop(0)
    client[2].clientConnectionFailed(None, None)
