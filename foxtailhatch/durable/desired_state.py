"""The desired holdings of endpoints, written to the log by the lease holder.

All entries read them and give an endpoint no new work outside its desired
holdings, so that it drains before it is ordered to change.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from foxtailhatch.core import Holding, LayerRange
from foxtailhatch.durable.append_attempt import AppendRecord
from foxtailhatch.outside import LogPage

DESIRED_STATE_STREAM = 'wishes'
REFRESH_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class DesiredStateRecord:
    """The desired holdings of an endpoint, under a lease's fencing token."""

    fence: int
    endpoint: str
    holdings: tuple[Holding, ...]


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The desired holdings in force, with the log's time of their record."""

    fence: int
    holdings: tuple[Holding, ...]
    logged_at: float


_ADAPTER: TypeAdapter[Any] = TypeAdapter(DesiredStateRecord)


def encode_desired_state(record: DesiredStateRecord) -> AppendRecord:
    """Return the append of a desired-state record.

    >>> encode_desired_state(DesiredStateRecord(7, 'engine-1', ())).stream
    'wishes'
    """
    return AppendRecord(DESIRED_STATE_STREAM, cbor2.dumps(asdict(record)))


def decode_desired_state(body: bytes) -> DesiredStateRecord | None:
    """Return the record in ``body``, or ``None`` if it is invalid."""
    try:
        record: DesiredStateRecord = _ADAPTER.validate_python(cbor2.loads(body))
    except (cbor2.CBORDecodeError, ValidationError, ValueError):
        return None
    return record


class DesiredStateTable:
    """The desired state of each endpoint, built from the stream.

    The last record under the highest fencing token is in force.  A record of
    an earlier lease holder is ignored once the next holder has written any.
    Holders rewrite their records before the log's retention ends.
    """

    def __init__(self) -> None:
        """Start before the first record."""
        self.last_offset = -1
        self.fence = -1
        self._by_endpoint: dict[str, DesiredState] = {}

    @property
    def next_offset(self) -> int:
        """Return the offset to read next."""
        return self.last_offset + 1

    @property
    def by_endpoint(self) -> Mapping[str, DesiredState]:
        """Return the desired state in force for each endpoint."""
        return self._by_endpoint

    def apply_page(self, page: LogPage) -> None:
        """Apply a page of the stream."""
        self.last_offset = max(self.last_offset, page.first - 1)
        for logged in page.records:
            if logged.offset != self.next_offset:
                continue
            self.last_offset = logged.offset
            record = decode_desired_state(logged.body)
            if record and record.fence >= self.fence:
                self.fence = record.fence
                self._by_endpoint[record.endpoint] = DesiredState(
                    record.fence,
                    record.holdings,
                    logged.time,
                )

    def remove_endpoints(self, endpoints: set[str]) -> None:
        """Remove the desired state of endpoints that left permanently."""
        for endpoint in endpoints:
            self._by_endpoint.pop(endpoint, None)


def record_to_refresh(
    now: float,
    table: DesiredStateTable,
    fence: int,
    retention_s: float,
) -> DesiredStateRecord | None:
    """Return the record that the lease holder should write again, if any.

    A new holder writes one at once, which fences off the records of the
    holder before it.  Each record is rewritten long before the log drops it.
    """
    if not table.by_endpoint:
        return None
    endpoint, oldest = min(
        table.by_endpoint.items(),
        key=_logged_at,
    )
    old = now >= oldest.logged_at + retention_s * REFRESH_FRACTION
    if old or table.fence < fence:
        return DesiredStateRecord(fence, endpoint, oldest.holdings)
    return None


def _logged_at(entry: tuple[str, DesiredState]) -> float:
    return entry[1].logged_at


def may_serve(
    desired: DesiredState | None,
    model: str,
    version: str,
    layers: LayerRange,
) -> bool:
    """Return whether an endpoint may get new work for these layers.

    An endpoint without a desired state serves what it holds.
    """
    if desired is None:
        return True
    return any(
        (holding.model, holding.version) == (model, version)
        and holding.layers.covers(layers)
        for holding in desired.holdings
    )
