import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import TypeAdapter
from returns.result import Failure, Success

from foxtailhatch.core import LoadReport
from foxtailhatch.outside import DownFrame, LogRecord, PlatformFault, UpFrame
from foxtailhatch.outside.frames_json import (
    decode_down,
    decode_up,
    encode_frame,
)
from foxtailhatch.outside.http_client import HttpResponse
from foxtailhatch.outside.json_responses import parse_response
from foxtailhatch.outside.line_splitter import LineSplitter, LineTooLong
from foxtailhatch.outside.log_http import LogDocument, RecordDocument

fuzz = settings(derandomize=True, deadline=None, max_examples=200)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


@fuzz
@given(st.from_type(UpFrame))
def test_every_up_frame_survives_a_round_trip(frame):
    line = encode_frame(frame)
    assert line.index(b'\n') == len(line) - 1
    assert decode_up(line) == Success(frame)


@fuzz
@given(st.from_type(DownFrame))
def test_every_down_frame_survives_a_round_trip(frame):
    line = encode_frame(frame)
    assert line.index(b'\n') == len(line) - 1
    assert decode_down(line) == Success(frame)


@fuzz
@given(st.from_type(DownFrame), st.data())
def test_a_truncated_line_is_refused(frame, data):
    line = encode_frame(frame)[:-1]
    cut = data.draw(st.integers(0, len(line) - 1))
    assert isinstance(decode_down(line[:cut]), Failure)


@fuzz
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_refused_with_a_short_message(line):
    for decode in (decode_up, decode_down):
        message = decode(line).failure()
        assert 0 < len(message) <= 200


@fuzz
@given(st.sampled_from(['opened', 'output', 'refused', 'pong']), json_values)
def test_members_of_a_wrong_type_are_refused(kind, value):
    document = {'kind': kind, 'stream': value, 'attempt': value}
    line = TypeAdapter(dict).dump_json(document)
    assert isinstance(decode_down(line), Failure)


@fuzz
@given(st.lists(st.binary(max_size=9)), st.integers(1, 9))
def test_lines_do_not_depend_on_the_chunk_size(parts, size):
    lines = [part.replace(b'\n', b'') for part in parts]
    sent = b''.join(line + b'\n' for line in lines)
    splitter = LineSplitter(max_bytes=9)
    chunks = [sent[at : at + size] for at in range(0, len(sent), size)]
    assert [line for chunk in chunks for line in splitter.feed(chunk)] == lines


@pytest.mark.parametrize('chunks', [[b'12345'], [b'123', b'45'], [b'12345\n']])
def test_a_line_over_the_limit_is_refused(chunks):
    splitter = LineSplitter(max_bytes=4)
    with pytest.raises(LineTooLong):
        for chunk in chunks:
            splitter.feed(chunk)


@fuzz
@given(st.binary(max_size=200), st.integers(100, 599))
def test_any_response_of_an_external_system_is_an_error_not_an_exception(
    body, status
):
    adapter = TypeAdapter(LoadReport)
    error = parse_response(adapter, HttpResponse(status, body, '')).failure()
    assert (error.fault is PlatformFault.INVALID_RESPONSE) == (status == 200)


@fuzz
@given(st.binary())
def test_log_record_bodies_survive_a_round_trip(body):
    record = LogRecord(1, 2.5, body)
    sent = LogDocument(records=[RecordDocument.of(record)], first=1, end=2)
    read = LogDocument.model_validate_json(sent.model_dump_json())
    assert read.page().records == (record,)
