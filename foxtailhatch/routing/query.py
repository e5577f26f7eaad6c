"""What a chooser is asked, and the protocol that all choosers meet."""

from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Result

from foxtailhatch.config.configuration import Labels
from foxtailhatch.core import Chain, ChainStage, Refusal
from foxtailhatch.routing.pool import Pool


@dataclass(frozen=True, slots=True)
class ChainQuery:
    """One answer that needs a chain.

    ``prompt_blocks`` is the digest chain of the prompt, ``prompt_tokens`` the
    number of positions to prefill, ``expected_tokens`` the expected length of
    the answer.  ``excluded`` names endpoints that may not be used, and
    ``endpoint_labels`` are labels that all used ones must carry.  ``kept_stages``
    lists the surviving stages of a broken chain, which need no prefill.
    """

    model: str
    version: str
    layer_count: int
    prompt_blocks: tuple[str, ...] = ()
    prompt_tokens: int = 0
    expected_tokens: int = 1
    excluded: frozenset[str] = frozenset()
    endpoint_labels: Labels = field(default_factory=dict)
    kept_stages: tuple[ChainStage, ...] = ()


class ChainChooser(Protocol):
    """Whoever decides which endpoints run an answer."""

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Return a chain that holds each layer once, in order."""
