"""Interface for calls to model engines."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.fleet.pauses import EndpointNotice
from foxtailhatch.placement.reports import EngineReport

# A healthy engine answers within milliseconds, an unreachable one never does.
REPORT_TIMEOUT_S = 0.4


class OrderOutcome(StrEnum):
    """How an engine answered an order."""

    STARTED = 'begun'
    ALREADY_HELD = 'holds'
    CONFLICT = 'conflict'
    FENCED = 'fenced'
    REFUSED = 'refused'
    NO_ANSWER = 'no_answer'


class EngineFault(StrEnum):
    """Why no report could be obtained from an engine.

    ``NOT_CONNECTED`` is a connection that was refused, and ``UNCONNECTED`` one
    that was not accepted in time.  Nothing is sent to a ``PAUSED`` engine.
    """

    NOT_CONNECTED = 'not_connected'
    UNCONNECTED = 'unconnected'
    NO_RESPONSE = 'silent'
    MALFORMED = 'malformed'
    PAUSED = 'paused'


@dataclass(frozen=True, slots=True)
class Reroute:
    """A request in progress and the chain on which it has to continue.

    Each item of ``chain`` is an address, the first layer and the end layer.
    """

    request_id: str
    chain: tuple[tuple[str, int, int], ...]


@dataclass(frozen=True, slots=True)
class RerouteReply:
    """How a chain head answered a :class:`Reroute`.

    ``address`` is the endpoint that prevented the change, if the answer names
    one.  ``reason`` says why an answer is missing or unreadable.
    """

    outcome: OrderOutcome
    address: str | None = None
    reason: str | None = None


# Called with an endpoint and what it says of itself in an answer.
OnNotice = Callable[[LiveEndpoint, EndpointNotice], None]


class EngineClient(Protocol):
    """Calls to model engines."""

    def notify(self, on_notice: OnNotice) -> None:
        """Call ``on_notice`` with what engines say of themselves."""

    async def report(
        self,
        endpoint: LiveEndpoint,
        timeout_s: float = REPORT_TIMEOUT_S,
    ) -> Result[EngineReport, EngineFault]:
        """Request the state of an engine."""

    async def place(
        self,
        endpoint: LiveEndpoint,
        layers: LayerRange,
        fence: int,
        expected_orders: int,
    ) -> OrderOutcome:
        """Order an engine to hold exactly these layers.

        ``fence`` is the fencing token of the leader lease.  An engine that
        has accepted other than ``expected_orders`` orders so far refuses.
        """

    async def reroute(
        self, head: LiveEndpoint, reroute: Reroute
    ) -> RerouteReply:
        """Order the head of a chain to continue a request on another chain."""
