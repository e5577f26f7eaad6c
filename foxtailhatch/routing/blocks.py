"""Digests by which engines and entries name the blocks of a prompt."""

from collections.abc import Sequence
from hashlib import blake2b

BLOCK_TOKENS = 16
DIGEST_BYTES = 16
TOKEN_BYTES = 4


def prompt_blocks(tokens: Sequence[int]) -> tuple[str, ...]:
    """Return one digest for each whole block of 16 tokens.

    Each digest covers all tokens up to the end of its block, so that equal
    digests mean equal prefixes.

    >>> one, two = prompt_blocks(range(40)), prompt_blocks(range(33))
    >>> one == two, len(one)
    (True, 2)
    """
    running = blake2b(digest_size=DIGEST_BYTES)
    found = []
    for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
        for token in tokens[end - BLOCK_TOKENS : end]:
            running.update(token.to_bytes(TOKEN_BYTES))
        found.append(running.hexdigest())
    return tuple(found)
