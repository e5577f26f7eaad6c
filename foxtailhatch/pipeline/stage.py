"""The steps in flight and the outputs of one stage in one attempt."""

from collections import deque
from dataclasses import dataclass, field

from foxtailhatch.callers.request_bodies import MAX_TOKEN_ID
from foxtailhatch.core import Invariant, LayerRange, check_invariant
from foxtailhatch.outside.frames import StageOutput


@dataclass(frozen=True, slots=True)
class SentStep:
    """A step in flight: its first position, its length and when it was sent."""

    position: int
    count: int
    sent_at: float


@dataclass(slots=True)
class StageRun:
    """The state of a stage in the current attempt.

    ``next_position`` is the first position not yet sent to the stage.  Outputs
    are processed in the order in which the steps were sent;
    ``buffered_outputs`` holds those that arrived out of order.
    """

    endpoint: str
    layers: LayerRange
    waiting_since: float
    is_open: bool = False
    cached: int = 0
    next_position: int = 0
    steps: deque[SentStep] = field(default_factory=deque)
    buffered_outputs: dict[int, StageOutput] = field(default_factory=dict)

    def record_sent(self, position: int, count: int, now: float) -> None:
        """Record that a step of ``count`` positions was sent to the stage."""
        check_invariant(
            Invariant.LAYERS_ONCE_IN_ORDER,
            self.is_open and position == self.next_position and count > 0,
            f'got a step at position {position} for {self.endpoint}, '
            f'expected one at {self.next_position}',
        )
        if not self.steps:
            self.waiting_since = now
        self.steps.append(SentStep(position, count, now))
        self.next_position = position + count

    def is_awaiting_frame(self) -> bool:
        """Return whether the stage is opening or has steps in flight."""
        return not self.is_open or bool(self.steps)

    def pending_positions(self) -> int:
        """Return the number of positions of the oldest step in flight."""
        return self.steps[0].count if self.steps else 0

    def is_valid_output(self, output: StageOutput, *, is_last: bool) -> bool:
        """Return whether an output matches a step in flight.

        Duplicates of outputs processed before count as valid, since delayed
        or repeated frames are not the engine's fault.
        """
        if output.position < self._next_expected():
            return True
        for step in self.steps:
            if step.position == output.position:
                if is_last:
                    return _is_token_id(output.token)
                return len(output.activations) == step.count
        return False

    def buffer_output(self, output: StageOutput) -> bool:
        """Buffer an output; return whether it is new to this attempt."""
        known = output.position in self.buffered_outputs
        if known or output.position < self._next_expected():
            return False
        self.buffered_outputs[output.position] = output
        return True

    def pop_ready(self, now: float) -> tuple[SentStep, StageOutput] | None:
        """Remove and return the oldest step with its output.

        Return ``None`` if its output has not arrived.
        """
        if (
            not self.steps
            or self.steps[0].position not in self.buffered_outputs
        ):
            return None
        step = self.steps.popleft()
        output = self.buffered_outputs.pop(step.position)
        self.waiting_since = now
        return step, output

    def _next_expected(self) -> int:
        return self.steps[0].position if self.steps else self.next_position


def _is_token_id(token: int | None) -> bool:
    return token is not None and 0 <= token <= MAX_TOKEN_ID
