"""The parameters of an answer and the interfaces that it depends on."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from foxtailhatch.core import Chain, ChainStage, Refusal


@dataclass(frozen=True, slots=True)
class AnswerPlan:
    """The immutable parameters of one answer.

    ``prompt`` and ``received`` are token ids; ``received`` are tokens of the
    answer that the caller already has.  ``max_tokens`` limits the answer's
    tokens, received ones included.  An answer that is not ``repeatable`` is
    never run again after its first step was sent.  ``blocks`` are the chained
    digests of the prompt's blocks, for the lookup of cached prefixes.
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
    """A request for a chain without the ``excluded`` endpoints.

    ``kept_stages`` are stages of the failed chain that still hold their KV
    cache.  ``known_tokens`` is the number of tokens of the prompt and of the
    answer so far.
    """

    plan: AnswerPlan
    attempt: int
    known_tokens: int
    excluded: frozenset[str] = frozenset()
    kept_stages: tuple[ChainStage, ...] = ()


class ChainSource(Protocol):
    """Selects chains; see :mod:`foxtailhatch.routing`."""

    def find_chain(
        self, req: ChainRequest, now: float
    ) -> Result[Chain, Refusal]:
        """Return a chain for one attempt, or why none is available now."""


class StallPolicy(Protocol):
    """Decides when a stage that makes no progress is replaced."""

    def timeout_s(self, endpoint: str, positions: int) -> float:
        """Return the timeout in seconds of a step of ``positions`` positions.

        ``positions`` is 0 for the opening of a stage.
        """

    def may_replace(self, endpoint: str) -> bool:
        """Return whether an overdue stage may be replaced now.

        Replacing a stage that is merely slow runs its work twice, so these
        replacements are limited by a retry budget.  Stages whose session was
        lost are replaced without asking.
        """
