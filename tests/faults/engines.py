"""Fake engines that run the toy model, and the sessions to them."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

from returns.result import Success

from foxtailhatch.core import Holding, LayerRange, LoadReport
from foxtailhatch.outside import (
    CancelStage,
    OpenStage,
    StageOutput,
    StepStage,
)
from standins.engine_batch import Batcher, ServiceTime
from standins.engine_streams import EngineStreams
from tests.faults.platform import UNREACHABLE, call_server
from tests.faults.virtual_loop import VirtualClock

MODEL = 'guidance'
VERSION = '1'
LAYERS = 6
STEP_S = 0.01
PER_TOKEN_S = 0.0005
SILENCE_TIMEOUT_S = 3.0
MIN_FRAME_GAP_S = 1e-6


class FakeEngine:
    """Engine that counts the steps it ran, as reference for the checks.

    ``opened_at`` has the time at which each stream was first sent here.
    """

    def __init__(self, sim, name, layers):
        self.name = name
        self.sim = sim
        holding = Holding(MODEL, VERSION, layers)
        self.streams = EngineStreams((holding,), {MODEL: LAYERS})
        service = ServiceTime(STEP_S, per_token_s=PER_TOKEN_S)
        self.clock = VirtualClock(sim.loop)
        self.batcher = Batcher(self.clock, service, self._run)
        self.sessions = {}
        self.connections = []
        self.step_counts = defaultdict(int)
        self.opened_at = {}
        self.dead = False
        self.report = self._make_report()
        self.is_report_frozen = False

    def receive(self, session, frame):
        """Handle a frame of a session, in the engine's own process."""
        if self.dead:
            return
        now = self.sim.loop.time()
        match frame:
            case OpenStage(stream=stream):
                self.sim.report_point('open', self.name, stream)
                session.send_to_entry(
                    self.streams.open(frame, session.name, now)
                )
            case StepStage():
                self.sessions[session.name] = session
                self.batcher.submit(frame, session.name, 0)
            case CancelStage():
                self.streams.cancel(frame)

    def load(self):
        if self.dead:
            return UNREACHABLE
        if not self.is_report_frozen:
            self.report = self._make_report()
        return Success(self.report)

    def kill(self):
        """Drop all streams, close all connections and refuse new ones."""
        self.dead = True
        self.streams.streams.clear()
        for session in self.connections:
            session.close_remotely()

    def _run(self, job):
        if self.dead:
            return
        frame = job.frame
        session = self.sessions[job.session]
        # Report the point before the step runs: a fault that freezes or
        # kills the engine here must prevent the step.
        self.sim.report_point('step', self.name, frame.stream)
        if self.dead:
            return
        output = self.streams.step(frame, self.sim.loop.time())
        if isinstance(output, StageOutput):
            self.step_counts[frame.stream] += 1
        session.send_to_entry(output)

    def _make_report(self):
        holdings = self.streams.holdings
        return LoadReport(
            self.name,
            self.sim.wall_time(),
            len(self.streams.streams),
            0,
            STEP_S,
            64,
            holdings,
        )


@dataclass
class FakeSession:
    """Session that closes after ``SILENCE_TIMEOUT_S`` without receiving.

    ``silent`` drops all frames in both directions without an error.
    ``disturbances`` has ``(delay_s, copies)`` for each of the next outputs.
    """

    sim: object
    entry: str
    engine: FakeEngine
    listener: object
    name: str
    silent: bool = False
    closed: bool = False
    last_received_at: float = 0
    disturbances: deque = field(default_factory=deque)
    last_upstream_at: float = 0
    last_downstream_at: float = 0

    def __post_init__(self):
        loop = self.sim.loop
        self.context = loop.context_of(self.entry)
        self.last_received_at = loop.time()
        self.engine.connections.append(self)
        if self.engine.dead:
            self.close_remotely('refused')
        self._call_later(SILENCE_TIMEOUT_S / 4, self._heartbeat)

    def send(self, frame):
        if self.closed or self.silent or not self._delay_s():
            return
        now = self.sim.loop.time()
        if isinstance(frame, OpenStage):
            self.engine.opened_at.setdefault(frame.stream, now)
        self.last_upstream_at = max(
            now + self._delay_s(), self.last_upstream_at + MIN_FRAME_GAP_S
        )
        context = self.sim.loop.context_of(self.engine.name)
        self.sim.loop.call_at(
            self.last_upstream_at,
            self.engine.receive,
            self,
            frame,
            context=context,
        )

    def send_to_entry(self, frame):
        if self.closed or self.silent or not self._delay_s():
            return
        now = self.sim.loop.time()
        self.last_downstream_at = max(
            now + self._delay_s(), self.last_downstream_at + MIN_FRAME_GAP_S
        )
        delay_s, copies = 0, 1
        if self.disturbances and isinstance(frame, StageOutput):
            delay_s, copies = self.disturbances.popleft()
        for _ in range(copies):
            self._call_later(
                self.last_downstream_at + delay_s - now,
                self._deliver_frame,
                frame,
            )

    def close(self):
        self.closed = True

    def close_remotely(self, reason='closed'):
        """Report the loss to the entry after the link delay."""
        if not self.silent and self._delay_s():
            self._call_later(self._delay_s(), self._notify_lost, reason)

    def _deliver_frame(self, frame):
        if not self.closed and not self.silent:
            self.last_received_at = self.sim.loop.time()
            self.listener.frame_received(self.engine.name, frame)

    def _notify_lost(self, reason):
        if not self.closed:
            self.closed = True
            self.listener.session_lost(self.engine.name, reason)

    def _heartbeat(self):
        """Send a ping; close the session if nothing was received in time."""
        loop = self.sim.loop
        if self.closed:
            return
        if loop.time() - self.last_received_at >= SILENCE_TIMEOUT_S:
            self._notify_lost('silent')
            return
        if not self.silent and self._delay_s() and not self.engine.dead:
            context = loop.context_of(self.engine.name)
            loop.call_later(self._delay_s(), self._send_pong, context=context)
        self._call_later(SILENCE_TIMEOUT_S / 4, self._heartbeat)

    def _send_pong(self):
        if self._delay_s():
            self._call_later(self._delay_s(), self._handle_pong)

    def _handle_pong(self):
        if not self.silent:
            self.last_received_at = self.sim.loop.time()

    def _call_later(self, delay_s, call, *args):
        loop = self.sim.loop
        loop.call_later(delay_s, call, *args, context=self.context)

    def _delay_s(self):
        """Return the one-way delay of the link, ``None`` while it is cut."""
        return self.sim.delay_s(self.engine.name)


@dataclass
class FakeEngineClient:
    """Engine client of one entry."""

    sim: object
    entry: str
    sessions: list = field(default_factory=list)

    def open_session(self, endpoint, listener):
        engine = self.sim.engines[endpoint.name]
        name = f'{self.entry}-{len(self.sessions)}'
        session = FakeSession(self.sim, self.entry, engine, listener, name)
        self.sessions.append(session)
        return session

    async def load_report(self, endpoint):
        engine = self.sim.engines[endpoint.name]
        return await call_server(self.sim, endpoint.name, engine.load)


def stage_layers(stage):
    """Return the layer range of one of the three stages."""
    size = LAYERS // 3
    return LayerRange(stage * size, (stage + 1) * size)
