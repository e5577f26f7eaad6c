"""Reconcile engines with their desired holdings, as the lease holder.

An order lists all holdings of an engine, so it is idempotent.  If an engine
obeys a delayed order of an earlier lease holder, the present holder finds the
difference to the desired state and corrects it.  Engines that reject old
fencing tokens don't obey such an order at all.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailhatch.core import Holding, LoadReport
from foxtailhatch.durable.desired_state import DesiredState
from foxtailhatch.durable.lease_holder import HeldLease
from foxtailhatch.durable.load_rate_limiter import LoadRateLimiter
from foxtailhatch.outside import EngineOrder

PROPAGATION_S = 3.0
MIN_IDLE_S = 3.0
RESEND_INTERVAL_S = 30.0


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Request to send an order to an endpoint and report the result."""

    endpoint: str
    order: EngineOrder


@dataclass(slots=True)
class EndpointProgress:
    """The progress of one endpoint towards its desired state."""

    desired: DesiredState
    idle_since: float | None = None
    ordered_at: float | None = None


class OrderController:
    """The orders of one lease holder.

    ``layer_bytes`` has the size of one layer by model and version.  A model
    and version without a size is not loaded until its size is known.
    """

    def __init__(self, rate_limiter: LoadRateLimiter) -> None:
        """Start without orders; the limiter is that of the weight store."""
        self.layer_bytes: dict[tuple[str, str], int] = {}
        self._rate_limiter = rate_limiter
        self._progress: dict[str, EndpointProgress] = {}
        self._superseded_fence = -1

    def step(
        self,
        now: float,
        lease: HeldLease | None,
        desired_states: Mapping[str, DesiredState],
        reports: Mapping[str, LoadReport],
    ) -> list[SendOrder]:
        """Return the orders to send at ``now``.

        ``lease`` is what :meth:`LeaseHolder.current_lease` returns at ``now``.
        """
        if lease is None or lease.fence <= self._superseded_fence:
            self._progress.clear()
            return []
        orders: list[SendOrder] = []
        for endpoint, desired in desired_states.items():
            report = reports.get(endpoint)
            if report and self._is_due(now, endpoint, desired, report):
                order = EngineOrder(lease.fence, desired.holdings)
                orders.append(SendOrder(endpoint, order))
        return orders

    def handle_refusal(self, order: EngineOrder) -> None:
        """Stop sending orders under a fencing token that an engine refused."""
        self._superseded_fence = max(self._superseded_fence, order.fence)

    def _is_due(
        self,
        now: float,
        endpoint: str,
        desired: DesiredState,
        report: LoadReport,
    ) -> bool:
        progress = self._progress.get(endpoint)
        if progress is None or progress.desired.holdings != desired.holdings:
            progress = EndpointProgress(desired)
            self._progress[endpoint] = progress
        if set(report.holdings) == set(desired.holdings):
            progress.ordered_at = None
            return False
        if progress.ordered_at is not None:
            if (
                min(now, report.measured_at)
                < progress.ordered_at + RESEND_INTERVAL_S
            ):
                return False
        if not _is_idle(progress, report):
            return False
        if not self._may_load(now, desired, report):
            return False
        progress.ordered_at = now
        return True

    def _may_load(
        self, now: float, desired: DesiredState, report: LoadReport
    ) -> bool:
        added = [
            holding
            for holding in desired.holdings
            if not _is_covered(holding, report.holdings)
        ]
        sizes = [
            self.layer_bytes.get((holding.model, holding.version))
            for holding in added
        ]
        known_sizes = [size for size in sizes if size is not None]
        if len(known_sizes) < len(sizes):
            return False
        total = sum(
            size * len(holding.layers)
            for size, holding in zip(known_sizes, added, strict=True)
        )
        return total == 0 or self._rate_limiter.admit(now, total)


def _is_idle(progress: EndpointProgress, report: LoadReport) -> bool:
    """Return whether an order would interrupt no answer.

    Adding a holding interrupts none.  Before one is removed, all entries must
    have had time to read the desired state, and after that the engine must
    have reported no streams for ``MIN_IDLE_S``.
    """
    if set(report.holdings) <= set(progress.desired.holdings):
        return True
    if report.measured_at < progress.desired.logged_at + PROPAGATION_S:
        return False
    if report.streams:
        progress.idle_since = None
        return False
    if progress.idle_since is None:
        progress.idle_since = report.measured_at
    return report.measured_at >= progress.idle_since + MIN_IDLE_S


def _is_covered(desired: Holding, held: tuple[Holding, ...]) -> bool:
    return any(
        (holding.model, holding.version) == (desired.model, desired.version)
        and holding.layers.covers(desired.layers)
        for holding in held
    )
