"""The query for a chain, and the protocol of all choosers."""

from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Result

from foxtailhatch.config.configuration import Labels
from foxtailhatch.core import Chain, ChainStage, Refusal
from foxtailhatch.routing.pool import Pool


@dataclass(frozen=True, slots=True)
class ChainQuery:
    """A request for a chain that can run one answer.

    ``prompt_blocks`` are the block digests of the prompt, ``prompt_tokens``
    is the number of positions to prefill, ``expected_tokens`` the expected
    length of the answer.  ``excluded`` names endpoints that must not be used;
    all endpoints used must carry ``endpoint_labels``.  ``kept_stages`` are
    the surviving stages of a broken chain, which need no prefill.
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
    """A strategy that chooses the endpoints for an answer."""

    def choose(
        self,
        query: ChainQuery,
        pool: Pool,
        now: float,
    ) -> Result[Chain, Refusal]:
        """Return a chain that covers each layer once, in order.

        Return a refusal if there is no such chain now.
        """
