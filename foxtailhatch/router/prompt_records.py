"""Records about parts of prompts that entries share in the log.

All entries read them: which prompts were lost in a crash, which parts are
known to be sound, and which are quarantined.  Fields after those known here are
those of a later build, and are ignored.  The last kind is kept under a key
of its own for each part, so that an entry that has just started finds it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from foxtailhatch.recovery.crash_suspects import LostPrompt

LOST_PREFIX = 'lost/'
SOUND_PREFIX = 'sound/'
PART_PREFIX = 'part/'
PREFIXES = (LOST_PREFIX, SOUND_PREFIX, PART_PREFIX)
# Bounds on what one record may name.
MAX_PROMPTS = 32
MAX_PARTS = 64
MAX_REQUESTS = 128

_DECODE_ERRORS = (ValueError, TypeError, IndexError)


@dataclass(frozen=True, slots=True)
class LostRecord:
    """What an entry lost when an endpoint's incarnation crashed.

    ``requests`` are the fingerprints of the requests that were about to begin.
    A crash that is not ``is_confirmed`` may be a fault of the entry's own links.
    """

    endpoint: str
    incarnation: int
    prompts: tuple[LostPrompt, ...]
    requests: tuple[str, ...] = ()
    is_confirmed: bool = True

    def encode(self) -> bytes:
        """Return the value of the record."""
        prompts = [
            [prompt.own, *prompt.parts] for prompt in self.prompts[:MAX_PROMPTS]
        ]
        requests = self.requests[:MAX_REQUESTS]
        fields = [self.endpoint, self.incarnation, prompts, requests]
        return orjson.dumps(fields if self.is_confirmed else [*fields, False])


@dataclass(frozen=True, slots=True)
class SoundRecord:
    """Parts that requests have begun with, and how many seconds ago."""

    ages_s: dict[str, float]

    def encode(self) -> bytes:
        """Return the value of the record."""
        return orjson.dumps(list(self.ages_s.items())[:MAX_PARTS])


@dataclass(frozen=True, slots=True)
class PartRecord:
    """A quarantined part, the number of its trials, and who began the last."""

    part: str
    trials: int
    entry: str

    def encode(self) -> bytes:
        """Return the value of the record."""
        return orjson.dumps([self.part, self.trials, self.entry])


PromptRecord = LostRecord | SoundRecord | PartRecord


def is_prompt_key(key: str) -> bool:
    """Return whether a key is that of a record about prompts.

    >>> is_prompt_key('part/5c'), is_prompt_key('i-1')
    (True, False)
    """
    return key.startswith(PREFIXES)


def decode_prompt_record(key: str, raw: bytes) -> Result[PromptRecord, str]:
    """Return the record with this key and value, or why it is malformed."""
    try:
        return Success(_decoder(key)(orjson.loads(raw)))
    except _DECODE_ERRORS as exc:
        return Failure(str(exc))


def _decoder(key: str) -> Callable[[Any], PromptRecord]:
    if key.startswith(LOST_PREFIX):
        return _lost
    return _sound if key.startswith(SOUND_PREFIX) else _part


def _lost(fields: Any) -> LostRecord:
    endpoint, incarnation, prompts, *further = fields
    return LostRecord(
        str(endpoint),
        int(incarnation),
        tuple(
            LostPrompt(str(own), tuple(map(str, parts[:MAX_PARTS])))
            for own, *parts in prompts[:MAX_PROMPTS]
        ),
        tuple(map(str, further[0][:MAX_REQUESTS])) if further else (),
        is_confirmed=further[1:2] != [False],
    )


def _sound(fields: Any) -> SoundRecord:
    return SoundRecord(
        {
            str(part): max(0, float(age_s))
            for part, age_s, *_ in fields[:MAX_PARTS]
        }
    )


def _part(fields: Any) -> PartRecord:
    part, trials, entry, *_ = fields
    return PartRecord(str(part), int(trials), str(entry))
