"""Where each stage of a new attempt starts, and what it is fed.

After a loss some stages hold KV cache of the answer and others none, and the
entry holds some of the activations between them.  The plan makes every stage
run the fewest positions that still lead to the next token.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from foxtailhatch.core import LayerRange
from foxtailhatch.pipeline.retained_inputs import RetainedInputs


@dataclass(frozen=True, slots=True)
class StageCache:
    """The layers of a stage and how many positions it already holds."""

    layers: LayerRange
    cached: int


@dataclass(frozen=True, slots=True)
class StagePrefill:
    """A stage starts at ``start``; ``retained_end`` ends what is kept for it.

    Positions from ``start`` to ``retained_end`` come from kept activations;
    those from ``retained_end`` on come from the stage before.
    """

    start: int
    retained_end: int


def plan_prefill(
    stages: Sequence[StageCache],
    retained: RetainedInputs,
    length: int,
) -> list[StagePrefill]:
    """Return the feed of each stage for a sequence of ``length`` tokens.

    The last stage must run at least the last position, since its output is
    the next token.  The first stage reads token ids, which are all known.

    >>> stages = [StageCache(LayerRange(0, 2), 9), StageCache(LayerRange(2, 4), 0)]
    >>> plan_prefill(stages, RetainedInputs(), 9)
    [StagePrefill(start=0, retained_end=9), StagePrefill(start=0, retained_end=0)]
    """
    prefills: list[StagePrefill] = []
    required_end = length - 1
    for index in reversed(range(len(stages))):
        start = min(stages[index].cached, required_end, length)
        retained_end = start
        boundary = retained.at(stages[index].layers.first)
        if index == 0:
            retained_end = length
        elif boundary.covers(start):
            retained_end = min(boundary.end, length)
        prefills.append(StagePrefill(start, retained_end))
        required_end = retained_end
    prefills.reverse()
    return prefills
