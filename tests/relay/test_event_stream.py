from random import Random

import pytest

from foxtailhatch.relay.event_stream import (
    EventSequencer,
    EventSplitter,
    StreamEvent,
)
from foxtailhatch.relay.event_syntax import EventFault

WHOLE = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'


@pytest.mark.parametrize('size', range(1, len(WHOLE) + 1))
def test_chunk_size_does_not_change_the_events(size):
    splitter = EventSplitter()
    events = []
    for begin in range(0, len(WHOLE), size):
        events.extend(splitter.feed(WHOLE[begin : begin + size]))
    assert [event.number for event in events] == [1, 2]
    assert b''.join(event.raw for event in events) == WHOLE
    assert not splitter.has_partial_event


def test_lines_may_end_with_crlf():
    splitter = EventSplitter()
    raw = b'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n'
    events = splitter.feed(raw)
    assert [event.number for event in events] == [1, 2]
    assert b''.join(event.raw for event in events) == raw


def test_event_without_number_is_none():
    splitter = EventSplitter()
    assert splitter.feed(b'data: a\n\n') == []
    assert splitter.fault is EventFault.NO_NUMBER


def test_nothing_after_a_fault_is_an_event():
    splitter = EventSplitter()
    assert len(splitter.feed(b'id: 1\ndata: a\n\nxx\n' + WHOLE)) == 1
    assert splitter.feed(WHOLE) == []
    assert splitter.sample.startswith(b'xx')


def test_id_may_follow_the_field_of_the_protocol():
    event = b'x-versions: 2\nid: 7\ndata: a\n\n'
    assert EventSplitter(b'x-versions').feed(event)[0].number == 7
    assert EventSplitter().feed(event) == []


@pytest.mark.parametrize('begin', [b'data: ', b'id: 1\ndata: '])
def test_event_over_the_size_limit_is_overlong(begin):
    splitter = EventSplitter()
    splitter.feed(begin)
    assert splitter.feed(b'x' * 2_000_000) == []
    assert splitter.fault is EventFault.TOO_LONG


@pytest.mark.parametrize('begin', [b'HT', b'idd', b'\x00', b'data1', b'x: '])
def test_beginning_that_no_event_has_is_a_fault_at_once(begin):
    splitter = EventSplitter()
    splitter.feed(begin)
    assert splitter.fault is not None


@pytest.mark.parametrize(
    'begin', [b'i', b'id', b'id: ', b'dat', b'data', b'\r']
)
def test_beginning_of_an_event_is_no_fault(begin):
    splitter = EventSplitter()
    splitter.feed(begin)
    assert splitter.fault is None


# Guards against a search of all that is kept for each piece, which took the
# processor for seconds.
def test_long_event_in_small_pieces_is_read_once():
    searched = []

    class CountingBuffer(bytearray):
        def find(self, needle, begin=0):
            searched.append(len(self) - begin)
            return super().find(needle, begin)

    splitter = EventSplitter()
    splitter._buffer = CountingBuffer()
    splitter.feed(b'data: ')
    pieces = 2_000
    for _ in range(pieces):
        splitter.feed(b'x' * 50)
    assert sum(searched) <= pieces * 50 + len(b'data: ')


def test_stream_has_no_event_beyond_its_limit():
    sequencer = EventSequencer(None, limit=2)
    events = [StreamEvent(b'%d' % number, number) for number in range(1, 5)]
    assert sequencer.accept(events) == b'12'
    assert sequencer.fault is EventFault.TOO_MANY


@pytest.mark.parametrize('seed', range(20))
def test_usual_and_other_events_are_split_alike(seed):
    """The pattern for usual events must not accept what the lines refuse."""
    random = Random(seed)
    parts = (
        b'id: 7\n',
        b'id: 08\n',
        b'id:9\n',
        b'id: 1234567890123456789\n',
        b'data: a\n',
        b'data:\n',
        b'data\n',
        b'data: \0\n',
        b'data: b\r\n',
        b'note: c\n',
        b'\n',
        b'\r\n',
    )
    for _ in range(200):
        raw = b''.join(random.choices(parts, k=random.randint(1, 8)))
        whole, single = EventSplitter(b'note'), EventSplitter(b'note')
        events = whole.feed(raw)
        assert events == [
            event
            for at in range(len(raw))
            for event in single.feed(raw[at : at + 1])
        ]
        assert (whole.fault is None) is (single.fault is None)
        assert whole.has_partial_event == single.has_partial_event
