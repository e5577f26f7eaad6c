"""The positions that each stage of a new attempt must prefill.

After a failure some stages still hold KV cache of the answer, others hold
none, and the entry has retained some of the activations between them.  The
plan minimizes the positions that each stage runs before the next token.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from foxtailhatch.core import LayerRange
from foxtailhatch.pipeline.retained_inputs import RetainedInputs


@dataclass(frozen=True, slots=True)
class StageCache:
    """The layers of a stage and the number of positions in its KV cache."""

    layers: LayerRange
    cached: int


@dataclass(frozen=True, slots=True)
class StagePrefill:
    """The sources of a stage's inputs from position ``start`` on.

    Inputs of the positions from ``start`` up to, but not including,
    ``retained_end`` are retained activations; those from ``retained_end`` on
    come from the previous stage.  The first stage reads token ids instead.
    """

    start: int
    retained_end: int


def plan_prefill(
    stages: Sequence[StageCache],
    retained: RetainedInputs,
    length: int,
) -> list[StagePrefill]:
    """Return the prefill of each stage for a sequence of ``length`` tokens.

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
