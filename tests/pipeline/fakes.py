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


def layer_step(layers: LayerRange, activation: str, history: list[str]) -> str:
    """Return the output of layers for one position, given the earlier inputs."""
    out = activation
    for layer in range(layers.first, layers.end):
        out = f'{crc32(repr((layer, out, history)).encode()):08x}'
    return out


def expected_tokens(prompt=PROMPT, count=8, splits=(0, 2, 4, 6)) -> list[int]:
    """Return the tokens that the layers produce, computed without a pipeline."""
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
                activation = value
                value = layer_step(layers, activation, history)
                history.append(activation)
            position += 1
        tokens.append(int(value, 16) % 97)
    return tokens[len(prompt) :]


@dataclass
class FakeEngine:
    """An engine whose KV cache is the list of the inputs that it received."""

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
        outputs = []
        for activation in frame.activations or map(str, frame.tokens):
            outputs.append(layer_step(layers, activation, inputs))
            inputs.append(activation)
        self.steps.append((frame.attempt, frame.position, len(outputs)))
        tail = (frame.stream, frame.attempt, layers, frame.position)
        if layers.end == LAYERS:
            return [StageOutput(*tail, token=int(outputs[-1], 16) % 97)]
        return [StageOutput(*tail, tuple(outputs))]


class FixedChains:
    """Select the first endpoint not excluded for each third of the layers."""

    def __init__(self, *pools):
        self.pools = pools or (('a', 'd'), ('b', 'e'), ('c', 'f'))
        self.down = set()

    def find_chain(
        self, req: ChainRequest, now: float
    ) -> Result[Chain, Refusal]:
        stages = []
        unavailable = req.excluded | self.down
        for index, pool in enumerate(self.pools):
            available = [name for name in pool if name not in unavailable]
            if not available:
                return Failure(Refusal(ErrorCode.NO_CAPACITY, 'none free'))
            layers = LayerRange(index * 2, index * 2 + 2)
            stages.append(ChainStage(available[0], layers))
        return Success(Chain('m', '1', tuple(stages)))


class FixedTimeouts:
    """A stall policy with one timeout for all steps and no budget."""

    def timeout_s(self, endpoint, positions):
        return 0.2

    def may_replace(self, endpoint):
        return True


class Driver:
    """Deliver frames between an answer and fake engines in virtual time."""

    def __init__(self, run: AnswerRun, names='abcdef'):
        self.run = run
        self.engines = {name: FakeEngine(name) for name in names}
        self.now = 0.0
        self.delivered = []
        self.sent = []
        self.outcome = None
        self.pending = deque()
        self.late = []

    def perform(self, actions):
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
        self.perform(self.run.begin(self.now))

    def pump(self, until_tokens=None):
        """Deliver frames until none is pending or enough tokens have arrived."""
        while self.pending:
            if until_tokens is not None and len(self.delivered) >= until_tokens:
                return
            action = self.pending.popleft()
            self.now += 0.001
            for reply in self.engines[action.endpoint].handle(action.frame):
                self.perform(
                    self.run.handle_frame(action.endpoint, reply, self.now)
                )

    def wait(self, seconds, step=0.05):
        """Advance the virtual time, with a tick every ``step`` seconds."""
        for _ in range(round(seconds / step)):
            self.now += step
            self.perform(self.run.tick(self.now, FixedTimeouts()))
            self.pump()


def plan(**changes) -> AnswerPlan:
    """Return the plan of a short answer, with changed fields."""
    fields = dict(
        stream='s',
        model='m',
        version='1',
        layer_count=LAYERS,
        prompt=PROMPT,
        max_tokens=8,
    )
    return AnswerPlan(**{**fields, **changes})


def started_driver(**changes) -> Driver:
    """Return a driver whose answer has opened its first chain."""
    driver = Driver(AnswerRun(plan(**changes), FixedChains()))
    driver.begin()
    return driver
