"""Contents of the readiness, advice and metrics pages."""

from collections.abc import Mapping
from itertools import product

from foxtailhatch.fleet import count_availability
from foxtailhatch.relay.context import RelayContext
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.metrics import DemandLevel, RouterMetrics
from foxtailhatch.router.single_page_site import encode_json, first_query_value

# Callers cache advice for this long, and some of them three times as long.
ADVICE_TTL_S = 1.5
# Callers use no more addresses than this.
MAX_ADVISED_ADDRESSES = 64

Query = Mapping[bytes, list[bytes]]


class StatusPages:
    """Readiness, metrics, and advice on the entries that a caller should use."""

    def __init__(
        self,
        board: Blackboard,
        context: RelayContext,
        metrics: RouterMetrics,
    ) -> None:
        """Use the blackboard, the running requests and the metrics."""
        self._board = board
        self._context = context
        self._metrics = metrics

    def ready(self, _: Query) -> bytes | None:
        """Return a body if this entry serves callers, and else ``None``."""
        return b'ready' if self._board.is_ready() else None

    def advice(self, query: Query) -> bytes | None:
        """Return the entry addresses that a caller should use, as JSON.

        An entry that is stopping or cut off leaves out its own address.  Return ``None`` if there
        is no address to advise.
        """
        board = self._board
        addresses = board.entries.recommended_addresses(
            first_query_value(query, b'region'),
            first_query_value(query, b'zone'),
            board.clock(),
            MAX_ADVISED_ADDRESSES,
        )
        if board.stop_requested_at is not None or board.reach.unreached:
            own = board.cfg.callers_address
            addresses = [address for address in addresses if address != own]
        if not addresses:
            if not board.is_ready():
                return None
            addresses = [board.cfg.callers_address]
        ttl_s = min(ADVICE_TTL_S, board.cfg.bounds.advice_max_s)
        return encode_json({'addresses': addresses, 'ttl_s': ttl_s})

    def metrics(self, _: Query) -> bytes:
        """Return the metrics as text."""
        table = self._board.table
        version = 0 if table is None else table.version
        running = len(self._context.running)
        now = self._board.clock()
        self._metrics.record_endpoints(
            count_availability(self._board.endpoints, now)
        )
        self._metrics.record_demand(_demand_levels(self._board, now))
        return self._metrics.render(
            version,
            running,
            self._board.store_epoch,
            self._board.configuration_age(now),
            self._context.bodies.held_bytes,
            _lease_levels(self._board),
        )


def _demand_levels(board: Blackboard, now: float) -> list[DemandLevel]:
    """Return the demand that this entry knows or assumes in each zone."""
    estimate = board.demand_estimate(now)
    zones = sorted({*estimate.entry_counts, *board.demand.zones()})
    places = product(sorted(board.features.reporting_services), zones)
    return [
        (service, zone, rank, demand)
        for service, zone in places
        for rank, demand in estimate.at(zone, service).ranks.items()
    ]


def _lease_levels(board: Blackboard) -> Mapping[str, float]:
    """Return for how long the lease is held here, and how often it moved."""
    since = board.lease_held_since
    return {
        'lease_held_seconds': 0 if since is None else board.clock() - since,
        'lease_acquisitions': board.lease_acquisitions,
        'lease_handovers': board.lease_handovers,
    }
