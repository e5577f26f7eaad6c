"""One attempt to run an answer on one chain of stages."""

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
    StepCompleted,
)
from foxtailhatch.pipeline.plan import AnswerPlan
from foxtailhatch.pipeline.prefill_plan import StageCache, plan_prefill
from foxtailhatch.pipeline.retained_inputs import RetainedInputs
from foxtailhatch.pipeline.stage import SentStep, StageRun

PREFILL_CHUNK_POSITIONS = 128


class Attempt:
    """Relay activations from stage to stage and yield the resulting tokens.

    ``number`` fences the attempt: frames with another attempt number are
    dropped by :class:`AnswerRun`.
    """

    def __init__(
        self,
        plan: AnswerPlan,
        chain: Chain,
        number: int,
        retained: RetainedInputs,
        now: float,
    ) -> None:
        """Check that the chain covers each layer once; nothing is sent yet."""
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
            f'{plan.stream} attempt {number}: an endpoint has two stages',
        )
        self.chain = chain
        self.number = number
        self.stages = [
            StageRun(stage.endpoint, stage.layers, now)
            for stage in chain.stages
        ]
        self._plan = plan
        self._retained = retained
        self._prefill_started = False

    def open(self) -> Iterator[Action]:
        """Request every endpoint of the chain to open its stage."""
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

    def cancel(self, kept_endpoints: Container[str] = ()) -> Iterator[Action]:
        """Cancel the stream at all endpoints except ``kept_endpoints``."""
        frame = CancelStage(self._plan.stream, self.number)
        for stage in self.stages:
            if stage.endpoint not in kept_endpoints:
                yield SendFrame(stage.endpoint, frame)

    def stage_at(self, endpoint: str, layers: LayerRange) -> int | None:
        """Return the index of an endpoint's stage, ``None`` if there is none."""
        for index, stage in enumerate(self.stages):
            if stage.endpoint == endpoint and stage.layers == layers:
                return index
        return None

    def is_valid_output(self, index: int, frame: StageOutput) -> bool:
        """Return whether a stage's output matches a step that was sent to it."""
        is_last = index + 1 == len(self.stages)
        return self.stages[index].is_valid_output(frame, is_last=is_last)

    def handle_opened(
        self,
        index: int,
        frame: StageOpened,
        tokens: list[int],
        now: float,
    ) -> Iterator[Action]:
        """Handle an open stage; start prefill once all stages are open.

        A repeated frame is no progress, and no other number of positions.
        """
        stage = self.stages[index]
        if stage.is_open:
            return
        stage.is_open = True
        stage.cached = max(0, frame.cached)
        stage.waiting_since = now
        yield StageReady(stage.endpoint, frame.cached)
        if not self._prefill_started and all(
            each.is_open for each in self.stages
        ):
            self._prefill_started = True
            yield from self._start_prefill(tokens, now)

    def send_pending_tokens(
        self, tokens: list[int], now: float
    ) -> Iterator[Action]:
        """Send the first stage the tokens that were not sent to it yet."""
        first = self.stages[0]
        while self._prefill_started and first.next_position < len(tokens):
            start = first.next_position
            chunk = tuple(tokens[start : start + PREFILL_CHUNK_POSITIONS])
            first.record_sent(start, len(chunk), now)
            step = StepStage(
                self._plan.stream, self.number, start, tokens=chunk
            )
            yield SendFrame(first.endpoint, step)

    def handle_output(
        self,
        index: int,
        frame: StageOutput,
        now: float,
    ) -> Iterator[Action | StageOutput]:
        """Relay a stage's output to the next stage, in the order of the steps.

        An output of the last stage is yielded as a :class:`StageOutput`.
        """
        stage = self.stages[index]
        if not stage.buffer_output(frame):
            return
        completed = stage.pop_ready(now)
        while completed is not None:
            step, output = completed
            yield StepCompleted(
                stage.endpoint,
                len(stage.layers),
                step.count,
                now - step.sent_at,
            )
            if index + 1 == len(self.stages):
                yield self._token_output(step, output)
            else:
                yield from self._relay(index + 1, step, output, now)
            completed = stage.pop_ready(now)

    def _start_prefill(self, tokens: list[int], now: float) -> Iterator[Action]:
        caches = [
            StageCache(stage.layers, stage.cached) for stage in self.stages
        ]
        prefills = plan_prefill(caches, self._retained, len(tokens))
        for stage, prefill in zip(self.stages, prefills, strict=True):
            stage.next_position = prefill.start
        yield from self.send_pending_tokens(tokens, now)
        for index, prefill in enumerate(prefills):
            if index and prefill.retained_end > prefill.start:
                boundary = self._retained.at(self.stages[index].layers.first)
                kept = boundary.from_position(prefill.start)
                count = prefill.retained_end - prefill.start
                yield self._send_activations(
                    index, prefill.start, kept[:count], now
                )

    def _send_activations(
        self,
        index: int,
        position: int,
        activations: tuple[Activation, ...],
        now: float,
    ) -> Action:
        stage = self.stages[index]
        stage.record_sent(position, len(activations), now)
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
            f'expected {step.count} activations for the step, got {outputs}',
        )
        stage = self.stages[index]
        self._retained.put(
            stage.layers.first, step.position, output.activations
        )
        already_sent = stage.next_position - step.position
        if already_sent < step.count:
            missing = output.activations[max(already_sent, 0) :]
            position = max(stage.next_position, step.position)
            yield self._send_activations(index, position, missing, now)

    def _token_output(self, step: SentStep, output: StageOutput) -> StageOutput:
        # The caller needs the position of the step's last token, while the
        # frame has that of its first one.
        return StageOutput(
            output.stream,
            output.attempt,
            output.layers,
            step.position + step.count - 1,
            token=output.token,
            end=output.end,
        )
