import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from foxtailhatch.recovery.crash_suspects import LostPrompt
from foxtailhatch.router.prompt_records import (
    LostRecord,
    PartRecord,
    SoundRecord,
    decode_prompt_record,
)

RECORDS = {
    'lost/entry-1': LostRecord('e1', 7, (LostPrompt('own', ('s', 'bad')),)),
    'sound/entry-1': SoundRecord({'s': 0.5}),
    'part/bad': PartRecord('bad', 1, 'entry-1'),
}


@pytest.mark.parametrize('key', RECORDS)
def test_record_survives_encoding(key):
    raw = RECORDS[key].encode()
    assert decode_prompt_record(key, raw) == Success(RECORDS[key])


@given(st.sampled_from(sorted(RECORDS)), st.binary(max_size=80))
def test_malformed_records_are_values(key, raw):
    assert isinstance(decode_prompt_record(key, raw), Success | Failure)


@pytest.mark.parametrize(
    'raw', [b'[]', b'{}', b'3', b'["e1", "x", 1]', b'[["s"]]', b'[[[], []]]']
)
@pytest.mark.parametrize('key', RECORDS)
def test_records_of_another_shape_are_refused(key, raw):
    decoded = decode_prompt_record(key, raw)
    assert isinstance(decoded, Failure) or raw == b'[]'
