"""Events of a stream: whole ones are passed on, with their identifiers."""

from dataclasses import dataclass

_ID_FIELD = b'id:'
# An event is two tokens of text; far larger ones are no event stream.
MAX_EVENT_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event, and its number if it has one."""

    raw: bytes
    number: int | None


class EventSplitter:
    r"""Cut a byte stream into whole events.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b'id: 1\ndata: a\n\nid: 2\n')]
    [1]
    >>> splitter.has_rest
    True
    """

    def __init__(self) -> None:
        """Start between two events."""
        self._rest = b''

    @property
    def has_rest(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return bool(self._rest)

    @property
    def is_overlong(self) -> bool:
        """Tell whether the event that has begun is too long to be one."""
        return len(self._rest) > MAX_EVENT_BYTES

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Return the events that ``piece`` completes."""
        buffered = self._rest + piece
        events = []
        begin = 0
        while True:
            end = _event_end(buffered, begin)
            if end < 0:
                break
            events.append(_event(buffered[begin:end]))
            begin = end
        self._rest = buffered[begin:]
        return events


class EventOrder:
    """Pass each numbered event on once, and none after a missing one.

    >>> order = EventOrder(last=1)
    >>> order.take([StreamEvent(b'1', 1), StreamEvent(b'2', 2)])
    b'2'
    >>> order.take([StreamEvent(b'4', 4)]), order.misses_event
    (b'', True)
    """

    def __init__(self, last: int | None) -> None:
        """Begin after the event ``last``; with ``None`` at any event."""
        self.last = last
        self.misses_event = False

    def begin_run(self) -> None:
        """Begin to take the events of another run."""
        self.misses_event = False

    def take(self, events: list[StreamEvent]) -> bytes:
        """Return what is to be passed on of the events that have come."""
        return b''.join(event.raw for event in events if self._passes(event))

    def _passes(self, event: StreamEvent) -> bool:
        number = event.number
        if self.misses_event:
            return False
        if number is None:
            return True
        if self.last is not None and number > self.last + 1:
            self.misses_event = True
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
