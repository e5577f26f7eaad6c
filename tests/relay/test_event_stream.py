import pytest

from foxtailhatch.relay.event_stream import EventSplitter

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
    events = EventSplitter().feed(b'id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n')
    assert [event.number for event in events] == [1, 2]


def test_event_without_number():
    assert EventSplitter().feed(b'data: a\n\n')[0].number is None


def test_id_may_follow_another_field():
    event = EventSplitter().feed(b'x-versions: 2\nid: 7\ndata: a\n\n')[0]
    assert event.number == 7


def test_event_over_the_size_limit_is_overlong():
    splitter = EventSplitter()
    splitter.feed(b'x' * 2_000_000)
    assert splitter.is_overlong
