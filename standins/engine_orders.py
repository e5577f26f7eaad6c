"""Orders to an engine: desired holdings with a fencing token."""

from dataclasses import dataclass
from typing import Final

from pydantic import TypeAdapter

from foxtailhatch.core.reactor_clock import ReactorClock
from foxtailhatch.outside import EngineOrder
from standins.engine_streams import EngineStreams
from standins.faults import Faults
from standins.http_app import CONFLICT, NOT_FOUND, Reply, reply

_order_adapter: Final = TypeAdapter(EngineOrder)


@dataclass(slots=True)
class OrderHandler:
    """Handler of orders; new holdings take ``loading_s`` seconds to load."""

    clock: ReactorClock
    streams: EngineStreams
    faults: Faults
    checks_fencing: bool
    loading_s: float
    fence: int = 0
    latest_order: EngineOrder | None = None

    def apply(self, body: bytes) -> Reply:
        """Apply the desired holdings, unless the fencing token is stale."""
        order = _order_adapter.validate_json(body)
        is_enforced = self.checks_fencing and not self.faults.ignore_fence
        if order.fence < self.fence and is_enforced:
            return reply({'error': 'old fence', 'fence': self.fence}, CONFLICT)
        requested_models = {holding.model for holding in order.holdings}
        unknown = requested_models.difference(self.streams.model_layers)
        if unknown:
            return reply({'error': f'unknown models: {unknown}'}, NOT_FOUND)
        self.fence = max(self.fence, order.fence)
        self.latest_order = order
        self._start_loading(order)
        return reply({'fence': self.fence})

    def _start_loading(self, order: EngineOrder) -> None:
        """Keep holdings that are still desired and start loading the others."""
        if not self.loading_s:
            self.streams.holdings = order.holdings
            return
        current = self.streams.holdings
        self.streams.holdings = tuple(
            holding for holding in order.holdings if holding in current
        )
        self.clock.callLater(self.loading_s, self._finish_loading, order)

    def _finish_loading(self, order: EngineOrder) -> None:
        """Install the holdings of an order, unless it was superseded."""
        if order is self.latest_order:
            self.streams.holdings = order.holdings
