"""Engine stand-in: sessions, streams, batches, orders and load reports."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from foxtailhatch.core import LoadReport
from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.outside import (
    CancelStage,
    OpenStage,
    Ping,
    Pong,
    StageFault,
    StageRefused,
    StepStage,
    UpFrame,
)
from standins.engine_app import EngineApp
from standins.engine_batch import Batcher, Job, ServiceTime
from standins.engine_calls import answer_stream_call
from standins.engine_orders import OrderHandler
from standins.engine_sessions import Session, SessionRegistry, SessionSite
from standins.engine_streams import EngineStreams
from standins.faults import Faults
from standins.http_app import Call, CallHandler, Reply, reply

DEFAULT_GRACE_S: Final = 30.0
EXPIRY_PERIOD_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Settings of an engine stand-in; durations are in seconds."""

    name: str
    streams: EngineStreams
    service: ServiceTime = field(default_factory=ServiceTime)
    checks_fencing: bool = True
    grace_s: float = DEFAULT_GRACE_S
    load_lag_s: float = 0
    loading_s: float = 0


class Engine:
    """Stand-in for one engine of the platform."""

    def __init__(
        self,
        clock: ReactorClock,
        settings: EngineSettings,
        now: Callable[[], float] = time.time,
    ) -> None:
        """Create an engine on a clock; ``now`` returns the wall-clock time."""
        self.now = now
        self.faults = Faults()
        self.settings = settings
        self.streams = settings.streams
        self.orders = OrderHandler(
            clock,
            settings.streams,
            self.faults,
            settings.checks_fencing,
            settings.loading_s,
        )
        self.clock = clock
        self.sessions = SessionRegistry(clock, self.faults, self.receive)
        self.batcher = Batcher(clock, settings.service, self._run)
        self._report = self._measure_load()
        clock.callLater(EXPIRY_PERIOD_S, self._expire_inactive)

    def receive(self, session: Session, frame: UpFrame) -> None:
        """Process one frame received on a session."""
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
        """Return the response to a single call."""
        match (call.method, call.path):
            case ('GET', ('load',)):
                return reply(self._current_report())
            case ('POST', ('orders',)):
                return self.orders.apply(call.body)
            case ('GET', ('cache-events',)):
                return reply(
                    self.streams.prefix_cache.events_after(call.number('after'))
                )
            case _:
                return answer_stream_call(
                    self.streams,
                    call,
                    self.clock.seconds(),
                )

    def site(self, reactor: Any, answer: CallHandler) -> SessionSite:
        """Return the site for single calls and sessions."""
        app = EngineApp(answer, self.sessions)
        site: SessionSite = SessionSite.create(app, reactor)
        site.engine_sessions = self.sessions
        return site

    def _open(self, session: Session, frame: OpenStage) -> None:
        """Open a stage, unless the ``full`` fault refuses it."""
        self.streams.leaving = self.faults.leaving
        if self.faults.full:
            session.send(
                StageRefused(frame.stream, frame.attempt, StageFault.FULL),
            )
            return
        now = self.clock.seconds()
        session.send(self.streams.open(frame, session.name, now))

    def _submit(self, session: Session, frame: StepStage) -> None:
        """Queue a step with the priority of its stream."""
        stream = self.streams.streams.get(frame.stream)
        priority = 0 if stream is None else stream.opened.priority
        self.batcher.submit(frame, session.name, priority)

    def _run(self, job: Job) -> None:
        """Run one step and send its output."""
        outcome = self.streams.step(job.frame, self.clock.seconds())
        if self.sessions.is_open(job.session):
            self.sessions.session(job.session).send(outcome)

    def _current_report(self) -> LoadReport:
        """Return the load report, renewed once it is ``load_lag_s`` old."""
        age_s = self.now() - self._report.measured_at
        if age_s >= self.settings.load_lag_s:
            self._report = self._measure_load()
        return self._report

    def _measure_load(self) -> LoadReport:
        """Return a new load report."""
        batch_size = max(1, self.batcher.batch_size)
        return LoadReport(
            endpoint=self.settings.name,
            measured_at=self.now(),
            streams=len(self.streams.streams),
            queued_tokens=self.batcher.queued_tokens(),
            step_seconds=self.settings.service.batch_duration_s(batch_size, 0),
            max_streams=self.streams.max_streams,
            holdings=self.streams.holdings,
        )

    def _expire_inactive(self) -> None:
        """Close inactive sessions, then drop inactive detached streams."""
        oldest = self.clock.seconds() - self.settings.grace_s
        self.sessions.close_inactive(oldest)
        for name, stream in tuple(self.streams.streams.items()):
            is_detached = not self.sessions.is_open(stream.session)
            if is_detached and stream.used_at < oldest:
                self.streams.streams.pop(name)
        self.clock.callLater(EXPIRY_PERIOD_S, self._expire_inactive)
