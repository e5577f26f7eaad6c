"""Dependencies and state that all requests of one entry share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import (
    EndpointLoads,
    EndpointTable,
    LiveEndpoint,
    RateLimits,
)
from foxtailhatch.fleet.pauses import EndpointNotice
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.body_memory import BodyMemory
from foxtailhatch.relay.refusals import RefusalReason
from foxtailhatch.relay.request import (
    EndpointIdentity,
    RelayRequest,
    WireCodec,
)
from foxtailhatch.relay.retry_budget import RetryBudget
from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.routes import Service


@dataclass(frozen=True, slots=True)
class SelectedStage:
    """An endpoint and the layers that it runs; ``None`` for plain services.

    If it ``is_entry``, the endpoint stands for another entry, to which the
    request is forwarded.
    """

    endpoint: LiveEndpoint
    layers: LayerRange | None = None
    is_entry: bool = False


SelectedChain = tuple[SelectedStage, ...]


def chain_layout(chosen: SelectedChain) -> tuple[tuple[str, int, int], ...]:
    """Return the address, first layer and end layer of each stage."""
    return tuple(
        (stage.endpoint.address, stage.layers.first, stage.layers.end)
        for stage in chosen
        if stage.layers is not None
    )


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """Constraints on the endpoints of one attempt.

    ``exclude`` names endpoints that may not be used.  ``heads``, if not
    empty, names those that may be the head of the chain.  ``first``, if set,
    is the stage that the chain must start with.
    """

    service: Service
    req: RelayRequest
    exclude: frozenset[str] = frozenset()
    heads: frozenset[str] = frozenset()
    first: SelectedStage | None = None


class EndpointSelector(Protocol):
    """Select the endpoints of one attempt."""

    def select(
        self, selection: SelectionRequest, now: float
    ) -> SelectedChain | None:
        """Return a chain or a single endpoint; ``None`` if there is none."""


class PromptWatch(Protocol):
    """Watch for requests and parts of prompts that crash endpoints."""

    def record_begun(self, req: RelayRequest, now: float) -> None:
        """Record the first event of an attempt."""

    def record_sound(self, req: RelayRequest, now: float) -> None:
        """Record that an attempt ended well or has run for a while."""

    def record_request_lost(
        self, head: LiveEndpoint, req: RelayRequest, now: float
    ) -> None:
        """Record that a head closed the connection as a request began."""

    def may_repeat(self, req: RelayRequest, now: float) -> bool:
        """Return whether a request that was lost may be sent again now.

        One that was lost in several crashes waits for the verdict, and then
        for its turn.
        """

    def end_turn(self, req: RelayRequest) -> None:
        """Record that a request has ended."""

    def record_lost(
        self, chosen: SelectedChain, req: RelayRequest, now: float
    ) -> None:
        """Record that a request was lost before the first event."""

    def is_blocked(self, req: RelayRequest) -> bool:
        """Return whether the request or a part of it is quarantined."""

    def is_cleared(self, req: RelayRequest) -> bool:
        """Return whether requests with each part that is shared have begun."""


class RelayMetrics(Protocol):
    """Metrics of relayed requests."""

    def record_outcome(self, outcome: str, seconds: float) -> None:
        """Count a finished request by outcome, with its duration."""

    def record_first_byte(self, seconds: float) -> None:
        """Record the time to the first byte of a response."""

    def record_retry(self, cause: str) -> None:
        """Count a retry by cause."""

    def record_undelivered(self, cause: str) -> None:
        """Count a request whose caller did not get all of an answer."""

    def record_failed_attempt(self, kind: str, *, has_begun: bool) -> None:
        """Count a failed attempt, and whether it had brought an event."""

    def record_notice(self, kind: str) -> None:
        """Count a notice of an endpoint that was news: leaving or a pause."""


ChainObserver = Callable[[SelectedChain, int, float], None]


def _ignore_chain(chosen: SelectedChain, tokens: int, now: float) -> None:
    """Ignore a chain, where nothing depends on the zones that it crosses."""


class DemandRecord(Protocol):
    """The demand of one request."""

    def sent(self, chosen: SelectedChain, now: float) -> None:
        """Record that the request was sent, for the first time or again."""

    def refused(self, reason: RefusalReason, status: int, now: float) -> None:
        """Record that the request was refused."""

    def ended(self) -> None:
        """Record the end of the request, whatever its outcome."""


class DemandTracker(Protocol):
    """Begin the records of requests."""

    def track(self, admitted: AdmittedRequest) -> DemandRecord:
        """Return the record of a request, which is about to be relayed."""


class NoDemand:
    """Records nothing, where no service asks for demand."""

    def track(self, admitted: AdmittedRequest) -> DemandRecord:
        """Return a record that records nothing."""
        return self

    def sent(self, chosen: SelectedChain, now: float) -> None:
        """Record nothing."""

    def refused(self, reason: RefusalReason, status: int, now: float) -> None:
        """Record nothing."""

    def ended(self) -> None:
        """Record nothing."""


NO_DEMAND = NoDemand()


@dataclass(slots=True)
class RelayContext:
    """The dependencies of relays, and the relays in progress.

    ``entries`` returns the number of entries that share the load.
    ``bodies`` bounds the memory of all requests and responses in progress.
    ``on_suspect`` is called with an endpoint that failed, and the cause, and
    ``on_chain`` with each chain that a request is sent or moved to, the tokens
    that it is expected to hold, and the time.
    """

    reactor: Any
    clock: Callable[[], float]
    codec: WireCodec
    endpoints: EndpointTable
    loads: EndpointLoads
    rate_limits: RateLimits
    budget: RetryBudget
    selector: EndpointSelector
    log: StructuredLog
    metrics: RelayMetrics
    prompts: PromptWatch
    entries: Callable[[], int]
    on_suspect: Callable[[LiveEndpoint, str], None]
    on_chain: ChainObserver = _ignore_chain
    bodies: BodyMemory = field(default_factory=BodyMemory)
    demand: DemandTracker = NO_DEMAND
    running: set[Any] = field(default_factory=set)

    def record_notice(
        self,
        endpoint: LiveEndpoint,
        notice: EndpointNotice,
        request_id: str = '',
    ) -> None:
        """Apply what an endpoint says of itself in an answer to this entry."""
        now = self.clock()
        if notice.is_leaving:
            identity = EndpointIdentity(endpoint.name, endpoint.incarnation)
            self.record_leaving(identity, request_id)
        pauses = self.endpoints.pauses
        if notice.pause_s is None:
            pauses.record_answers([endpoint], now)
        elif pauses.record(endpoint, notice.pause_s, now):
            self.metrics.record_notice('pause')
            self.log.write(
                'endpoint_pauses',
                id=request_id,
                endpoint=endpoint.name,
                for_s=notice.pause_s,
            )

    def record_leaving(
        self, endpoint: EndpointIdentity, request_id: str, by: str = ''
    ) -> None:
        """Note that an endpoint leaves, told by itself or ``by`` an entry."""
        name, born = endpoint.name, endpoint.incarnation
        if self.endpoints.mark_leaving(name, born, self.clock()):
            self.metrics.record_notice('leaving')
            self.log.write(
                'endpoint_leaves',
                id=request_id,
                endpoint=name,
                born=born,
                by=by,
            )
