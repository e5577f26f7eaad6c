"""Split a server-sent event stream into events and check their order."""

from dataclasses import dataclass

_ID_FIELD = b'id:'
# An event holds about two tokens of text, so a much larger one shows that the
# bytes are no event stream.
MAX_EVENT_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event, and the number from its ``id`` field, if any."""

    raw: bytes
    number: int | None


class EventSplitter:
    r"""Split a byte stream into complete events.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b'id: 1\ndata: a\n\nid: 2\n')]
    [1]
    >>> splitter.has_partial_event
    True
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._partial = b''

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event that is buffered."""
        return len(self._partial)

    @property
    def is_overlong(self) -> bool:
        """Return whether the incomplete event exceeds ``MAX_EVENT_BYTES``."""
        return len(self._partial) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that ``chunk`` completes."""
        buffered = self._partial + chunk
        events = []
        begin = 0
        while True:
            end = _event_end(buffered, begin)
            if end < 0:
                break
            events.append(_event(buffered[begin:end]))
            begin = end
        self._partial = buffered[begin:]
        return events


class EventSequencer:
    """Accept each numbered event once, and none after a gap in the numbers.

    >>> sequencer = EventSequencer(last=1)
    >>> sequencer.accept([StreamEvent(b'1', 1), StreamEvent(b'2', 2)])
    b'2'
    >>> sequencer.accept([StreamEvent(b'4', 4)]), sequencer.has_gap
    (b'', True)
    """

    def __init__(self, last: int | None) -> None:
        """Expect the event after ``last``, or any event if it is ``None``."""
        self.last = last
        self.has_gap = False

    def start_attempt(self) -> None:
        """Forget the gap of the previous attempt."""
        self.has_gap = False

    def accept(self, events: list[StreamEvent]) -> bytes:
        """Return the bytes of the events to forward."""
        return b''.join(event.raw for event in events if self._accept(event))

    def _accept(self, event: StreamEvent) -> bool:
        number = event.number
        if self.has_gap:
            return False
        if number is None:
            return True
        if self.last is not None and number > self.last + 1:
            self.has_gap = True
            return False
        is_new = self.last is None or number > self.last
        if is_new:
            self.last = number
        return is_new


def _event_end(buffered: bytes, begin: int) -> int:
    plain = buffered.find(b'\n\n', begin)
    if b'\r' not in buffered:
        return plain + 2 if plain >= 0 else -1
    marked = buffered.find(b'\r\n\r\n', begin)
    if marked >= 0 and (plain < 0 or marked < plain):
        return marked + 4
    return plain + 2 if plain >= 0 else -1


def _event(raw: bytes) -> StreamEvent:
    for line in raw.splitlines():
        if line.startswith(_ID_FIELD):
            number = line[len(_ID_FIELD) :].strip()
            if number.isdigit():
                return StreamEvent(raw, int(number))
    return StreamEvent(raw, None)
