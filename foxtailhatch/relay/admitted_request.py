"""A request that may run."""

from dataclasses import dataclass

from foxtailhatch.relay.request import RelayRequest
from foxtailhatch.routes import Route, Service


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request with what the configuration in force says of it.

    ``account`` is ``None`` on public routes; urgency 0 is the most urgent.
    """

    req: RelayRequest
    route: Route
    service: Service
    account: str | None
    urgency: int
