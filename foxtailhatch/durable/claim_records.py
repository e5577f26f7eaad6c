"""The records of the claim streams and their codec.

One append carries a batch of records.  A record is a CBOR array of its
kind's number and its fields in order, which keeps a claim near 100 bytes.
"""

from collections.abc import Sequence
from dataclasses import dataclass, fields
from typing import Any

import cbor2
from pydantic import TypeAdapter
from returns.result import Failure, Result, Success

from foxtailhatch.core import RunState

MAX_KEPT_BODY_BYTES = 2048


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """A key of one client account."""

    account: str
    key: str


@dataclass(frozen=True, slots=True)
class Claim:
    """An entry's claim to run the request under a key.

    ``digest`` is of the request.  ``seen`` is the offset up to which the
    entry had read the stream when the request arrived.  ``parts`` is the
    number of claim streams that the entry splits keys over.
    """

    claim_id: str
    owner: KeyOwner
    digest: bytes
    seen: int
    partitions: int


@dataclass(frozen=True, slots=True)
class Abandon:
    """The claimant's own word that it has not sent and never will."""

    claim_id: str
    owner: KeyOwner


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of a request: an answer, or that it is unknown.

    ``kept`` is false when the body was too large to keep.
    """

    run: RunState
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    kept: bool = True


@dataclass(frozen=True, slots=True)
class Done:
    """The claimant's account of what came of its request."""

    claim_id: str
    owner: KeyOwner
    outcome: Outcome


ClaimRecord = Claim | Abandon | Done
_KINDS: tuple[type[ClaimRecord], ...] = (Claim, Abandon, Done)
_MALFORMED = (cbor2.CBORDecodeError, ValueError, TypeError, LookupError)
_ADAPTERS: tuple[TypeAdapter[Any], ...] = tuple(map(TypeAdapter, _KINDS))


def encode_batch(records: Sequence[ClaimRecord]) -> bytes:
    """Return the body of one append.

    >>> batch = [Abandon('entry-1:4', KeyOwner('ward', '1796356800-a'))]
    >>> decode_batch(encode_batch(batch)).unwrap() == tuple(batch)
    True
    """
    return cbor2.dumps(
        [[_KINDS.index(type(record)), *_flat(record)] for record in records],
    )


def decode_batch(body: bytes) -> Result[tuple[ClaimRecord, ...], str]:
    """Return the records of one append, or why there are none."""
    try:
        return Success(tuple(_record(line) for line in cbor2.loads(body)))
    except _MALFORMED as exc:
        return Failure(f'The batch is malformed: {exc}')


def bounded(outcome: Outcome) -> Outcome:
    """Return the outcome without its body if that is too large to keep."""
    if len(outcome.body) <= MAX_KEPT_BODY_BYTES:
        return outcome
    return Outcome(
        outcome.run,
        outcome.status,
        outcome.content_type,
        kept=False,
    )


def _flat(record: object) -> list[Any]:
    """Return the fields of a data class, those inside it as arrays."""
    flat: list[Any] = []
    for field in fields(record):  # type: ignore[arg-type]
        part = getattr(record, field.name)
        nested = isinstance(part, (KeyOwner, Outcome))
        flat.append(_flat(part) if nested else part)
    return flat


def _record(line: list[Any]) -> ClaimRecord:
    kind = _KINDS[line[0]]
    named = _named(kind, line[1:])
    named['owner'] = _named(KeyOwner, named['owner'])
    if kind is Done:
        named['outcome'] = _named(Outcome, named['outcome'])
    record: ClaimRecord = _ADAPTERS[line[0]].validate_python(named)
    return record


def _named(kind: type, line: list[Any]) -> dict[str, Any]:
    names = [field.name for field in fields(kind)]
    return dict(zip(names, line, strict=True))
