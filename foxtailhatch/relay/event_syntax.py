"""The lines of one event of a stream, as the endpoints' protocol describes it.

An event has one ``id`` field with its number, one or more ``data`` fields, and
as its first line at most one field of the protocol's own.  Its lines end with a
line feed, all or none of them with a carriage return before it.  Readers of event
streams treat a carriage return alone as the end of a line too, and take the last
of several ``id`` fields; no event here has either, so that all readers see the
same events.
"""

from enum import StrEnum

# A longer number is none that a stream can reach by counting.
MAX_NUMBER_DIGITS = 18
_RETURN = b'\r'
_NUL = b'\0'
_NAMES = frozenset((b'id', b'data'))


class EventFault(StrEnum):
    """Why received bytes are not the next event of a stream."""

    UNKNOWN_FIELD = 'unknown field'
    BARE_RETURN = 'carriage return inside a line'
    NUL = 'NUL byte'
    MIXED_ENDS = 'different line ends'
    BAD_NUMBER = 'bad event number'
    SEVERAL_NUMBERS = 'several event numbers'
    NO_NUMBER = 'no event number'
    NO_DATA = 'no data'
    REPEATED = 'event repeated'
    MISSING = 'event missing'
    TOO_MANY = 'too many events'
    TOO_LONG = 'event too long'


_FORBIDDEN = {_RETURN: EventFault.BARE_RETURN, _NUL: EventFault.NUL}


class EventLines:
    """Check the lines of one event as they arrive.

    >>> lines = EventLines(first_field=b'x-versions')
    >>> for line in (b'x-versions: 2', b'id: 7', b'data: a'):
    ...     assert lines.add(line) is None
    >>> lines.end(b''), lines.number
    (None, 7)
    """

    def __init__(self, first_field: bytes = b'') -> None:
        """Start an event; ``first_field`` may stand in its first line."""
        self.number: int | None = None
        self._first_field = first_field
        self._has_data = False
        self._is_first = True
        self._has_returns = False

    def add(self, line: bytes) -> EventFault | None:
        """Add a line without its line feed; return why it is none, if so."""
        text = line.removesuffix(_RETURN)
        for byte, forbidden in _FORBIDDEN.items():
            if byte in text:
                return forbidden
        has_return = len(text) < len(line)
        if self._is_first:
            self._has_returns = has_return
        elif has_return is not self._has_returns:
            return EventFault.MIXED_ENDS
        return self._add_field(text)

    def _add_field(self, line: bytes) -> EventFault | None:
        name, _, content = line.partition(b':')
        text = content.removeprefix(b' ')
        fault = None
        if name == b'data':
            self._has_data = True
        elif name == b'id':
            fault = self._set_number(text)
        elif not self._is_own_field(name, text):
            fault = EventFault.UNKNOWN_FIELD
        self._is_first = False
        return fault

    def end(self, line: bytes) -> EventFault | None:
        """Add the empty line; return what the event lacks, if anything."""
        if bool(line) is not self._has_returns:
            return (
                EventFault.NO_NUMBER
                if self._is_first
                else EventFault.MIXED_ENDS
            )
        if self.number is None:
            return EventFault.NO_NUMBER
        return None if self._has_data else EventFault.NO_DATA

    def may_begin(self, partial: bytes) -> bool:
        """Return whether the beginning of a line may become a field."""
        name, colon, _ = partial.partition(b':')
        names = _NAMES | {self._first_field} if self._is_first else _NAMES
        if colon:
            return name in names
        name = name.removesuffix(_RETURN)
        return any(known.startswith(name) for known in names)

    def _is_own_field(self, name: bytes, text: bytes) -> bool:
        """Return whether a line is the protocol's own field, with a number."""
        is_named = bool(name) and name == self._first_field
        return self._is_first and is_named and text.strip().isdigit()

    def _set_number(self, digits: bytes) -> EventFault | None:
        if self.number is not None:
            return EventFault.SEVERAL_NUMBERS
        if not digits.isdigit() or len(digits) > MAX_NUMBER_DIGITS:
            return EventFault.BAD_NUMBER
        number = int(digits)
        # Another spelling is another identifier to the reader of the stream.
        if digits != b'%d' % number:
            return EventFault.BAD_NUMBER
        self.number = number
        return None
