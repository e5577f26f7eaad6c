"""Orders to an engine: the wished holdings, under a fencing number."""

from dataclasses import dataclass
from typing import Final

from pydantic import TypeAdapter

from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.outside import EngineOrder
from standins.engine_streams import EngineStreams
from standins.faults import Faults
from standins.http_app import CONFLICT, NOT_FOUND, Reply, reply

_orders: Final = TypeAdapter(EngineOrder)


@dataclass(slots=True)
class OrderDesk:
    """Take orders; what is new to the engine takes time to load."""

    clock: ReactorClock
    streams: EngineStreams
    faults: Faults
    checks_fencing: bool
    loading_s: float
    fence: int = 0
    newest: EngineOrder | None = None

    def take(self, body: bytes) -> Reply:
        """Take on the wished holdings, unless the fence is old."""
        order = _orders.validate_json(body)
        checked = self.checks_fencing and not self.faults.ignore_fence
        if order.fence < self.fence and checked:
            return reply({'error': 'old fence', 'fence': self.fence}, CONFLICT)
        wished = {holding.model for holding in order.holdings}
        unknown = wished.difference(self.streams.model_layers)
        if unknown:
            return reply({'error': f'unknown models: {unknown}'}, NOT_FOUND)
        self.fence = max(self.fence, order.fence)
        self.newest = order
        self._begin(order)
        return reply({'fence': self.fence})

    def _begin(self, order: EngineOrder) -> None:
        """Keep what is wished and begin to load the rest."""
        if not self.loading_s:
            self.streams.holdings = order.holdings
            return
        held = self.streams.holdings
        self.streams.holdings = tuple(
            holding for holding in order.holdings if holding in held
        )
        self.clock.callLater(self.loading_s, self._load, order)

    def _load(self, order: EngineOrder) -> None:
        """Hold what an order wished, unless another one came since."""
        if order is self.newest:
            self.streams.holdings = order.holdings
