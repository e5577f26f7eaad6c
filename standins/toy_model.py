"""A deterministic toy model whose every layer leaves its trace in the token.

An activation is the text of a 64-bit state, padded to a wished size.  Each
layer mixes the state with the layer's number, the position and the layer's
own KV accumulator over all earlier positions.  So a step that is missing,
doubled, out of order or of another stream changes all tokens after it.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from typing import Final

from foxtailhatch.core import LayerRange

END_TOKEN: Final = 3
STATE_DIGITS: Final = 16
END_TOKEN_PERIOD: Final = 1024
ALPHABET: Final = b' abcdefghijklmnopqrstuvwxyz'
_MASK: Final = 0xFFFFFFFFFFFFFFFF
_INCREMENT: Final = 0x9E3779B97F4A7C15
_FIRST_MULTIPLIER: Final = 0xBF58476D1CE4E5B9
_SECOND_MULTIPLIER: Final = 0x94D049BB133111EB
_SHIFTS: Final = (30, 27, 31)
_POSITION_SHIFT: Final = 20
_MAX_CACHED_SEEDS: Final = 256


def _mix(left: int, right: int) -> int:
    """Return a 64-bit number that depends on both arguments and their order."""
    first, second, third = _SHIFTS
    state = (left * _INCREMENT + right + _INCREMENT) & _MASK
    state = ((state ^ (state >> first)) * _FIRST_MULTIPLIER) & _MASK
    state = ((state ^ (state >> second)) * _SECOND_MULTIPLIER) & _MASK
    return state ^ (state >> third)


@lru_cache(maxsize=_MAX_CACHED_SEEDS)
def _seed(model: str, version: str) -> int:
    """Return the number that sets one model and version apart."""
    digest = blake2b(f'{model}\n{version}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


@dataclass(slots=True)
class LayerCache:
    """The KV accumulators of one stage: one list of numbers a layer.

    >>> cache = LayerCache.empty(LayerRange(0, 2))
    >>> _ = run_layers('toy', '1', cache, 0, [1, 2, 3])
    >>> len(cache)
    3
    >>> cache.truncate(1)
    >>> len(cache)
    1
    """

    layers: LayerRange
    rows: list[list[int]] = field(default_factory=list)

    @classmethod
    def empty(cls, layers: LayerRange) -> 'LayerCache':
        """Return a cache of ``layers`` that holds no position."""
        return cls(layers, [[] for _ in range(len(layers))])

    def __len__(self) -> int:
        """Return the number of positions held."""
        return len(self.rows[0])

    def truncate(self, positions: int) -> None:
        """Keep the first ``positions`` positions only."""
        self.rows = [row[:positions] for row in self.rows]


def embed(model: str, version: str, tokens: Iterable[int]) -> list[int]:
    """Return the states that the first layer starts from."""
    seed = _seed(model, version)
    return [_mix(seed, token) for token in tokens]


def run_layers(
    model: str,
    version: str,
    cache: LayerCache,
    position: int,
    states: Sequence[int],
) -> list[int]:
    """Run the cache's layers over ``states`` and append to the cache.

    The cache must hold exactly ``position`` positions.
    """
    seed = _seed(model, version)
    outputs = list(states)
    for index, row in enumerate(cache.rows):
        layer = _mix(seed, cache.layers.first + index)
        outputs = _run_layer(layer, row, position, outputs)
    return outputs


def _run_layer(
    layer: int,
    row: list[int],
    position: int,
    states: Sequence[int],
) -> list[int]:
    """Run one layer over consecutive positions, adding to its KV row."""
    accumulator = row[-1] if row else layer
    new_states = []
    for offset, state in enumerate(states):
        position_key = _mix(layer, (position + offset) << _POSITION_SHIFT)
        accumulator = _mix(accumulator, _mix(state, position_key))
        row.append(accumulator)
        new_states.append(_mix(accumulator, state))
    return new_states


def token_from_state(state: int) -> int:
    """Return the token that the last layer's state stands for.

    >>> chr(token_from_state(1)).isprintable()
    True
    >>> token_from_state(0) == END_TOKEN
    True
    """
    if state % END_TOKEN_PERIOD == 0:
        return END_TOKEN
    return ALPHABET[(state // END_TOKEN_PERIOD) % len(ALPHABET)]


def encode_activation(state: int, activation_bytes: int = 0) -> str:
    """Write a state as an activation of at least ``activation_bytes``.

    >>> encode_activation(255, 20)
    '00000000000000ff....'
    """
    return format(state, '016x').ljust(activation_bytes, '.')


def decode_activation(activation: str) -> int:
    """Read an activation's state; ``ValueError`` if it is none.

    >>> decode_activation('00000000000000ff....')
    255
    """
    return int(activation[:STATE_DIGITS], STATE_DIGITS)


def reference_answer(
    model: str,
    version: str,
    layer_count: int,
    prompt_tokens: Sequence[int],
    max_tokens: int,
) -> tuple[tuple[int, ...], bool]:
    """Compute a whole answer in one process.

    Returned are the tokens without the end token, and whether the model
    ended the answer itself.

    >>> tokens, ended = reference_answer('toy', '1', 6, b'knot', 5)
    >>> len(tokens), ended
    (5, False)
    """
    cache = LayerCache.empty(LayerRange(0, layer_count))
    answer: list[int] = []
    input_tokens: Sequence[int] = prompt_tokens
    while len(answer) < max_tokens:
        states = embed(model, version, input_tokens)
        last = run_layers(model, version, cache, len(cache), states)[-1]
        token = token_from_state(last)
        if token == END_TOKEN:
            return tuple(answer), True
        answer.append(token)
        input_tokens = (token,)
    return tuple(answer), False
