"""A request that has passed admission."""

from dataclasses import dataclass

from foxtailhatch.relay.request import RelayRequest
from foxtailhatch.routes import Route, Service


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request with its route, service and account.

    These come from the configuration that was in force at admission.
    ``account`` is ``None`` on public routes; urgency 0 is the most urgent.
    ``fill_limit`` is set for services with ordered admission: a chain takes the
    request while its fullest stage is at most at this share of its capacity.
    A trial may crash its endpoint, so it is sent once.  ``version`` is that of
    the configuration, which was confirmed ``configuration_age_s`` seconds ago.
    """

    req: RelayRequest
    route: Route
    service: Service
    account: str | None
    urgency: int
    is_trial: bool = False
    version: int = 0
    configuration_age_s: float = 0
    fill_limit: float | None = None

    @property
    def is_ordered(self) -> bool:
        """Return whether the request waits in the queue of its service."""
        return self.fill_limit is not None
