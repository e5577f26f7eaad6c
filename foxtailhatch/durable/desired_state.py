"""The wished holdings of endpoints, written to the log by the lease holder.

All entries read them and give an endpoint no new work that it is not wished
to hold, so that it runs idle before it is ordered to change.
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
    """What an endpoint shall hold, under the fencing number of a lease."""

    fence: int
    endpoint: str
    holdings: tuple[Holding, ...]


@dataclass(frozen=True, slots=True)
class DesiredState:
    """A wish that counts, and the log's time of it."""

    fence: int
    holdings: tuple[Holding, ...]
    logged_at: float


_ADAPTER: TypeAdapter[Any] = TypeAdapter(DesiredStateRecord)


def encode_desired_state(record: DesiredStateRecord) -> AppendRecord:
    """Return the append that states a wish.

    >>> encode_desired_state(DesiredStateRecord(7, 'engine-1', ())).stream
    'wishes'
    """
    return AppendRecord(DESIRED_STATE_STREAM, cbor2.dumps(asdict(record)))


def decode_desired_state(body: bytes) -> DesiredStateRecord | None:
    """Return the wish in ``body``, or ``None`` if it is none."""
    try:
        record: DesiredStateRecord = _ADAPTER.validate_python(cbor2.loads(body))
    except (cbor2.CBORDecodeError, ValidationError, ValueError):
        return None
    return record


class DesiredStateTable:
    """The wish stream folded: the last wish under the highest fence counts.

    A wish of a holder that was paused is ignored once the next holder has
    stated any.  Holders restate their wishes before these expire.
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
        """Return the wish that counts for each endpoint."""
        return self._by_endpoint

    def apply_page(self, page: LogPage) -> None:
        """Fold a page."""
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
        """Drop the wishes for endpoints that are gone for good."""
        for endpoint in endpoints:
            self._by_endpoint.pop(endpoint, None)


def record_to_refresh(
    now: float,
    table: DesiredStateTable,
    fence: int,
    retention_s: float,
) -> DesiredStateRecord | None:
    """Return the wish that the lease holder should state again, if any.

    A new holder states one at once, which shuts out wishes of the holder
    before it, and each is stated again long before the log drops it.
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
    """Tell whether an endpoint may get new work for these layers.

    An endpoint that nobody wishes anything of serves what it holds.
    """
    if desired is None:
        return True
    return any(
        (holding.model, holding.version) == (model, version)
        and holding.layers.covers(layers)
        for holding in desired.holdings
    )
