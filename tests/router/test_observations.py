"""Findings of other entries, and foreign bytes in their place."""

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
def test_finding_survives_the_wire(layers):
    finding = EndpointObservation('e1', 7, is_dead=False, layers=layers)
    assert decode_observation(finding.encode()).unwrap() == finding


@pytest.mark.parametrize(
    'fields',
    [
        ['e1', 7, True, 'a', 'b'],
        ['e1', 7.5, True, 0, 0],
        [None, 7, True, 0, 0],
        ['e1', 7, 1, 0, 0],
        ['e1', 7, True, 0],
        {},
    ],
)
def test_fields_of_other_types_are_no_finding(fields):
    assert decode_observation(orjson.dumps(fields)).failure()


@given(st.binary())
def test_foreign_bytes_are_outcomes(raw):
    decode_observation(raw)
