"""In-memory engines, a fixed chain source and a driver without I/O."""

from collections import deque
from dataclasses import dataclass, field
from zlib import crc32

from returns.result import Failure, Result, Success

from foxtailhatch.core import (
    Chain,
    ChainStage,
    ErrorCode,
    LayerRange,
    Refusal,
)
from foxtailhatch.outside.frames import (
    CancelStage,
    OpenStage,
    StageFault,
    StageOpened,
    StageOutput,
    StageRefused,
    StepStage,
)
from foxtailhatch.pipeline import (
    AnswerFailed,
    AnswerFinished,
    AnswerPlan,
    AnswerRun,
    ChainRequest,
    DeliverToken,
    SendFrame,
)

LAYERS = 6
PROMPT = (10, 20, 30, 40, 50)


def layer_step(layers: LayerRange, entered: str, history: list[str]) -> str:
    """Run one position through layers; the result depends on all before."""
    out = entered
    for layer in range(layers.first, layers.end):
        out = f'{crc32(repr((layer, out, history)).encode()):08x}'
    return out


def reference(prompt=PROMPT, count=8, splits=(0, 2, 4, 6)) -> list[int]:
    """Return the tokens that the layers must produce."""
    ranges = [
        LayerRange(*pair) for pair in zip(splits, splits[1:], strict=False)
    ]
    held = [[] for _ in ranges]
    tokens = list(prompt)
    position = 0
    while len(tokens) < len(prompt) + count:
        while position < len(tokens):
            value = str(tokens[position])
            for layers, history in zip(ranges, held, strict=True):
                entered = value
                value = layer_step(layers, entered, history)
                history.append(entered)
            position += 1
        tokens.append(int(value, 16) % 97)
    return tokens[len(prompt) :]


@dataclass
class FakeEngine:
    """An engine that holds its KV cache as the inputs it has seen."""

    name: str
    held: dict = field(default_factory=dict)
    attempts: dict = field(default_factory=dict)
    steps: list = field(default_factory=list)
    dead: bool = False
    frozen: bool = False
    full: bool = False

    def handle(self, frame):
        if self.dead or self.frozen:
            return []
        if isinstance(frame, OpenStage):
            return [self._open(frame)]
        if isinstance(frame, StepStage):
            return self._step(frame)
        if isinstance(frame, CancelStage):
            if self.attempts.get(frame.stream, 0) <= frame.attempt:
                self.held.pop(frame.stream, None)
        return []

    def _open(self, frame):
        if self.full:
            fault = StageFault.FULL
            return StageRefused(frame.stream, frame.attempt, fault)
        layers, inputs = self.held.get(frame.stream, (None, []))
        if layers != frame.layers:
            inputs = []
        self.held[frame.stream] = (frame.layers, inputs)
        self.attempts[frame.stream] = frame.attempt
        return StageOpened(
            frame.stream, frame.attempt, frame.layers, len(inputs)
        )

    def _step(self, frame):
        if self.attempts.get(frame.stream) != frame.attempt:
            return []
        layers, inputs = self.held[frame.stream]
        assert frame.position <= len(inputs)
        del inputs[frame.position :]
        outs = []
        for entered in frame.activations or map(str, frame.tokens):
            outs.append(layer_step(layers, entered, inputs))
            inputs.append(entered)
        self.steps.append((frame.attempt, frame.position, len(outs)))
        tail = (frame.stream, frame.attempt, layers, frame.position)
        if layers.end == LAYERS:
            return [StageOutput(*tail, token=int(outs[-1], 16) % 97)]
        return [StageOutput(*tail, tuple(outs))]


class FixedChains:
    """Choose, for each third of the layers, the first endpoint not excluded."""

    def __init__(self, *pools):
        self.pools = pools or (('a', 'd'), ('b', 'e'), ('c', 'f'))
        self.down = set()

    def find_chain(
        self, req: ChainRequest, now: float
    ) -> Result[Chain, Refusal]:
        stages = []
        barred = req.excluded | self.down
        for index, pool in enumerate(self.pools):
            free = [name for name in pool if name not in barred]
            if not free:
                return Failure(Refusal(ErrorCode.NO_CAPACITY, 'none free'))
            layers = LayerRange(index * 2, index * 2 + 2)
            stages.append(ChainStage(free[0], layers))
        return Success(Chain('m', '1', tuple(stages)))


class FixedTimeouts:
    """A patience of the same length for everything."""

    def timeout_s(self, endpoint, positions):
        return 0.2

    def may_replace(self, endpoint):
        return True


class Driver:
    """Carry frames between an answer and fake engines in virtual time."""

    def __init__(self, run: AnswerRun, names='abcdef'):
        self.run = run
        self.engines = {name: FakeEngine(name) for name in names}
        self.now = 0.0
        self.delivered = []
        self.sent = []
        self.outcome = None
        self.pending = deque()
        self.late = []

    def act(self, actions):
        for action in actions:
            if isinstance(action, SendFrame):
                self.sent.append(action)
                self.pending.append(action)
            elif isinstance(action, DeliverToken):
                assert action.index == len(self.delivered)
                self.delivered.append(action.token)
            elif isinstance(action, AnswerFinished | AnswerFailed):
                assert self.outcome is None
                self.outcome = action

    def begin(self):
        self.act(self.run.begin(self.now))

    def pump(self, until_tokens=None):
        """Carry frames until nothing moves or enough was delivered."""
        while self.pending:
            if until_tokens is not None and len(self.delivered) >= until_tokens:
                return
            action = self.pending.popleft()
            self.now += 0.001
            for reply in self.engines[action.endpoint].handle(action.frame):
                self.act(
                    self.run.handle_frame(action.endpoint, reply, self.now)
                )

    def wait(self, seconds, step=0.05):
        """Let virtual time pass, with ticks."""
        for _ in range(round(seconds / step)):
            self.now += step
            self.act(self.run.tick(self.now, FixedTimeouts()))
            self.pump()


def plan(**changes) -> AnswerPlan:
    """Return the plan of a small answer."""
    facts = dict(
        stream='s',
        model='m',
        version='1',
        layer_count=LAYERS,
        prompt=PROMPT,
        max_tokens=8,
    )
    return AnswerPlan(**{**facts, **changes})


def started(**changes) -> Driver:
    """Return a driver whose answer has begun."""
    driver = Driver(AnswerRun(plan(**changes), FixedChains()))
    driver.begin()
    return driver
