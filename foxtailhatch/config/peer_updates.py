"""Anti-entropy between entries: records, or the whole state.

An entry sends the missing records to a peer that lags behind.  The whole
state, which is larger, is sent only if some of these records are no longer
in the buffer of recent records.
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
    """Return the update for a peer with ``version`` in force.

    >>> fold = ConfigurationFold()
    >>> apply_peer_update(fold, encode_peer_update(fold, 0))
    []
    """
    records = fold.records_since(version)
    if records is None:
        snapshot = encode_record(make_snapshot(fold.export_state()))
        return cbor2.dumps([STATE, snapshot])
    rows = [[each.offset, each.time, each.body] for each in records]
    return cbor2.dumps([RECORDS, rows])


def apply_peer_update(
    fold: ConfigurationFold, raw: bytes
) -> list[ApplyOutcome]:
    """Apply the update of a peer; a stale or malformed one is ignored."""
    try:
        kind, payload = cbor2.loads(raw)
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return []
    if kind == RECORDS:
        return _apply_records(fold, payload)
    if kind == STATE and isinstance(payload, bytes):
        return _apply_state(fold, payload)
    return []


def _apply_records(
    fold: ConfigurationFold, payload: object
) -> list[ApplyOutcome]:
    try:
        rows = _RECORDS.validate_python(payload)
    except ValidationError:
        return []
    return list(fold.apply_records(LogRecord(*row) for row in rows))


def _apply_state(fold: ConfigurationFold, payload: bytes) -> list[ApplyOutcome]:
    record = decode_record(payload).value_or(None)
    if not isinstance(record, SnapshotRecord):
        return []
    state = restore_state(record)
    if not is_successful(state) or not fold.adopt_state(state.unwrap()):
        return []
    return [StateAdopted(record.version, record.through)]
