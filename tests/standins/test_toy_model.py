import pytest

from foxtailhatch.core import LayerRange
from standins.toy_model import (
    END_TOKEN,
    LayerCache,
    decode_activation,
    embed,
    encode_activation,
    reference_answer,
    run_layers,
    token_from_state,
)

LAYERS = LayerRange(0, 4)
TOKENS = tuple(b'string seven')


def _last(layers, tokens, cache=None, at=0):
    held = LayerCache.empty(layers) if cache is None else cache
    states = embed('toy', '1', tokens)
    return run_layers('toy', '1', held, at, states)[-1]


def test_reference_answer_is_printable_and_deterministic():
    first, _ = reference_answer('toy', '1', 4, TOKENS, 40)
    assert first == reference_answer('toy', '1', 4, TOKENS, 40)[0]
    assert set(first) <= set(b' abcdefghijklmnopqrstuvwxyz')


def test_end_token_ends_an_answer_and_is_not_included():
    answers = [
        reference_answer('toy', '1', 1, bytes([seed]), 200)
        for seed in range(64)
    ]
    ended = [tokens for tokens, stopped in answers if stopped]
    assert 0 < len(ended) < len(answers)
    assert all(END_TOKEN not in tokens for tokens in ended)


@pytest.mark.parametrize(
    'tokens',
    [TOKENS[1:], TOKENS + TOKENS[-1:], TOKENS[1::-1] + TOKENS[2:], b'other'],
    ids=['missing', 'doubled', 'reordered', 'foreign'],
)
def test_wrong_token_history_changes_the_state(tokens):
    wrong = _last(LAYERS, tokens)
    assert wrong != _last(LAYERS, TOKENS)


@pytest.mark.parametrize(
    'ranges', [[(0, 2)], [(0, 2), (0, 2), (2, 4)], [(2, 4), (0, 2)]]
)
def test_wrong_layers_change_the_state(ranges):
    states = embed('toy', '1', TOKENS)
    for first, end in ranges:
        cache = LayerCache.empty(LayerRange(first, end))
        states = run_layers('toy', '1', cache, 0, states)
    assert states[-1] != _last(LAYERS, TOKENS)


def test_repeated_step_changes_later_states():
    once, twice = LayerCache.empty(LAYERS), LayerCache.empty(LAYERS)
    for cache in (once, twice, twice):
        _last(LAYERS, TOKENS, cache, 0)
    assert _last(LAYERS, b'x', once, 12) != _last(LAYERS, b'x', twice, 12)


def test_truncated_cache_gives_the_same_state():
    straight, truncated = LayerCache.empty(LAYERS), LayerCache.empty(LAYERS)
    _last(LAYERS, TOKENS, straight)
    _last(LAYERS, TOKENS + tuple(b'wrong'), truncated)
    truncated.truncate(len(TOKENS))
    assert _last(LAYERS, b'x', straight, 12) == _last(
        LAYERS, b'x', truncated, 12
    )


def test_padded_activation_round_trips():
    assert decode_activation(encode_activation(7, 16_384)) == 7
    assert len(encode_activation(7, 16_384)) == 16_384
    assert token_from_state(
        decode_activation(encode_activation(5 * 1024 + 1))
    ) == ord('e')
