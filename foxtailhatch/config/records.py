"""The records of the configuration stream and their codec.

A record is a CBOR array of its kind and its fields.  What cannot be decoded
is skipped by every reader alike, so that it decides nothing.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from foxtailhatch.config.coverage import Coverage
from foxtailhatch.core import Mark

CONFIGURATION_STREAM = 'configuration'


@dataclass(frozen=True, slots=True)
class Publication:
    """An operator's wish to replace version ``made_from`` by ``version``.

    ``document`` is JSON: the whole document, or only the changes if not
    ``whole``.  ``publication_id`` is chosen by the publisher and stays the
    same when it tries again.
    """

    version: int
    made_from: int
    publication_id: str
    document: bytes
    whole: bool = True


@dataclass(frozen=True, slots=True)
class MarkRecord:
    """A mark on an instance; the last one in the log counts.

    A record whose ``mark_id`` was seen before changes nothing, so that a
    late retry cannot undo a mark made after it.
    """

    mark_id: str
    instance: str
    mark: Mark


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """What all records up to offset ``through`` fold to.

    ``document`` is compressed.  It says nothing of records after ``through``, even of those that lie
    before the snapshot itself: a reader must still fold these.
    """

    through: int
    version: int
    document: bytes
    marks: tuple[MarkRecord, ...]
    mark_ids: tuple[str, ...] = ()
    decided: tuple[tuple[str, int], ...] = ()
    coverage: Coverage = field(default_factory=Coverage)


@dataclass(frozen=True, slots=True)
class Restoration:
    """An operator's statement of the whole truth after records were lost.

    It counts if its version is above every version known to the reader.
    """

    version: int
    publication_id: str
    document: bytes
    marks: tuple[MarkRecord, ...]


ConfigurationRecord = Publication | MarkRecord | SnapshotRecord | Restoration

KINDS: Mapping[str, type[ConfigurationRecord]] = {
    'publication': Publication,
    'mark': MarkRecord,
    'snapshot': SnapshotRecord,
    'restoration': Restoration,
}
_NAMES = {kind: name for name, kind in KINDS.items()}
_ADAPTERS: Mapping[str, TypeAdapter[Any]] = {
    name: TypeAdapter(kind) for name, kind in KINDS.items()
}


def encode_record(record: ConfigurationRecord) -> bytes:
    """Return the body of a log record.

    >>> mark = MarkRecord('m1', 'engine-7', Mark.LEAVE)
    >>> decode_record(encode_record(mark)).unwrap() == mark
    True
    """
    return cbor2.dumps([_NAMES[type(record)], asdict(record)])


def decode_record(body: bytes) -> Result[ConfigurationRecord, str]:
    """Return the record in ``body``, or a sentence on why it is none."""
    try:
        kind, fields = cbor2.loads(body)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        return Failure(f'The record is not a CBOR array of two: {exc}')
    adapter = _ADAPTERS.get(kind) if isinstance(kind, str) else None
    if adapter is None:
        return Failure(f'The record is of the unknown kind {kind!r}.')
    try:
        return Success(adapter.validate_python(fields))
    except ValidationError as exc:
        return Failure(f'The {kind} is malformed: {exc}')
