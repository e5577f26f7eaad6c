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
from foxtailhatch.durable.appends import AppendRecord
from foxtailhatch.outside import LogPage

WISH_STREAM = 'wishes'
RESTATE_AT = 0.25


@dataclass(frozen=True, slots=True)
class WishRecord:
    """What an endpoint shall hold, under the fencing number of a lease."""

    fence: int
    endpoint: str
    holdings: tuple[Holding, ...]


@dataclass(frozen=True, slots=True)
class Wish:
    """A wish that counts, and the log's time of it."""

    fence: int
    holdings: tuple[Holding, ...]
    logged_at: float


_ADAPTER: TypeAdapter[Any] = TypeAdapter(WishRecord)


def encode_wish(record: WishRecord) -> AppendRecord:
    """Return the append that states a wish.

    >>> encode_wish(WishRecord(7, 'engine-1', ())).stream
    'wishes'
    """
    return AppendRecord(WISH_STREAM, cbor2.dumps(asdict(record)))


def decode_wish(body: bytes) -> WishRecord | None:
    """Return the wish in ``body``, or ``None`` if it is none."""
    try:
        record: WishRecord = _ADAPTER.validate_python(cbor2.loads(body))
    except (cbor2.CBORDecodeError, ValidationError, ValueError):
        return None
    return record


class WishTable:
    """The wish stream folded: the last wish under the highest fence counts.

    A wish of a holder that was paused is ignored once the next holder has
    stated any.  Holders restate their wishes before these expire.
    """

    def __init__(self) -> None:
        """Start before the first record."""
        self.through = -1
        self.fence = -1
        self._wishes: dict[str, Wish] = {}

    @property
    def wanted(self) -> int:
        """Return the offset to read next."""
        return self.through + 1

    @property
    def wishes(self) -> Mapping[str, Wish]:
        """Return the wish that counts for each endpoint."""
        return self._wishes

    def take_page(self, page: LogPage) -> None:
        """Fold a page."""
        self.through = max(self.through, page.first - 1)
        for logged in page.records:
            if logged.offset != self.wanted:
                continue
            self.through = logged.offset
            record = decode_wish(logged.body)
            if record and record.fence >= self.fence:
                self.fence = record.fence
                self._wishes[record.endpoint] = Wish(
                    record.fence,
                    record.holdings,
                    logged.time,
                )

    def forget(self, endpoints: set[str]) -> None:
        """Drop the wishes for endpoints that are gone for good."""
        for endpoint in endpoints:
            self._wishes.pop(endpoint, None)


def restatement(
    now: float,
    table: WishTable,
    fence: int,
    retention_s: float,
) -> WishRecord | None:
    """Return the wish that the lease holder should state again, if any.

    A new holder states one at once, which shuts out wishes of the holder
    before it, and each is stated again long before the log drops it.
    """
    if not table.wishes:
        return None
    endpoint, oldest = min(
        table.wishes.items(),
        key=_logged_at,
    )
    old = now >= oldest.logged_at + retention_s * RESTATE_AT
    if old or table.fence < fence:
        return WishRecord(fence, endpoint, oldest.holdings)
    return None


def _logged_at(entry: tuple[str, Wish]) -> float:
    return entry[1].logged_at


def may_serve(
    wish: Wish | None,
    model: str,
    version: str,
    layers: LayerRange,
) -> bool:
    """Tell whether an endpoint may get new work for these layers.

    An endpoint that nobody wishes anything of serves what it holds.
    """
    if wish is None:
        return True
    return any(
        (holding.model, holding.version) == (model, version)
        and holding.layers.covers(layers)
        for holding in wish.holdings
    )
