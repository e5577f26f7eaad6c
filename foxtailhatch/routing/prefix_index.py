"""Estimate which endpoints have the prefix of a prompt cached.

The estimates may be wrong: a wrong one costs a prefill but never changes an
answer, because the engine itself reports what it has cached when a stage is
opened.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from foxtailhatch.outside import CachePage
from foxtailhatch.routing.blocks import BLOCK_TOKENS

MAX_ESTIMATES = 60_000
PREFILLED_PROBABILITY = 0.9
CONFIRMED_PROBABILITY = 1.0
GAP_DECAY_FACTOR = 0.5
HALF_LIFE_S = 120.0
MIN_PROBABILITY = 0.05


@dataclass(frozen=True, slots=True)
class CacheEstimate:
    """The probability that an endpoint had a block cached at ``since``.

    ``gaps`` is the number of gaps in its cache events seen by then.
    """

    probability: float
    since: float
    gaps: int


@dataclass(slots=True)
class PrefixIndex:
    """Estimates of the prefix caches of all endpoints, by block digest.

    The probability decays with time, and each gap in an endpoint's cache
    events lowers all earlier estimates for it.  The least recently updated
    blocks are evicted first.
    """

    max_estimates: int = MAX_ESTIMATES
    _blocks: OrderedDict[str, dict[str, CacheEstimate]] = field(
        default_factory=OrderedDict,
    )
    _gaps: dict[str, int] = field(default_factory=dict)
    _size: int = 0

    def __len__(self) -> int:
        """Return the number of estimates held."""
        return self._size

    def record_prefilled(
        self, endpoint: str, blocks: Sequence[str], now: float
    ) -> None:
        """Record that this entry had a prompt prefilled at an endpoint."""
        for block in blocks:
            self._set_estimate(endpoint, block, PREFILLED_PROBABILITY, now)

    def record_stage_opened(
        self,
        endpoint: str,
        blocks: Sequence[str],
        cached_tokens: int,
        now: float,
    ) -> None:
        """Record how many tokens of a prompt an endpoint reported as cached."""
        cached_blocks = cached_tokens // BLOCK_TOKENS
        for block in blocks[:cached_blocks]:
            self._set_estimate(endpoint, block, CONFIRMED_PROBABILITY, now)
        for missing in blocks[cached_blocks:]:
            self._drop(endpoint, missing)

    def apply_events(self, endpoint: str, page: CachePage, now: float) -> None:
        """Apply a page of an endpoint's cache events, which may have a gap."""
        if page.gap:
            self._gaps[endpoint] = self._gaps.get(endpoint, 0) + 1
        for event in page.events:
            if event.present:
                self._set_estimate(
                    endpoint, event.block, CONFIRMED_PROBABILITY, now
                )
            else:
                self._drop(endpoint, event.block)

    def remove_endpoint(self, endpoint: str) -> None:
        """Drop the estimates for an endpoint that left or was replaced."""
        for block in tuple(self._blocks):
            self._drop(endpoint, block)
        self._gaps.pop(endpoint, None)

    def cached_tokens(
        self,
        blocks: Sequence[str],
        now: float,
    ) -> Mapping[str, float]:
        """Return the expected number of cached tokens at each endpoint.

        Endpoints without an estimate for the first block are left out.
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
        probability: float = 1
        for block in blocks:
            probability = min(
                probability, self._probability(endpoint, block, now)
            )
            if probability < MIN_PROBABILITY:
                break
            tokens += probability * BLOCK_TOKENS
        return tokens

    def _probability(self, endpoint: str, block: str, now: float) -> float:
        estimate = self._blocks.get(block, {}).get(endpoint)
        if estimate is None:
            return 0
        gaps = self._gaps.get(endpoint, 0) - estimate.gaps
        age = max(0, now - estimate.since) / HALF_LIFE_S
        return estimate.probability * math.pow(GAP_DECAY_FACTOR, gaps + age)

    def _set_estimate(
        self,
        endpoint: str,
        block: str,
        probability: float,
        now: float,
    ) -> None:
        holders = self._blocks.setdefault(block, {})
        self._blocks.move_to_end(block)
        self._size += endpoint not in holders
        holders[endpoint] = CacheEstimate(
            probability,
            now,
            self._gaps.get(endpoint, 0),
        )
        while self._size > self.max_estimates:
            _, oldest = self._blocks.popitem(last=False)
            self._size -= len(oldest)

    def _drop(self, endpoint: str, block: str) -> None:
        holders = self._blocks.get(block, {})
        if holders.pop(endpoint, None):
            self._size -= 1
        if not holders:
            self._blocks.pop(block, None)
