"""Reading of a streamed completion (server-sent events)."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from http.client import HTTPException
from typing import Protocol

from pydantic import BaseModel, ConfigDict, ValidationError

from foxtailhatch.callers.request_bodies import TokenId
from foxtailhatch.cli.client import EntryError, ErrorEnvelope

DATA_PREFIX = b'data: '
ID_PREFIX = b'id: '
ERROR_LINE = b'event: error'
DONE_EVENT = b'[DONE]'
MAX_LINE_BYTES = 1_048_576


class LineReader(Protocol):
    """A stream that is read line by line."""

    def readline(self, limit: int = -1, /) -> bytes:
        """Return a line, or its beginning of ``limit`` bytes."""


class Choice(BaseModel):
    """The text and tokens that an event adds to the completion."""

    model_config = ConfigDict(strict=True)

    text: str
    tokens: tuple[TokenId, ...]
    finish_reason: str | None = None


class Chunk(BaseModel):
    """An event of a streamed completion."""

    choices: tuple[Choice]


@dataclass(frozen=True, slots=True)
class Completed:
    """The completion is complete."""


@dataclass(frozen=True, slots=True)
class Interrupted:
    """The stream ended before the completion was complete."""

    reason: str


MALFORMED = Interrupted('malformed event in the stream')
StreamEnd = Completed | Interrupted | EntryError


@dataclass(slots=True)
class ReceivedTokens:
    """The tokens of a completion received so far, from all entries."""

    tokens: list[int] = field(default_factory=list)

    def read_stream(self, lines: Iterable[bytes]) -> Iterator[str | StreamEnd]:
        """Yield each text of a stream as it arrives, then how it ended.

        Only the event with the tokens that follow those received is taken, and
        ``[DONE]`` only after the finish reason.  All else interrupts the stream.
        """
        try:
            yield from self._read_events(lines)
        except (OSError, HTTPException) as exc:
            yield Interrupted(str(exc) or type(exc).__name__)

    def _read_events(self, lines: Iterable[bytes]) -> Iterator[str | StreamEnd]:
        event = _Event()
        for line in lines:
            text = line.rstrip(b'\r\n')
            if text:
                if not event.add(text):
                    yield MALFORMED
                    return
                continue
            item = self._take(event)
            yield item
            if not isinstance(item, str):
                return
            event = _Event(is_last=event.is_last)
        yield Interrupted('connection closed before the end of the stream')

    def _take(self, event: '_Event') -> str | StreamEnd:
        if event.payload == DONE_EVENT:
            return Completed() if event.is_last else MALFORMED
        try:
            chunk = Chunk.model_validate_json(event.payload)
        except ValidationError:
            return _parse_error_event(event.payload)
        choice = chunk.choices[0]
        if event.is_last or not self._follows(choice, event.number):
            return MALFORMED
        event.is_last = choice.finish_reason is not None
        self.tokens.extend(choice.tokens)
        return choice.text

    def _follows(self, choice: Choice, number: bytes) -> bool:
        """Return whether an event has the next tokens, or the finish reason."""
        if not choice.tokens:
            return choice.finish_reason is not None
        last = len(self.tokens) + len(choice.tokens) - 1
        return number == b'%d' % last


@dataclass(slots=True)
class _Event:
    """The fields of an event; ``is_last`` after the finish reason."""

    payload: bytes = b''
    number: bytes = b''
    is_last: bool = False

    def add(self, line: bytes) -> bool:
        """Add a line; return whether it is one of the entries' fields."""
        if line.startswith(DATA_PREFIX) and not self.payload:
            self.payload = line.removeprefix(DATA_PREFIX)
            return True
        if line.startswith(ID_PREFIX) and not self.number:
            self.number = line.removeprefix(ID_PREFIX)
            return True
        return line == ERROR_LINE


def bounded_lines(stream: LineReader) -> Iterator[bytes]:
    """Yield the complete lines of a stream, each of bounded length.

    Raise :class:`HTTPException` at one that is too long.
    """
    while line := stream.readline(MAX_LINE_BYTES + 1):
        if len(line) > MAX_LINE_BYTES:
            raise HTTPException(
                f'a line of the stream is longer than {MAX_LINE_BYTES} bytes',
            )
        if line.endswith(b'\n'):
            yield line


def _parse_error_event(event: bytes) -> StreamEnd:
    try:
        return ErrorEnvelope.model_validate_json(event).error
    except ValidationError:
        return MALFORMED
