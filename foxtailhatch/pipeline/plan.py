"""What one answer is about, and where its chains come from."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from foxtailhatch.core import Chain, ChainStage, Refusal


@dataclass(frozen=True, slots=True)
class AnswerPlan:
    """The fixed facts of one answer.

    ``prompt`` and ``received`` are token ids; ``received`` are tokens of the
    answer that the caller already holds.  ``max_tokens`` counts the answer's
    tokens, received ones included.  An answer that is not ``repeatable`` is
    never run again after its first step left.
    """

    stream: str
    model: str
    version: str
    layer_count: int
    prompt: tuple[int, ...]
    max_tokens: int
    received: tuple[int, ...] = ()
    priority: int = 0
    repeatable: bool = True
    adapter: str | None = None
    blocks: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ChainRequest:
    """A wish for a chain, apart from ``excluded`` endpoints.

    ``keep`` are stages of a broken chain whose KV cache is still there.
    ``length`` is the number of tokens already known.
    """

    plan: AnswerPlan
    attempt: int
    known_tokens: int
    excluded: frozenset[str] = frozenset()
    kept_stages: tuple[ChainStage, ...] = ()


class ChainSource(Protocol):
    """Whoever chooses chains; see :mod:`foxtailhatch.routing`."""

    def find_chain(
        self, req: ChainRequest, now: float
    ) -> Result[Chain, Refusal]:
        """Return a chain for one attempt, or why there is none now."""


class StallPolicy(Protocol):
    """How long an endpoint may owe a frame before it is given up."""

    def timeout_s(self, endpoint: str, positions: int) -> float:
        """Return the limit in seconds for a step of so many positions.

        ``positions`` is 0 for the opening of a stage.
        """

    def may_replace(self, endpoint: str) -> bool:
        """Tell whether an overdue stage may be replaced now.

        A stage that is only slow costs a second run of its work, so such
        replacements come out of a budget; a proven loss does not ask.
        """
