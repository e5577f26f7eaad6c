"""What all requests of one entry share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import EndpointLoads, EndpointTable, LiveEndpoint
from foxtailhatch.relay.decision_log import DecisionLog
from foxtailhatch.relay.request import RelayRequest, RelayWire
from foxtailhatch.relay.retry_budget import WindowBudget
from foxtailhatch.routes import Service


@dataclass(frozen=True, slots=True)
class ChosenStage:
    """An endpoint, and the layers that it runs; none for a plain service."""

    endpoint: LiveEndpoint
    layers: LayerRange | None = None


Chosen = tuple[ChosenStage, ...]


def chain_of(chosen: Chosen) -> tuple[tuple[str, int, int], ...]:
    """Return address, first and end layer of each stage of a chain."""
    return tuple(
        (stage.endpoint.address, stage.layers.first, stage.layers.end)
        for stage in chosen
        if stage.layers is not None
    )


@dataclass(frozen=True, slots=True)
class Choice:
    """What to choose endpoints for.

    ``avoid`` names endpoints that have failed this request, and ``heads``,
    if not empty, those that may receive it.  ``first`` is a stage that must
    stay as it is.
    """

    service: Service
    req: RelayRequest
    avoid: frozenset[str] = frozenset()
    heads: frozenset[str] = frozenset()
    first: ChosenStage | None = None


class Chooser(Protocol):
    """Choose the endpoints of one attempt."""

    def choose(self, choice: Choice, now: float) -> Chosen | None:
        """Return a chain or a single endpoint; ``None`` if there is none."""


class RelayMetrics(Protocol):
    """Counts of what becomes of requests."""

    def ended(self, outcome: str, seconds: float) -> None:
        """Count one request."""

    def first_byte(self, seconds: float) -> None:
        """Count the time to the first piece of an answer."""

    def retried(self, cause: str) -> None:
        """Count one more send of a request."""


@dataclass(slots=True)
class RelayParts:
    """The shared parts, and the requests in progress.

    ``entries`` returns how many entries share the work.
    """

    reactor: Any
    clock: Callable[[], float]
    wire: RelayWire
    endpoints: EndpointTable
    loads: EndpointLoads
    budget: WindowBudget
    chooser: Chooser
    log: DecisionLog
    metrics: RelayMetrics
    entries: Callable[[], int]
    on_suspect: Callable[[LiveEndpoint, str], None]
    running: set[Any] = field(default_factory=set)
