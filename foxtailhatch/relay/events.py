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
