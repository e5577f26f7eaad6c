"""Engines on the toy model, and the sessions that entries have with them."""

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
from tests.faults.loop import VirtualClock
from tests.faults.platform import UNREACHABLE, exchange

MODEL = 'guidance'
VERSION = '1'
LAYERS = 6
STEP_S = 0.01
POSITION_S = 0.0005
SILENT_S = 3.0
TIE_S = 1e-6


class FakeEngine:
    """One engine; what it ran is the truth of what happened.

    ``opened`` has the moment at which each stream was first sent here.
    """

    def __init__(self, world, name, layers):
        self.name = name
        self.world = world
        holding = Holding(MODEL, VERSION, layers)
        self.streams = EngineStreams((holding,), {MODEL: LAYERS})
        service = ServiceTime(STEP_S, per_token_s=POSITION_S)
        self.clock = VirtualClock(world.loop)
        self.batcher = Batcher(self.clock, service, self._run)
        self.sessions = {}
        self.links = []
        self.ran = defaultdict(int)
        self.opened = {}
        self.dead = False
        self.report = self._measure()
        self.report_is_old = False

    def receive(self, session, frame):
        """Take a frame of a session, in the engine's own process."""
        if self.dead:
            return
        now = self.world.loop.time()
        match frame:
            case OpenStage(stream=stream):
                self.world.reached('open', self.name, stream)
                session.send_down(self.streams.open(frame, session.name, now))
            case StepStage():
                self.sessions[session.name] = session
                self.batcher.submit(frame, session.name, 0)
            case CancelStage():
                self.streams.cancel(frame)

    def load(self):
        if self.dead:
            return UNREACHABLE
        if not self.report_is_old:
            self.report = self._measure()
        return Success(self.report)

    def die(self):
        """Lose all that is held; connections end and new ones fail."""
        self.dead = True
        self.streams.streams.clear()
        for session in self.links:
            session.break_off()

    def _run(self, job):
        if self.dead:
            return
        frame = job.frame
        session = self.sessions[job.session]
        # What a frozen or dying engine was given has not run yet.
        self.world.reached('step', self.name, frame.stream)
        if self.dead:
            return
        output = self.streams.step(frame, self.world.loop.time())
        if isinstance(output, StageOutput):
            self.ran[frame.stream] += 1
        session.send_down(output)

    def _measure(self):
        holdings = self.streams.holdings
        return LoadReport(
            self.name,
            self.world.wall(),
            len(self.streams.streams),
            0,
            STEP_S,
            64,
            holdings,
        )


@dataclass
class FakeSession:
    """A session that loses itself when nothing is heard for long.

    ``silent`` drops all frames of both directions and tells nobody;
    ``disturb`` holds for each of the next outputs how its way goes.
    """

    world: object
    entry: str
    engine: FakeEngine
    listener: object
    name: str
    silent: bool = False
    closed: bool = False
    heard_at: float = 0
    disturb: deque = field(default_factory=deque)
    up_at: float = 0
    down_at: float = 0

    def __post_init__(self):
        loop = self.world.loop
        self.context = loop.context_of(self.entry)
        self.heard_at = loop.time()
        self.engine.links.append(self)
        if self.engine.dead:
            self.break_off('refused')
        self._later(SILENT_S / 4, self._beat)

    def send(self, frame):
        if self.closed or self.silent or not self._delay_s():
            return
        now = self.world.loop.time()
        if isinstance(frame, OpenStage):
            self.engine.opened.setdefault(frame.stream, now)
        self.up_at = max(now + self._delay_s(), self.up_at + TIE_S)
        context = self.world.loop.context_of(self.engine.name)
        self.world.loop.call_at(
            self.up_at, self.engine.receive, self, frame, context=context
        )

    def send_down(self, frame):
        if self.closed or self.silent or not self._delay_s():
            return
        now = self.world.loop.time()
        self.down_at = max(now + self._delay_s(), self.down_at + TIE_S)
        late_s, copies = 0, 1
        if self.disturb and isinstance(frame, StageOutput):
            late_s, copies = self.disturb.popleft()
        for _ in range(copies):
            self._later(self.down_at + late_s - now, self._hear, frame)

    def close(self):
        self.closed = True

    def break_off(self, reason='closed'):
        """Let the entry learn soon that the connection ended."""
        if not self.silent and self._delay_s():
            self._later(self._delay_s(), self._lost, reason)

    def _hear(self, frame):
        if not self.closed and not self.silent:
            self.heard_at = self.world.loop.time()
            self.listener.frame_received(self.engine.name, frame)

    def _lost(self, reason):
        if not self.closed:
            self.closed = True
            self.listener.session_lost(self.engine.name, reason)

    def _beat(self):
        """Ask for a sign of life, and lose the session without one."""
        loop = self.world.loop
        if self.closed:
            return
        if loop.time() - self.heard_at >= SILENT_S:
            self._lost('silent')
            return
        if not self.silent and self._delay_s() and not self.engine.dead:
            context = loop.context_of(self.engine.name)
            loop.call_later(self._delay_s(), self._pong, context=context)
        self._later(SILENT_S / 4, self._beat)

    def _pong(self):
        if self._delay_s():
            self._later(self._delay_s(), self._heard)

    def _heard(self):
        if not self.silent:
            self.heard_at = self.world.loop.time()

    def _later(self, delay_s, call, *args):
        loop = self.world.loop
        loop.call_later(delay_s, call, *args, context=self.context)

    def _delay_s(self):
        """Return the link's one-way delay, ``None`` while it is cut."""
        return self.world.delay_s(self.engine.name)


@dataclass
class Engines:
    """The engines as one entry reaches them."""

    world: object
    entry: str
    sessions: list = field(default_factory=list)

    def open_session(self, endpoint, listener):
        engine = self.world.engines[endpoint.name]
        name = f'{self.entry}-{len(self.sessions)}'
        session = FakeSession(self.world, self.entry, engine, listener, name)
        self.sessions.append(session)
        return session

    async def load_report(self, endpoint):
        engine = self.world.engines[endpoint.name]
        return await exchange(self.world, endpoint.name, engine.load)


def stage_layers(stage):
    """Return the layers of one of the three stages."""
    size = LAYERS // 3
    return LayerRange(stage * size, (stage + 1) * size)
