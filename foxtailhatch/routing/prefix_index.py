"""Where the prefix of a prompt is likely cached.

The index holds beliefs, not facts: a wrong one costs a prefill and never
changes an answer, because an engine says itself what it has cached when a
stage is opened.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from foxtailhatch.outside import CachePage
from foxtailhatch.routing.blocks import BLOCK_TOKENS

MAX_BELIEFS = 60_000
SENT_CERTAINTY = 0.9
SEEN_CERTAINTY = 1.0
GAP_FACTOR = 0.5
HALF_LIFE_S = 120.0
LEAST_CERTAINTY = 0.05


@dataclass(frozen=True, slots=True)
class Belief:
    """That an endpoint had a block cached at ``since``."""

    certainty: float
    since: float
    gaps: int


@dataclass(slots=True)
class PrefixIndex:
    """Beliefs about the prefix caches of all endpoints, by block digest.

    A belief fades with time, and each gap in an endpoint's cache events makes
    all older beliefs about it less certain.  The blocks used longest ago are
    forgotten first.
    """

    max_beliefs: int = MAX_BELIEFS
    _blocks: OrderedDict[str, dict[str, Belief]] = field(
        default_factory=OrderedDict,
    )
    _gaps: dict[str, int] = field(default_factory=dict)
    _size: int = 0

    def __len__(self) -> int:
        """Return the number of beliefs held."""
        return self._size

    def note_prefilled(
        self, endpoint: str, blocks: Sequence[str], now: float
    ) -> None:
        """Note that this entry had a prompt prefilled at an endpoint."""
        for block in blocks:
            self._believe(endpoint, block, SENT_CERTAINTY, now)

    def note_stage_opened(
        self,
        endpoint: str,
        blocks: Sequence[str],
        cached_tokens: int,
        now: float,
    ) -> None:
        """Learn what an endpoint said it had cached of a prompt."""
        known = cached_tokens // BLOCK_TOKENS
        for block in blocks[:known]:
            self._believe(endpoint, block, SEEN_CERTAINTY, now)
        for missing in blocks[known:]:
            self._drop(endpoint, missing)

    def apply_events(self, endpoint: str, page: CachePage, now: float) -> None:
        """Learn from an endpoint's cache events, which may have a gap."""
        if page.gap:
            self._gaps[endpoint] = self._gaps.get(endpoint, 0) + 1
        for event in page.events:
            if event.present:
                self._believe(endpoint, event.block, SEEN_CERTAINTY, now)
            else:
                self._drop(endpoint, event.block)

    def remove_endpoint(self, endpoint: str) -> None:
        """Drop all beliefs about an endpoint that is gone or was replaced."""
        for block in tuple(self._blocks):
            self._drop(endpoint, block)
        self._gaps.pop(endpoint, None)

    def cached_tokens(
        self,
        blocks: Sequence[str],
        now: float,
    ) -> Mapping[str, float]:
        """Return the expected number of cached tokens at each endpoint.

        Endpoints that are not believed to have the first block are left out.
        """
        first = blocks[0] if blocks else ''
        return {
            endpoint: self._expected(endpoint, blocks, now)
            for endpoint in self._blocks.get(first, ())
        }

    def _expected(
        self,
        endpoint: str,
        blocks: Sequence[str],
        now: float,
    ) -> float:
        tokens: float = 0
        certainty: float = 1
        for block in blocks:
            certainty = min(certainty, self._certainty(endpoint, block, now))
            if certainty < LEAST_CERTAINTY:
                break
            tokens += certainty * BLOCK_TOKENS
        return tokens

    def _certainty(self, endpoint: str, block: str, now: float) -> float:
        belief = self._blocks.get(block, {}).get(endpoint)
        if belief is None:
            return 0
        gaps = self._gaps.get(endpoint, 0) - belief.gaps
        age = max(0, now - belief.since) / HALF_LIFE_S
        return belief.certainty * math.pow(GAP_FACTOR, gaps + age)

    def _believe(
        self,
        endpoint: str,
        block: str,
        certainty: float,
        now: float,
    ) -> None:
        holders = self._blocks.setdefault(block, {})
        self._blocks.move_to_end(block)
        self._size += endpoint not in holders
        holders[endpoint] = Belief(
            certainty,
            now,
            self._gaps.get(endpoint, 0),
        )
        while self._size > self.max_beliefs:
            _, oldest = self._blocks.popitem(last=False)
            self._size -= len(oldest)

    def _drop(self, endpoint: str, block: str) -> None:
        holders = self._blocks.get(block, {})
        if holders.pop(endpoint, None):
            self._size -= 1
        if not holders:
            self._blocks.pop(block, None)
