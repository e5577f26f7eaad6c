"""One stage of one attempt: what was sent to it and what it gave back."""

from collections import deque
from dataclasses import dataclass, field

from foxtailhatch.core import Invariant, LayerRange, check_invariant
from foxtailhatch.outside.frames import StageOutput


@dataclass(frozen=True, slots=True)
class SentStep:
    """A step in flight: its first position, its length and when it left."""

    position: int
    count: int
    sent_at: float


@dataclass(slots=True)
class StageRun:
    """The state of a stage in the present attempt.

    ``next_in`` is the first position not yet sent to the stage.  Steps are
    answered in the order they were sent; ``early`` holds outputs that came
    before their turn.
    """

    endpoint: str
    layers: LayerRange
    waiting_since: float
    opened: bool = False
    cached: int = 0
    next_in: int = 0
    steps: deque[SentStep] = field(default_factory=deque)
    early: dict[int, StageOutput] = field(default_factory=dict)

    def sent(self, position: int, count: int, now: float) -> None:
        """Note that positions from ``position`` on left for the stage."""
        check_invariant(
            Invariant.LAYERS_ONCE_IN_ORDER,
            self.opened and position == self.next_in and count > 0,
            f'step at {position}, stage {self.endpoint} is at {self.next_in}',
        )
        if not self.steps:
            self.waiting_since = now
        self.steps.append(SentStep(position, count, now))
        self.next_in = position + count

    def waiting(self) -> bool:
        """Tell whether the stage owes a frame."""
        return not self.opened or bool(self.steps)

    def owed_positions(self) -> int:
        """Return how many positions the oldest step in flight has."""
        return self.steps[0].count if self.steps else 0

    def fits(self, output: StageOutput, *, is_last: bool) -> bool:
        """Tell whether an output answers a step as its engine must.

        One of a step that was answered before is no fault of the engine's.
        """
        if output.position < self._expected():
            return True
        for step in self.steps:
            if step.position == output.position:
                if is_last:
                    return output.token is not None
                return len(output.activations) == step.count
        return False

    def take(self, output: StageOutput) -> bool:
        """Hold an output; return whether it is new to this attempt."""
        known = output.position in self.early
        if known or output.position < self._expected():
            return False
        self.early[output.position] = output
        return True

    def ready(self, now: float) -> tuple[SentStep, StageOutput] | None:
        """Return the next step with its output, once both are here."""
        if not self.steps or self.steps[0].position not in self.early:
            return None
        step = self.steps.popleft()
        output = self.early.pop(step.position)
        self.waiting_since = now
        return step, output

    def _expected(self) -> int:
        return self.steps[0].position if self.steps else self.next_in
