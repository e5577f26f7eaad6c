"""Compute the digests that identify the blocks of a prompt."""

from collections.abc import Sequence
from hashlib import blake2b

BLOCK_TOKENS = 16
DIGEST_BYTES = 16
TOKEN_BYTES = 4


def prompt_blocks(tokens: Sequence[int]) -> tuple[str, ...]:
    """Return one digest for each complete block of ``BLOCK_TOKENS`` tokens.

    Engines and entries compute the same digests.  Each digest covers all
    tokens up to the end of its block, so equal digests mean equal prefixes.

    >>> first, second = prompt_blocks(range(40)), prompt_blocks(range(33))
    >>> first == second, len(first)
    (True, 2)
    """
    running = blake2b(digest_size=DIGEST_BYTES)
    digests = []
    for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
        for token in tokens[end - BLOCK_TOKENS : end]:
            running.update(token.to_bytes(TOKEN_BYTES))
        digests.append(running.hexdigest())
    return tuple(digests)
