"""What one entry tells another that is behind: records, or the whole state.

Records are as small as the changes they carry.  The whole state is sent only
to an entry that is further behind than the newest records reach.
"""

from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError
from returns.pipeline import is_successful

from foxtailhatch.config.fold import (
    ApplyOutcome,
    ConfigurationFold,
    StateAdopted,
)
from foxtailhatch.config.records import (
    SnapshotRecord,
    decode_record,
    encode_record,
)
from foxtailhatch.config.state import make_snapshot, restore_state
from foxtailhatch.outside import LogRecord

RECORDS = 'records'
STATE = 'state'

_RECORDS: TypeAdapter[Any] = TypeAdapter(tuple[tuple[int, float, bytes], ...])


def encode_peer_update(fold: ConfigurationFold, version: int) -> bytes:
    """Return what a peer lacks that has ``version`` in force.

    >>> fold = ConfigurationFold()
    >>> apply_peer_update(fold, encode_peer_update(fold, 0))
    []
    """
    records = fold.records_since(version)
    if records is None:
        snapshot = encode_record(make_snapshot(fold.export_state()))
        return cbor2.dumps([STATE, snapshot])
    lines = [[each.offset, each.time, each.body] for each in records]
    return cbor2.dumps([RECORDS, lines])


def apply_peer_update(
    fold: ConfigurationFold, raw: bytes
) -> list[ApplyOutcome]:
    """Take in what a peer told; what is stale or malformed does nothing."""
    try:
        kind, told = cbor2.loads(raw)
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return []
    if kind == RECORDS:
        return _take_records(fold, told)
    if kind == STATE and isinstance(told, bytes):
        return _take_state(fold, told)
    return []


def _take_records(fold: ConfigurationFold, told: object) -> list[ApplyOutcome]:
    try:
        lines = _RECORDS.validate_python(told)
    except ValidationError:
        return []
    return list(fold.apply_records(LogRecord(*line) for line in lines))


def _take_state(fold: ConfigurationFold, told: bytes) -> list[ApplyOutcome]:
    record = decode_record(told).value_or(None)
    if not isinstance(record, SnapshotRecord):
        return []
    state = restore_state(record)
    if not is_successful(state) or not fold.adopt_state(state.unwrap()):
        return []
    return [StateAdopted(record.version, record.through)]
