"""How the decider reaches engines."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from foxtailhatch.core import LayerRange
from foxtailhatch.fleet import LiveEndpoint
from foxtailhatch.placement.reports import EngineReport

# A sound engine answers within milliseconds; a dark one never does.
REPORT_TIMEOUT_S = 0.4


class OrderOutcome(StrEnum):
    """What an engine said to an order."""

    STARTED = 'begun'
    ALREADY_HELD = 'holds'
    CONFLICT = 'conflict'
    FENCED = 'fenced'
    REFUSED = 'refused'
    NO_ANSWER = 'no_answer'


class EngineFault(StrEnum):
    """Why there is no report."""

    NOT_CONNECTED = 'not_connected'
    NO_RESPONSE = 'silent'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True)
class Reroute:
    """A request in progress and the chain that it is to go on with."""

    request_id: str
    chain: tuple[tuple[str, int, int], ...]


@dataclass(frozen=True, slots=True)
class RerouteReply:
    """What the receiver said to a move, and which endpoint stood against it.

    ``why`` tells what is wrong with an answer that names no endpoint.
    """

    outcome: OrderOutcome
    address: str | None = None
    reason: str | None = None


class EngineClient(Protocol):
    """Calls to model engines."""

    async def report(
        self,
        endpoint: LiveEndpoint,
        timeout_s: float = REPORT_TIMEOUT_S,
    ) -> Result[EngineReport, EngineFault]:
        """Ask an engine for its state."""

    async def place(
        self,
        endpoint: LiveEndpoint,
        layers: LayerRange,
        fence: int,
        expected_orders: int,
    ) -> OrderOutcome:
        """Order an engine to hold just these layers."""

    async def reroute(
        self, receiver: LiveEndpoint, reroute: Reroute
    ) -> RerouteReply:
        """Order the receiver of a request to go on over another chain."""
