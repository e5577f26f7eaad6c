"""What of a stream counts as the next event of a completion."""

import json
from io import BytesIO

import pytest

from foxtailhatch.cli.client import EntryError, parse_error
from foxtailhatch.cli.sse import (
    MALFORMED,
    MAX_LINE_BYTES,
    Completed,
    Interrupted,
    ReceivedTokens,
    bounded_lines,
)

DONE = b'data: [DONE]\n\n'


def chunk(number, text, tokens, reason=None):
    choice = {'text': text, 'tokens': tokens, 'finish_reason': reason}
    document = json.dumps({'choices': [choice]}).encode()
    name = b'' if number is None else b'id: %d\n' % number
    return b'%bdata: %b\n\n' % (name, document)


FIRST = chunk(1, 'ab', [97, 98])
SECOND = chunk(2, 'c', [99])
LAST = chunk(None, '', [], 'stop')


def read(sent, tokens=()):
    received = ReceivedTokens(list(tokens))
    items = list(received.read_stream(bounded_lines(BytesIO(sent))))
    return items, received.tokens


def test_a_whole_stream_is_complete():
    items, tokens = read(FIRST + SECOND + LAST + DONE)
    assert items == ['ab', 'c', '', Completed()]
    assert tokens == [97, 98, 99]


def test_a_resumed_stream_goes_on_behind_the_received_tokens():
    assert read(SECOND + LAST + DONE, [97, 98])[0][-1] == Completed()


# Guards against bytes that are not the next event and that are printed, or taken
# for the end of the completion.
@pytest.mark.parametrize(
    'wrong',
    [
        FIRST,
        chunk(3, 'd', [100]),
        chunk(None, 'c', [99]),
        chunk(2, 'c', [-1]),
        chunk(2, 'c', ['99']),
        chunk(None, 'text without tokens', []),
        b'[DONE]\n\n',
        DONE,
        LAST + SECOND,
        b'HTTP/1.1 200 OK\n',
        b'\x00\xff\n\n',
        b'\n',
        b'id: 2\n' + SECOND,
        b'data: 1\n' + SECOND,
        b'data: {"choices": []}\n\n',
    ],
)
def test_what_is_not_the_next_event_interrupts_the_stream(wrong):
    items, tokens = read(FIRST + wrong + SECOND + LAST + DONE)
    assert items[-1] == MALFORMED
    assert [item for item in items if item] == ['ab', MALFORMED]
    assert tokens == [97, 98]


# Guards against an event that is taken before all of it has arrived.
@pytest.mark.parametrize('cut', range(1, len(SECOND)))
def test_a_cut_event_is_not_taken(cut):
    items, tokens = read(FIRST + SECOND[:cut])
    assert items[0] == 'ab'
    assert isinstance(items[-1], Interrupted)
    assert tokens == [97, 98]


# Guards against a line without end, which was kept until the memory was full.
def test_a_line_without_end_interrupts_the_stream():
    stream = BytesIO(FIRST + b'data: ' + b'x' * 3 * MAX_LINE_BYTES)
    received = ReceivedTokens()
    items = list(received.read_stream(bounded_lines(stream)))
    assert items[0] == 'ab'
    assert 'longer than' in items[1].reason
    assert stream.tell() <= MAX_LINE_BYTES + len(FIRST) + 1


def test_an_error_event_ends_the_stream():
    error = b'{"error":{"code":"c","message":"m","run":"ran"}}'
    items, _ = read(FIRST + b'event: error\ndata: ' + error + b'\n\n')
    assert items[-1] == EntryError(code='c', message='m', run='ran')


# Guards against an error that quotes a whole body.
def test_an_unreadable_error_is_quoted_in_part():
    assert len(parse_error(b'x' * 1_000_000).message) == 1000
