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
    """An idempotency key within the client account that sent it."""

    account: str
    key: str


@dataclass(frozen=True, slots=True)
class Claim:
    """An entry's claim to run the request under a key.

    ``digest`` identifies the request.  ``read_offset`` is the offset up to
    which the entry had read the stream when the request arrived.
    ``partitions`` is the number of streams that the entry partitions keys
    over.
    """

    claim_id: str
    owner: KeyOwner
    digest: bytes
    read_offset: int
    partitions: int


@dataclass(frozen=True, slots=True)
class Abandon:
    """The claimant's statement that it did not and will not send."""

    claim_id: str
    owner: KeyOwner


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a request: a response, or that it is unknown.

    ``kept`` is false if the body was too large to store.
    """

    run: RunState
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    kept: bool = True


@dataclass(frozen=True, slots=True)
class Done:
    """The outcome of a request as its claimant recorded it."""

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
        [
            [_KINDS.index(type(record)), *_field_values(record)]
            for record in records
        ],
    )


def decode_batch(body: bytes) -> Result[tuple[ClaimRecord, ...], str]:
    """Return the records of one append, or why they can't be decoded."""
    try:
        return Success(
            tuple(_decode_record(values) for values in cbor2.loads(body))
        )
    except _MALFORMED as exc:
        return Failure(f'expected a CBOR array of claim records: {exc}')


def without_large_body(outcome: Outcome) -> Outcome:
    """Return the outcome, without its body if that is too large to store."""
    if len(outcome.body) <= MAX_KEPT_BODY_BYTES:
        return outcome
    return Outcome(
        outcome.run,
        outcome.status,
        outcome.content_type,
        kept=False,
    )


def _field_values(record: object) -> list[Any]:
    """Return the field values in order, nested data classes as arrays."""
    values: list[Any] = []
    for field in fields(record):  # type: ignore[arg-type]
        value = getattr(record, field.name)
        nested = isinstance(value, (KeyOwner, Outcome))
        values.append(_field_values(value) if nested else value)
    return values


def _decode_record(values: list[Any]) -> ClaimRecord:
    kind = _KINDS[values[0]]
    by_name = _fields_by_name(kind, values[1:])
    by_name['owner'] = _fields_by_name(KeyOwner, by_name['owner'])
    if kind is Done:
        by_name['outcome'] = _fields_by_name(Outcome, by_name['outcome'])
    record: ClaimRecord = _ADAPTERS[values[0]].validate_python(by_name)
    return record


def _fields_by_name(kind: type, values: list[Any]) -> dict[str, Any]:
    names = [field.name for field in fields(kind)]
    return dict(zip(names, values, strict=True))
