"""Fuzz tests: arbitrary requests cause no crash, hang or internal error."""

import json
import socket

from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailhatch.callers.request_bodies import (
    ChatBody,
    CompletionBody,
    parse_body,
)
from foxtailhatch.callers.services import service_path
from foxtailhatch.core import ErrorCode
from tests.callers.http import answer_with
from tests.cli.entry_server import run_entry_servers

FUZZ = settings(derandomize=True, deadline=None, max_examples=200)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)
FIELDS = (
    'model',
    'prompt',
    'messages',
    'max_tokens',
    'stream',
    'received',
    'n',
    'role',
    'content',
)
BODIES = st.dictionaries(st.sampled_from(FIELDS), VALUES)
PATHS = ('/v1/completions', '/v1/services/desk/x', '/admin/marks', '/metrics')
PATH_PARTS = st.sampled_from((b'%2e', b'%2f', b'..', b'.', b'/', b'?', b'\xff'))
HEADERS = (
    'Authorization',
    'Idempotency-Key',
    'X-Deadline-Seconds',
    'Content-Type',
    'Transfer-Encoding',
    'Content-Length',
    'Expect',
)
TIMEOUT_S = 20
VALID = b'{"model": "guide", "prompt": "Strand 12?"}'


def lists_faults(refusal):
    faults = refusal.message.split('; ')
    return refusal.code is ErrorCode.BAD_REQUEST and faults[0][0] == '$'


@FUZZ
@given(BODIES.map(json.dumps).map(str.encode) | st.binary())
def test_a_body_is_accepted_or_its_faults_are_listed(raw):
    for model in (ChatBody, CompletionBody):
        parsed = parse_body(model, raw)
        assert parsed.map(bool).value_or(False) or lists_faults(
            parsed.failure()
        )


@FUZZ
@given(st.lists(PATH_PARTS | st.binary(max_size=4)).map(b''.join))
def test_a_service_path_is_normalized_or_refused(tail):
    path = service_path(b'/v1/services/desk/' + tail).value_or('/')
    segments = path.partition('?')[0].split('/')
    assert not {'.', '..'} & set(segments)
    normalized = service_path(b'/v1/services/desk' + path.encode('ascii'))
    assert normalized.unwrap() == path


@st.composite
def requests(draw):
    """Return the bytes of a request that is valid except for a few parts."""
    method = draw(st.sampled_from(('POST', 'POST', 'GET', 'HEAD', 'BREW')))
    tail = draw(st.sampled_from((b'', b'', b'/x', b'?a=%ff', b'\xff')))
    path = draw(st.sampled_from(PATHS)).encode() + tail
    body = draw(st.just(VALID) | BODIES.map(json.dumps).map(str.encode))
    length = str(len(body)).encode()
    headers = {'Authorization': b'Bearer good', 'Content-Length': length}
    values = st.binary(max_size=8) | st.sampled_from((b'chunked', b'9' * 30))
    names = st.sampled_from(HEADERS)
    headers.update(draw(st.dictionaries(names, values, max_size=2)))
    lines = [name.encode() + b': ' + text for name, text in headers.items()]
    request_line = method.encode() + b' ' + path + b' HTTP/1.1'
    return b'\r\n'.join([request_line, *lines, b'', body])


def test_any_input_gets_a_response_or_closes_the_connection():
    with run_entry_servers() as (entry,):
        entry.gateway.script = answer_with('')
        address = ('127.0.0.1', entry.running.port)

        @FUZZ
        @given(st.one_of(requests(), requests(), st.binary()))
        def send(raw):
            with socket.create_connection(address, TIMEOUT_S) as conn:
                conn.sendall(raw)
                conn.shutdown(socket.SHUT_WR)
                while conn.recv(65536):
                    pass  # noqa: WPS420

        send()
        assert ErrorCode.INTERNAL not in entry.observability.outcomes
        assert not entry.observability.violations
        # Some requests were valid and some reached the body parser.
        assert {None, ErrorCode.BAD_REQUEST} <= set(
            entry.observability.outcomes
        )
