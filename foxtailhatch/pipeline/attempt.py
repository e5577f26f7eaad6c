"""One attempt of an answer on one chain."""

from collections.abc import Container, Iterator

from foxtailhatch.core import (
    Chain,
    Invariant,
    LayerRange,
    check_invariant,
    is_partition,
)
from foxtailhatch.outside.frames import (
    Activation,
    CancelStage,
    OpenStage,
    StageOpened,
    StageOutput,
    StepStage,
)
from foxtailhatch.pipeline.actions import (
    Action,
    SendFrame,
    StageReady,
    StepAnswered,
)
from foxtailhatch.pipeline.feed import StageCache, plan_feed
from foxtailhatch.pipeline.plan import AnswerPlan
from foxtailhatch.pipeline.retained import RetainedInputs
from foxtailhatch.pipeline.stage import SentStep, StageRun

PREFILL_CHUNK_POSITIONS = 128


class Attempt:
    """Relay activations from stage to stage until a token comes out.

    ``number`` fences the attempt: the driver drops frames of any other.
    ``last_token`` and ``ended`` hold the newest token of the last stage, if
    its step ended at the sequence's last position.
    """

    def __init__(
        self,
        plan: AnswerPlan,
        chain: Chain,
        number: int,
        retained: RetainedInputs,
        now: float,
    ) -> None:
        """Prepare the attempt; nothing is sent yet."""
        ranges = [stage.layers for stage in chain.stages]
        check_invariant(
            Invariant.LAYERS_ONCE_IN_ORDER,
            is_partition(ranges, plan.layer_count),
            f'{plan.stream} attempt {number}: {ranges}',
        )
        endpoints = {stage.endpoint for stage in chain.stages}
        check_invariant(
            Invariant.LAYERS_ONCE_IN_ORDER,
            len(endpoints) == len(chain.stages),
            f'{plan.stream} attempt {number}: an endpoint stands twice',
        )
        self.chain = chain
        self.number = number
        self.stages = [
            StageRun(stage.endpoint, stage.layers, now)
            for stage in chain.stages
        ]
        self._plan = plan
        self._retained = retained
        self._fed = False

    def open(self) -> Iterator[Action]:
        """Ask every endpoint of the chain to open its stage."""
        plan = self._plan
        for stage in self.stages:
            frame = OpenStage(
                plan.stream,
                self.number,
                plan.model,
                plan.version,
                stage.layers,
                plan.adapter,
                plan.priority,
                plan.blocks,
            )
            yield SendFrame(stage.endpoint, frame)

    def cancel(self, spared: Container[str] = ()) -> Iterator[Action]:
        """Ask the chain's endpoints, but for some, to drop the stream."""
        frame = CancelStage(self._plan.stream, self.number)
        for stage in self.stages:
            if stage.endpoint not in spared:
                yield SendFrame(stage.endpoint, frame)

    def stage_at(self, endpoint: str, layers: LayerRange) -> int | None:
        """Return the index of the stage that an endpoint's frame is about."""
        for index, stage in enumerate(self.stages):
            if stage.endpoint == endpoint and stage.layers == layers:
                return index
        return None

    def fits(self, index: int, frame: StageOutput) -> bool:
        """Tell whether a stage's output answers what it was sent."""
        is_last = index + 1 == len(self.stages)
        return self.stages[index].fits(frame, is_last=is_last)

    def opened(
        self,
        index: int,
        frame: StageOpened,
        tokens: list[int],
        now: float,
    ) -> Iterator[Action]:
        """Note an open stage, and feed all once every one is open."""
        stage = self.stages[index]
        stage.opened = True
        stage.cached = max(0, frame.cached)
        stage.waiting_since = now
        yield StageReady(stage.endpoint, frame.cached)
        if not self._fed and all(each.opened for each in self.stages):
            self._fed = True
            yield from self._feed(tokens, now)

    def pump(self, tokens: list[int], now: float) -> Iterator[Action]:
        """Send the first stage every token that it has not had."""
        first = self.stages[0]
        while self._fed and first.next_in < len(tokens):
            start = first.next_in
            chunk = tuple(tokens[start : start + PREFILL_CHUNK_POSITIONS])
            first.sent(start, len(chunk), now)
            step = StepStage(
                self._plan.stream, self.number, start, tokens=chunk
            )
            yield SendFrame(first.endpoint, step)

    def output(
        self,
        index: int,
        frame: StageOutput,
        now: float,
    ) -> Iterator[Action | StageOutput]:
        """Relay a stage's output; yield the last stage's outputs as such."""
        stage = self.stages[index]
        if not stage.take(frame):
            return
        answered = stage.ready(now)
        while answered is not None:
            step, output = answered
            yield StepAnswered(
                stage.endpoint,
                len(stage.layers),
                step.count,
                now - step.sent_at,
            )
            if index + 1 == len(self.stages):
                yield self._last_output(step, output)
            else:
                yield from self._relay(index + 1, step, output, now)
            answered = stage.ready(now)

    def _feed(self, tokens: list[int], now: float) -> Iterator[Action]:
        caches = [
            StageCache(stage.layers, stage.cached) for stage in self.stages
        ]
        feeds = plan_feed(caches, self._retained, len(tokens))
        for stage, feed in zip(self.stages, feeds, strict=True):
            stage.next_in = feed.start
        yield from self.pump(tokens, now)
        for index, feed in enumerate(feeds):
            if index and feed.retained_end > feed.start:
                boundary = self._retained.at(self.stages[index].layers.first)
                kept = boundary.since(feed.start)
                count = feed.retained_end - feed.start
                yield self._step(index, feed.start, kept[:count], now)

    def _step(
        self,
        index: int,
        position: int,
        activations: tuple[Activation, ...],
        now: float,
    ) -> Action:
        stage = self.stages[index]
        stage.sent(position, len(activations), now)
        step = StepStage(
            self._plan.stream,
            self.number,
            position,
            activations=activations,
        )
        return SendFrame(stage.endpoint, step)

    def _relay(
        self,
        index: int,
        step: SentStep,
        output: StageOutput,
        now: float,
    ) -> Iterator[Action]:
        outputs = len(output.activations)
        check_invariant(
            Invariant.LAYERS_ONCE_IN_ORDER,
            outputs == step.count,
            f'step of {step.count} positions gave {outputs} outputs',
        )
        stage = self.stages[index]
        self._retained.put(
            stage.layers.first, step.position, output.activations
        )
        surplus = stage.next_in - step.position
        if surplus < step.count:
            wanted = output.activations[max(surplus, 0) :]
            position = max(stage.next_in, step.position)
            yield self._step(index, position, wanted, now)

    def _last_output(self, step: SentStep, output: StageOutput) -> StageOutput:
        # The position named outside is that of the step's last token.
        return StageOutput(
            output.stream,
            output.attempt,
            output.layers,
            step.position + step.count - 1,
            token=output.token,
            end=output.end,
        )
