"""What the small sites beside the front say."""

from collections.abc import Mapping

from foxtailhatch.relay.context import RelayContext
from foxtailhatch.router.metrics import RouterMetrics
from foxtailhatch.router.router_state import RouterState
from foxtailhatch.router.single_page_site import first_query_value, json_bytes

# Advice is kept by callers for this long, by some three times as long.
ADVICE_S = 1.5
# Callers take no more addresses than this.
ADVISED_MOST = 64

Query = Mapping[bytes, list[bytes]]


class StatusPages:
    """Readiness, advice on entries, and metrics."""

    def __init__(
        self,
        board: RouterState,
        parts: RelayContext,
        metrics: RouterMetrics,
    ) -> None:
        """Read the blackboard and the running requests."""
        self._board = board
        self._parts = parts
        self._metrics = metrics

    def ready(self, _: Query) -> bytes | None:
        """Tell whether this entry serves callers."""
        return b'ready' if self._board.is_ready() else None

    def advice(self, query: Query) -> bytes | None:
        """Return the addresses that a caller should use."""
        board = self._board
        addresses = board.entries.recommended_addresses(
            first_query_value(query, b'region'),
            first_query_value(query, b'zone'),
            board.clock(),
            ADVISED_MOST,
        )
        if board.stop_requested_at is not None:
            own = board.cfg.callers_address
            addresses = [one for one in addresses if one != own]
        if not addresses:
            if not board.is_ready():
                return None
            addresses = [board.cfg.callers_address]
        keep_s = min(ADVICE_S, board.cfg.bounds.advice_max_s)
        return json_bytes({'addresses': addresses, 'ttl_s': keep_s})

    def metrics(self, _: Query) -> bytes:
        """Return counters and histograms as text."""
        table = self._board.table
        version = 0 if table is None else table.version
        return self._metrics.render(version, len(self._parts.running))
