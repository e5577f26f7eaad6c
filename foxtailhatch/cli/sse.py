"""Reading a streamed answer and keeping what was received."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from http.client import HTTPException

from pydantic import BaseModel, ValidationError

from foxtailhatch.cli.client import EntryError, ErrorEnvelope

DATA = b'data: '
LAST = b'[DONE]'


class Choice(BaseModel):
    """What one event adds to the answer."""

    text: str
    tokens: tuple[int, ...]
    finish_reason: str | None = None


class Chunk(BaseModel):
    """One event of a streamed answer."""

    choices: tuple[Choice]


@dataclass(frozen=True, slots=True)
class Whole:
    """The answer is complete."""


@dataclass(frozen=True, slots=True)
class Dropped:
    """The stream ended before the answer was complete."""

    reason: str


Ending = Whole | Dropped | EntryError


@dataclass(slots=True)
class Received:
    """The tokens of an answer so far, over all entries asked for it."""

    tokens: list[int] = field(default_factory=list)

    def follow(self, lines: Iterable[bytes]) -> Iterator[str | Ending]:
        """Yield each text of a stream as it comes, and last its ending."""
        try:
            yield from self._follow(lines)
        except (OSError, HTTPException) as exc:
            yield Dropped(str(exc) or type(exc).__name__)

    def _follow(self, lines: Iterable[bytes]) -> Iterator[str | Ending]:
        for line in lines:
            event = line.rstrip(b'\r\n').removeprefix(DATA)
            if event == LAST:
                yield Whole()
                return
            if line.startswith(DATA):
                taken = self._take(event)
                yield taken
                if not isinstance(taken, str):
                    return
        yield Dropped('The connection closed.')

    def _take(self, event: bytes) -> str | Ending:
        try:
            chunk = Chunk.model_validate_json(event)
        except ValidationError:
            return _error(event)
        choice = chunk.choices[0]
        self.tokens.extend(choice.tokens)
        return choice.text


def _error(event: bytes) -> Ending:
    try:
        return ErrorEnvelope.model_validate_json(event).error
    except ValidationError:
        return Dropped('An event is not understood.')
