"""Reading of a streamed completion (server-sent events)."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from http.client import HTTPException

from pydantic import BaseModel, ValidationError

from foxtailhatch.cli.client import EntryError, ErrorEnvelope

DATA_PREFIX = b'data: '
DONE_EVENT = b'[DONE]'


class Choice(BaseModel):
    """The text and tokens that an event adds to the completion."""

    text: str
    tokens: tuple[int, ...]
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


StreamEnd = Completed | Interrupted | EntryError


@dataclass(slots=True)
class ReceivedTokens:
    """The tokens of a completion received so far, from all entries."""

    tokens: list[int] = field(default_factory=list)

    def read_stream(self, lines: Iterable[bytes]) -> Iterator[str | StreamEnd]:
        """Yield each text of a stream as it arrives, then how it ended."""
        try:
            yield from self._read_events(lines)
        except (OSError, HTTPException) as exc:
            yield Interrupted(str(exc) or type(exc).__name__)

    def _read_events(self, lines: Iterable[bytes]) -> Iterator[str | StreamEnd]:
        for line in lines:
            event = line.rstrip(b'\r\n').removeprefix(DATA_PREFIX)
            if event == DONE_EVENT:
                yield Completed()
                return
            if line.startswith(DATA_PREFIX):
                item = self._add_chunk(event)
                yield item
                if not isinstance(item, str):
                    return
        yield Interrupted('connection closed before the end of the stream')

    def _add_chunk(self, event: bytes) -> str | StreamEnd:
        try:
            chunk = Chunk.model_validate_json(event)
        except ValidationError:
            return _parse_error_event(event)
        choice = chunk.choices[0]
        self.tokens.extend(choice.tokens)
        return choice.text


def _parse_error_event(event: bytes) -> StreamEnd:
    try:
        return ErrorEnvelope.model_validate_json(event).error
    except ValidationError:
        return Interrupted('malformed event in the stream')
