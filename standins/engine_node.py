"""An engine as a whole: sessions, streams, batches, orders and reports."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from pydantic import TypeAdapter
from twisted.web.server import NOT_DONE_YET

from foxtailhatch.core import LoadReport
from foxtailhatch.core.loop_clock import LoopClock
from foxtailhatch.platform import (
    CancelStage,
    EngineOrder,
    OpenStage,
    Ping,
    Pong,
    StageFault,
    StageRefused,
    StepStage,
    UpFrame,
)
from standins.engine_batch import Batcher, Job, ServiceTime
from standins.engine_sessions import (
    Session,
    SessionRequest,
    Sessions,
    SessionSite,
)
from standins.engine_streams import EngineStreams, StageStream
from standins.faults import Faults
from standins.http_app import (
    CONFLICT,
    NOT_FOUND,
    Answer,
    Call,
    JsonApp,
    Reply,
    reply,
)

DEFAULT_GRACE_S: Final = 30.0
SWEEP_S: Final = 1.0
_orders: Final = TypeAdapter(EngineOrder)
_streams: Final = TypeAdapter(StageStream)


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """What an engine is started with."""

    name: str
    streams: EngineStreams
    service: ServiceTime = field(default_factory=ServiceTime)
    checks_fencing: bool = True
    grace_s: float = DEFAULT_GRACE_S
    load_lag_s: float = 0
    loading_s: float = 0


class Engine:
    """One engine of the platform."""

    def __init__(
        self,
        clock: LoopClock,
        settings: EngineSettings,
        now: Callable[[], float] = time.time,
    ) -> None:
        """Start an engine on a clock; ``now`` returns its wall time."""
        self.now = now
        self.faults = Faults()
        self.settings = settings
        self.streams = settings.streams
        self.fence = 0
        self._newest_order: EngineOrder | None = None
        self.clock = clock
        self.sessions = Sessions(clock, self.faults, self.receive)
        self.batcher = Batcher(clock, settings.service, self._run)
        self._report = self._measure()
        clock.callLater(SWEEP_S, self._sweep)

    def receive(self, session: Session, frame: UpFrame) -> None:
        """Take one frame of a session."""
        match frame:
            case StepStage():
                self._submit(session, frame)
            case OpenStage():
                self._open(session, frame)
            case CancelStage():
                self.streams.cancel(frame)
            case Ping(number):
                session.send(Pong(number))

    def answer(self, call: Call) -> Reply | None:
        """Answer a whole call."""
        match (call.method, call.path):
            case ('GET', ('load',)):
                return reply(self._newest_report())
            case ('POST', ('orders',)):
                return self._order(_orders.validate_json(call.body))
            case ('GET', ('cache-events',)):
                return reply(self.streams.prefixes.page(call.number('after')))
            case (_, ('kv', name)):
                return self._kv(call.method, name, call.body)
        return reply({'error': 'no such thing here'}, NOT_FOUND)

    def site(self, reactor: Any, answer: Answer) -> SessionSite:
        """Return the site of whole calls and of sessions."""
        app = EngineApp(answer, self.sessions)
        site: SessionSite = SessionSite.of(app, reactor)
        site.engine_sessions = self.sessions
        return site

    def _open(self, session: Session, frame: OpenStage) -> None:
        """Open a stage, unless the engine takes no new streams."""
        self.streams.leaving = self.faults.leaving
        if self.faults.full:
            session.send(
                StageRefused(frame.stream, frame.attempt, StageFault.FULL),
            )
            return
        now = self.clock.seconds()
        session.send(self.streams.open(frame, session.name, now))

    def _submit(self, session: Session, frame: StepStage) -> None:
        """Let a step wait for its batch."""
        stream = self.streams.streams.get(frame.stream)
        priority = 0 if stream is None else stream.opened.priority
        self.batcher.submit(frame, session.name, priority)

    def _run(self, job: Job) -> None:
        """Run one step and send what it gives."""
        outcome = self.streams.step(job.frame, self.clock.seconds())
        if self.sessions.is_open(job.session):
            self.sessions.session(job.session).send(outcome)

    def _order(self, order: EngineOrder) -> Reply:
        """Take on the wished holdings, unless the fence is old."""
        checked = self.settings.checks_fencing and not self.faults.ignore_fence
        if order.fence < self.fence and checked:
            return reply({'error': 'old fence', 'fence': self.fence}, CONFLICT)
        unknown = {
            holding.model
            for holding in order.holdings
            if holding.model not in self.streams.model_layers
        }
        if unknown:
            return reply({'error': f'unknown models: {unknown}'}, NOT_FOUND)
        self.fence = max(self.fence, order.fence)
        self._newest_order = order
        if self.settings.loading_s:
            held = self.streams.holdings
            self.streams.holdings = tuple(
                holding for holding in order.holdings if holding in held
            )
            self.clock.callLater(self.settings.loading_s, self._load, order)
        else:
            self.streams.holdings = order.holdings
        return reply({'fence': self.fence})

    def _load(self, order: EngineOrder) -> None:
        """Hold what an order wished, unless another one came since."""
        if order is self._newest_order:
            self.streams.holdings = order.holdings

    def _kv(self, method: str, name: str, body: bytes) -> Reply:
        """Export a stream's KV cache, or take one that was exported."""
        if method == 'PUT':
            return self._import(name, body)
        stream = self.streams.streams.get(name)
        if stream is None:
            return reply({'error': f'no stream {name}'}, NOT_FOUND)
        return reply(stream)

    def _import(self, name: str, body: bytes) -> Reply:
        """Take a stream's KV cache that another engine exported."""
        stream = _streams.validate_json(body)
        if len(stream.cache.rows) != len(stream.opened.layers):
            return reply({'error': 'rows do not fit the layers'}, CONFLICT)
        stream.used_at = self.clock.seconds()
        self.streams.streams[name] = stream
        return reply({'positions': len(stream.cache)})

    def _newest_report(self) -> LoadReport:
        """Return the report, which may be a little old."""
        age_s = self.now() - self._report.measured_at
        if age_s >= self.settings.load_lag_s:
            self._report = self._measure()
        return self._report

    def _measure(self) -> LoadReport:
        """Return the present state."""
        depth = max(1, self.batcher.depth)
        return LoadReport(
            endpoint=self.settings.name,
            measured_at=self.now(),
            streams=len(self.streams.streams),
            queued_tokens=self.batcher.queued_tokens(),
            step_seconds=self.settings.service.batch_s(depth, 0),
            max_streams=self.streams.max_streams,
            holdings=self.streams.holdings,
        )

    def _sweep(self) -> None:
        """Drop what has been silent for long: sessions, then streams."""
        oldest = self.clock.seconds() - self.settings.grace_s
        self.sessions.close_silent(oldest)
        for name, stream in tuple(self.streams.streams.items()):
            gone = not self.sessions.is_open(stream.session)
            if gone and stream.used_at < oldest:
                self.streams.streams.pop(name)
        self.clock.callLater(SWEEP_S, self._sweep)


class EngineApp(JsonApp):
    """The engine's calls, and the streams of its sessions."""

    def __init__(self, answer: Answer, sessions: Sessions) -> None:
        """Take the function for whole calls and the sessions."""
        super().__init__(answer)
        self.sessions = sessions

    def render(self, req: Any) -> bytes | int:
        """Answer a whole call, or begin or end a stream."""
        match req.path.decode().strip('/').split('/'):
            case ['sessions', name, 'down'] if req.method == b'GET':
                session = self.sessions.session(name)
                req.notifyFinish().addErrback(lambda _: session.close())
                session.open_down(req)
                return NOT_DONE_YET
            case ['sessions', _, 'up']:
                return _end_up(req)
        return super().render(req)


def _end_up(req: SessionRequest) -> bytes:
    """Close the session of an up stream that ended."""
    if req.up_session is not None:
        req.up_session.close()
    return b'{}'
