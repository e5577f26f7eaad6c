"""Wire format of observations, and malformed input."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailhatch.core import LayerRange
from foxtailhatch.router.observations import (
    EndpointObservation,
    decode_observation,
)


@pytest.mark.parametrize('layers', [None, LayerRange(3, 9)])
def test_observation_round_trip(layers):
    observation = EndpointObservation(
        'e1', 7, is_dead=False, layers=layers, by='entry'
    )
    assert decode_observation(observation.encode()).unwrap() == observation


@pytest.mark.parametrize(
    'fields',
    [
        ['e1', 7, True, 'a', 'b', 'entry'],
        ['e1', 7.5, True, 0, 0, 'entry'],
        [None, 7, True, 0, 0, 'entry'],
        ['e1', 7, 1, 0, 0, 'entry'],
        ['e1', 7, True, 0, 0, None],
        ['e1', 7, True, 0, 0],
        ['e1', 7, True, 0, 'entry'],
        {},
    ],
)
def test_wrong_number_or_types_of_fields_are_a_failure(fields):
    assert decode_observation(orjson.dumps(fields)).failure()


@given(st.binary())
def test_arbitrary_bytes_raise_no_exception(raw):
    decode_observation(raw)
