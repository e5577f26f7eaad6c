"""A relay between a caller and endpoints that tests play themselves."""

from types import SimpleNamespace

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointLoads, EndpointTable
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.context import RelayContext, SelectedStage
from foxtailhatch.relay.relay import Relay
from foxtailhatch.relay.request import (
    EndpointResponse,
    RelayRequest,
    ResponseKind,
    TokenCounts,
)
from foxtailhatch.relay.retry_budget import RetryBudget
from foxtailhatch.routes import RouteKind
from tests.fleet.endpoints import endpoint
from tests.routes.configurations import PLAIN, route

ID = 'request-1'


class ListLog:
    """Keep the lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))

    def of(self, event):
        return [fields for name, fields in self.lines if name == event]


class CountingMetrics:
    """Keep the outcomes."""

    def __init__(self):
        self.outcomes = []
        self.retries = []

    def record_outcome(self, outcome, seconds):
        self.outcomes.append(outcome)

    def record_first_byte(self, seconds):
        """Nothing is asked about it."""

    def record_retry(self, cause):
        self.retries.append(cause)


class PlainWire:
    """A wire with short headers."""

    id_header = b'x-id'

    def encode(self, req, dispatch):
        resume = dispatch.resume_after
        head = f'GET {req.target} HTTP/1.1\r\nX-To: {dispatch.endpoint}\r\n'
        if resume is not None:
            head += f'X-After: {resume}\r\n'
        return f'{head}\r\n'.encode()

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
        )


class FirstChooser:
    """Choose the first endpoint that may be chosen."""

    def __init__(self, endpoints, layered=False):
        self._endpoints = endpoints
        self._layered = layered

    def select(self, choice, now):
        for one in self._endpoints.usable(choice.service.name, now):
            if one.name in choice.avoid:
                continue
            if choice.heads and one.name not in choice.heads:
                continue
            if choice.first and choice.first.endpoint != one:
                continue
            layers = LayerRange(0, 80) if self._layered else None
            return (SelectedStage(one, layers),)
        return None


class Caller:
    """What the caller has got."""

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
        """Reads as fast as anybody writes."""


class EndpointSide:
    """One connection at an endpoint."""

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

    def say(self, raw):
        self.protocol.dataReceived(raw)

    def answer(self, body=b'ok', status=200, headers='', request_id=ID):
        self.say(
            f'HTTP/1.1 {status} X\r\nX-Id: {request_id}\r\n{headers}'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body,
        )

    def stream(self, headers=''):
        self.say(
            f'HTTP/1.1 200 OK\r\nX-Id: {ID}\r\n{headers}'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode(),
        )

    def event(self, number):
        self.chunk(b'id: %d\ndata: t%d\n\n' % (number, number))

    def chunk(self, piece):
        self.say(b'%x\r\n%s\r\n' % (len(piece), piece))

    def end(self):
        self.say(b'0\r\n\r\n')

    def close(self, clean=True):
        reason = ConnectionDone() if clean else ConnectionLost()
        self.protocol.connectionLost(Failure(reason))

    def _aborted(self):
        self.is_aborted = True


def bench(
    names=('e1', 'e2'),
    kind=RouteKind.REPEATABLE,
    resumable=False,
    attempts=2,
    slack=100.0,
    timeout_s=10.0,
    layered=False,
    service=PLAIN,
    budget=None,
):
    """Return a relay that has begun, and all that is around it."""
    reactor = MemoryReactorClock()
    endpoints = EndpointTable()
    for name in names:
        endpoints.put(endpoint(name), 0)
    log = ListLog()
    metrics = CountingMetrics()
    suspects = []
    parts = RelayContext(
        reactor=reactor,
        clock=reactor.seconds,
        wire=PlainWire(),
        endpoints=endpoints,
        loads=EndpointLoads(),
        budget=budget or RetryBudget(0.2, slack, 10, started_at=-10),
        chooser=FirstChooser(endpoints, layered),
        log=log,
        metrics=metrics,
        entries=lambda: 1,
        on_suspect=lambda one, why: suspects.append((one.name, why)),
    )
    req = RelayRequest(
        request_id=ID,
        method='GET',
        target='/a/b',
        host='host.example',
        headers=(),
        body=b'',
        key=None,
        caller_timeout_s=20,
        tokens=TokenCounts(100, 50, 40),
        last_event_id=None,
    )
    the_route = route(
        kind=kind,
        attempts=attempts,
        resumable=resumable,
        timeout_s=timeout_s,
    )
    caller = Caller()
    relay = Relay(
        parts, AdmittedRequest(req, the_route, service, 'crew', 1), caller, 0
    )
    relay.begin()
    return SimpleNamespace(
        reactor=reactor,
        relay=relay,
        caller=caller,
        parts=parts,
        log=log,
        metrics=metrics,
        suspects=suspects,
        connect=lambda: EndpointSide(reactor.tcpClients.pop(0)),
        refuse=lambda: _refuse(reactor),
    )


def _refuse(reactor):
    client = reactor.tcpClients.pop(0)
    client[2].clientConnectionFailed(None, None)
