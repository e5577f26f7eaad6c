"""Split an event stream into events, and accept each as the next one only."""

import re
from dataclasses import dataclass

from foxtailhatch.relay.event_syntax import EventFault, EventLines

# An event holds about two tokens of text, so a much larger one shows that the
# bytes are no event stream.
MAX_EVENT_BYTES = 1_048_576
# Streams are numbered from one on (PROTOCOL.md, on ``Last-Event-Id``).
FIRST_EVENT = 1
# Bytes of a malformed event that are kept for the log.
SAMPLE_BYTES = 48
_LINE_FEED = b'\n'
_EMPTY_LINES = frozenset((b'', b'\r'))
# The usual form of an event, which needs no look at each line.  All other forms
# are left to ``EventLines``; what matches here is sound by its rules too.
_USUAL_EVENT = re.compile(
    rb'id: (0|[1-9][0-9]{0,17})\n(?:data:[^\r\n\0]*\n)+\n'
)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event, and its number."""

    raw: bytes
    number: int


class EventSplitter:
    r"""Split a byte stream into complete events, up to the first fault.

    Each byte is looked at once, however small the pieces are.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b'id: 1\ndata: a\n\nid: 2\n')]
    [1]
    >>> splitter.has_partial_event, splitter.fault
    (True, None)
    >>> splitter.feed(b'HTTP/1.1 200 OK\n')
    []
    >>> splitter.fault.value
    'unknown field'
    """

    def __init__(self, first_field: bytes = b'') -> None:
        """Start with an empty buffer.

        ``first_field`` may stand in the first line of an event.
        """
        self.fault: EventFault | None = None
        self._first_field = first_field
        self._lines = EventLines(first_field)
        self._buffer = bytearray()
        # Offsets in the buffer: of the current line, and up to where it was
        # searched for its end.
        self._line_at = 0
        self._searched = 0

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event that is buffered."""
        return len(self._buffer)

    @property
    def sample(self) -> bytes:
        """Return the first bytes of the incomplete or malformed event."""
        return bytes(self._buffer[:SAMPLE_BYTES])

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that ``chunk`` completes; none after a fault."""
        if self.fault is not None:
            return []
        usual = None if self._buffer else _usual_events(chunk)
        return self._feed_lines(chunk) if usual is None else usual

    def _feed_lines(self, chunk: bytes) -> list[StreamEvent]:
        events: list[StreamEvent] = []
        self._buffer += chunk
        begin = 0
        while self.fault is None:
            end = self._buffer.find(_LINE_FEED, self._searched)
            if end < 0:
                break
            line = bytes(self._buffer[self._line_at : end])
            self._line_at = end + 1
            self._searched = self._line_at
            if self._add_line(line):
                events.append(self._take_event(begin))
                begin = self._line_at
        self._drop(begin)
        self._check_partial()
        return events

    def _add_line(self, line: bytes) -> bool:
        """Check a line; return whether it completes an event."""
        is_end = line in _EMPTY_LINES
        check = self._lines.end if is_end else self._lines.add
        self.fault = check(line)
        return is_end and self.fault is None

    def _take_event(self, begin: int) -> StreamEvent:
        number = self._lines.number
        self._lines = EventLines(self._first_field)
        raw = bytes(self._buffer[begin : self._line_at])
        return StreamEvent(raw, number or 0)

    def _drop(self, size: int) -> None:
        """Drop the events at the beginning of the buffer."""
        if size:
            self._buffer = self._buffer[size:]
            self._line_at -= size
        self._searched = len(self._buffer)

    def _check_partial(self) -> None:
        """Check what has come of the current line, and the size so far."""
        if self.fault is not None:
            return
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.fault = EventFault.TOO_LONG
        sample_end = self._line_at + SAMPLE_BYTES
        begin = bytes(self._buffer[self._line_at : sample_end])
        if begin and not self._lines.may_begin(begin):
            self.fault = EventFault.UNKNOWN_FIELD


def _usual_events(chunk: bytes) -> list[StreamEvent] | None:
    """Return the events of a chunk that holds complete usual ones only."""
    events = []
    begin = 0
    while begin < len(chunk):
        match = _USUAL_EVENT.match(chunk, begin)
        if match is None:
            return None
        begin = match.end()
        events.append(StreamEvent(match.group(), int(match.group(1))))
    return events


class EventSequencer:
    """Accept the events of a stream in order, up to the first fault.

    ``rejected`` holds the first bytes of the event with the fault.

    >>> sequencer = EventSequencer(last=1)
    >>> sequencer.accept([StreamEvent(b'2', 2), StreamEvent(b'4', 4)])
    b'2'
    >>> sequencer.fault.value, sequencer.last
    ('event missing', 2)
    """

    def __init__(self, last: int | None, limit: int | None = None) -> None:
        """Expect the event after ``last``, or the first one, up to ``limit``."""
        self.last = last
        self.fault: EventFault | None = None
        self.rejected = b''
        self._limit = limit

    def start_attempt(self) -> None:
        """Forget the fault of the previous attempt."""
        self.fault = None
        self.rejected = b''

    def accept(self, events: list[StreamEvent]) -> bytes:
        """Return the bytes of the events to forward."""
        return b''.join(event.raw for event in events if self._accept(event))

    def _accept(self, event: StreamEvent) -> bool:
        if self.fault is not None:
            return False
        self.fault = self.fault_of(event.number)
        if self.fault is None:
            self.last = event.number
            return True
        self.rejected = event.raw[:SAMPLE_BYTES]
        return False

    def fault_of(self, number: int) -> EventFault | None:
        """Return why the event of a number is not the next one, if so."""
        expected = FIRST_EVENT if self.last is None else self.last + 1
        if number < expected:
            return EventFault.REPEATED
        if number > expected:
            return EventFault.MISSING
        is_beyond = self._limit is not None and number > self._limit
        return EventFault.TOO_MANY if is_beyond else None
