"""A deterministic toy model in which every layer affects the output tokens.

An activation is a 64-bit state in hexadecimal, padded to a requested size.
Each layer hashes the state with the layer number, the position and the layer's
KV accumulator over all earlier positions.  A step that is missing, duplicated,
out of order or from another stream therefore changes all later tokens.
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
    """Return a hash that identifies the model and version."""
    digest = blake2b(f'{model}\n{version}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


@dataclass(slots=True)
class LayerCache:
    """KV accumulators of one stage, with one list per layer.

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
        """Return an empty cache for ``layers``."""
        return cls(layers, [[] for _ in range(len(layers))])

    def __len__(self) -> int:
        """Return the number of cached positions."""
        return len(self.rows[0])

    def truncate(self, positions: int) -> None:
        """Discard all but the first ``positions`` positions."""
        self.rows = [row[:positions] for row in self.rows]


def embed(model: str, version: str, tokens: Iterable[int]) -> list[int]:
    """Return the input states of the first layer, one per token."""
    seed = _seed(model, version)
    return [_mix(seed, token) for token in tokens]


def run_layers(
    model: str,
    version: str,
    cache: LayerCache,
    position: int,
    states: Sequence[int],
) -> list[int]:
    """Run the layers of ``cache`` over ``states`` and extend the cache.

    The cache must contain exactly ``position`` positions.
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
    """Run one layer over consecutive positions and extend its KV row."""
    accumulator = row[-1] if row else layer
    new_states = []
    for offset, state in enumerate(states):
        position_key = _mix(layer, (position + offset) << _POSITION_SHIFT)
        accumulator = _mix(accumulator, _mix(state, position_key))
        row.append(accumulator)
        new_states.append(_mix(accumulator, state))
    return new_states


def token_from_state(state: int) -> int:
    """Return the token for an output state of the last layer.

    >>> chr(token_from_state(1)).isprintable()
    True
    >>> token_from_state(0) == END_TOKEN
    True
    """
    if state % END_TOKEN_PERIOD == 0:
        return END_TOKEN
    return ALPHABET[(state // END_TOKEN_PERIOD) % len(ALPHABET)]


def encode_activation(state: int, activation_bytes: int = 0) -> str:
    """Encode a state as an activation of at least ``activation_bytes`` bytes.

    >>> encode_activation(255, 20)
    '00000000000000ff....'
    """
    return format(state, '016x').ljust(activation_bytes, '.')


def decode_activation(activation: str) -> int:
    """Decode the state of an activation; raise ``ValueError`` if malformed.

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
    """Compute a complete answer in one process.

    Return the tokens without the end token, and whether the model generated
    an end token within ``max_tokens``.

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
