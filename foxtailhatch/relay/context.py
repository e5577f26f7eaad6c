"""What all requests of one entry share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointLoads, EndpointTable, LiveEndpoint
from foxtailhatch.relay.request import RelayRequest, WireCodec
from foxtailhatch.relay.retry_budget import RetryBudget
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.routes import Service


@dataclass(frozen=True, slots=True)
class SelectedStage:
    """An endpoint, and the layers that it runs; none for a plain service."""

    endpoint: LiveEndpoint
    layers: LayerRange | None = None


SelectedChain = tuple[SelectedStage, ...]


def chain_layout(chosen: SelectedChain) -> tuple[tuple[str, int, int], ...]:
    """Return address, first and end layer of each stage of a chain."""
    return tuple(
        (stage.endpoint.address, stage.layers.first, stage.layers.end)
        for stage in chosen
        if stage.layers is not None
    )


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """What to choose endpoints for.

    ``avoid`` names endpoints that have failed this request, and ``heads``,
    if not empty, those that may receive it.  ``first`` is a stage that must
    stay as it is.
    """

    service: Service
    req: RelayRequest
    avoid: frozenset[str] = frozenset()
    heads: frozenset[str] = frozenset()
    first: SelectedStage | None = None


class EndpointSelector(Protocol):
    """Choose the endpoints of one attempt."""

    def select(
        self, choice: SelectionRequest, now: float
    ) -> SelectedChain | None:
        """Return a chain or a single endpoint; ``None`` if there is none."""


class RelayMetrics(Protocol):
    """Counts of what becomes of requests."""

    def record_outcome(self, outcome: str, seconds: float) -> None:
        """Count one request."""

    def record_first_byte(self, seconds: float) -> None:
        """Count the time to the first piece of an answer."""

    def record_retry(self, cause: str) -> None:
        """Count one more send of a request."""


@dataclass(slots=True)
class RelayContext:
    """The shared parts, and the requests in progress.

    ``entries`` returns how many entries share the work.
    """

    reactor: Any
    clock: Callable[[], float]
    wire: WireCodec
    endpoints: EndpointTable
    loads: EndpointLoads
    budget: RetryBudget
    chooser: EndpointSelector
    log: StructuredLog
    metrics: RelayMetrics
    entries: Callable[[], int]
    on_suspect: Callable[[LiveEndpoint, str], None]
    running: set[Any] = field(default_factory=set)
