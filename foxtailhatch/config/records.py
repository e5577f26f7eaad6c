"""The records of the configuration stream and their codec.

A record is a CBOR array of its kind and its fields.  Every reader skips
records that cannot be decoded, so that all readers reach the same state.
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
    """A proposal to replace version ``made_from`` by ``version``.

    ``document`` is JSON: the whole configuration, or only the changes if
    ``whole`` is false.  ``publication_id`` is an idempotency key: the
    publisher chooses it and sends it again with each retry.
    """

    version: int
    made_from: int
    publication_id: str
    document: bytes
    whole: bool = True


@dataclass(frozen=True, slots=True)
class MarkRecord:
    """A mark of an instance; the last one in the log is in effect.

    A record with a ``mark_id`` that was folded before is ignored.  Otherwise
    a late retry would undo a mark that was set after the first attempt.
    """

    mark_id: str
    instance: str
    mark: Mark


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """The state after all records up to and including offset ``through``.

    ``document`` is compressed with zlib.  Records between ``through`` and the
    offset of the snapshot itself are not covered: a reader must fold them.
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
    """A whole configuration that an operator restores after lost records.

    It takes effect if its version is above the version in force.
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
    """Return ``record`` as the body of a log record.

    >>> mark = MarkRecord('m1', 'engine-7', Mark.LEAVE)
    >>> decode_record(encode_record(mark)).unwrap() == mark
    True
    """
    return cbor2.dumps([_NAMES[type(record)], asdict(record)])


def decode_record(body: bytes) -> Result[ConfigurationRecord, str]:
    """Return the record in ``body``, or an error message."""
    try:
        kind, fields = cbor2.loads(body)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        return Failure(f'expected a CBOR array of kind and fields: {exc}')
    adapter = _ADAPTERS.get(kind) if isinstance(kind, str) else None
    if adapter is None:
        return Failure(f'unknown record kind {kind!r}')
    try:
        return Success(adapter.validate_python(fields))
    except ValidationError as exc:
        return Failure(f'malformed {kind} record: {exc}')
