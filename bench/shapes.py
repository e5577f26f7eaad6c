"""Sizes and shared prefixes of simulated requests."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from bench.pool_model import BLOCK_TOKENS

MEAN_PROMPT_TOKENS = 160
MEAN_ANSWER_TOKENS = 48
MIN_ANSWER_TOKENS = 8


@dataclass(frozen=True, slots=True)
class RequestShape:
    """Size of a request, and the digests of its prompt blocks."""

    prompt_tokens: int
    answer_tokens: int
    blocks: tuple[str, ...] = ()


ShapeMaker = Callable[[random.Random], RequestShape]


def answer_tokens(rng: random.Random) -> int:
    """Return a random answer length in tokens."""
    extra = rng.expovariate(1 / (MEAN_ANSWER_TOKENS - MIN_ANSWER_TOKENS))
    return MIN_ANSWER_TOKENS + round(extra)


def without_shared_prefix(rng: random.Random) -> RequestShape:
    """Return a request whose prompt shares no prefix with others."""
    half = MEAN_PROMPT_TOKENS // 2
    prompt = rng.randint(half, 3 * half)
    return RequestShape(prompt, answer_tokens(rng))


@dataclass(frozen=True, slots=True)
class SharedPrefixes:
    """Prompts that start with one of several templates and have a unique tail.

    Template use follows a Zipf distribution: the second is used half as
    often as the first, the third a third as often, and so on.
    """

    templates: int
    template_blocks: int
    tail_tokens: int

    def __call__(self, rng: random.Random) -> RequestShape:
        """Return a request with a random template and tail."""
        shares = [1 / (rank + 1) for rank in range(self.templates)]
        template = rng.choices(range(self.templates), shares)[0]
        tail = rng.randint(1, 2 * self.tail_tokens)
        blocks = [f'{template}.{at}' for at in range(self.template_blocks)]
        unshared = [f'{rng.random()}' for _ in range(tail // BLOCK_TOKENS)]
        return RequestShape(
            self.template_blocks * BLOCK_TOKENS + tail,
            answer_tokens(rng),
            (*blocks, *unshared),
        )

    def mean_prompt_tokens(self) -> int:
        """Return the mean prompt length in tokens."""
        return self.template_blocks * BLOCK_TOKENS + self.tail_tokens


THRISSUR_GUIDANCE = SharedPrefixes(24, 16, 40)
KALAHARI_SUMMARIES = SharedPrefixes(60, 32, 30)
