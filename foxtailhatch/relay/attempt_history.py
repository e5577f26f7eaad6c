"""Which endpoints a request has been sent to, and which it should avoid."""

from foxtailhatch.fleet import EndpointTable, LiveEndpoint
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.context import SelectionRequest


class AttemptHistory:
    """The receivers of one request so far.

    The bound on attempts is one on endpoints; those that ended, or were
    never reached, do not count.
    """

    def __init__(
        self, admitted: AdmittedRequest, endpoints: EndpointTable
    ) -> None:
        """Start without any receiver."""
        self.unreached = 0
        self._admitted = admitted
        self._endpoints = endpoints
        self._sent_to: dict[str, LiveEndpoint] = {}
        self._avoid: set[str] = set()
        self._refused_by: set[str] = set()

    @property
    def is_spent(self) -> bool:
        """Tell whether no further receiver may be tried."""
        return len(self._used()) >= self._admitted.route.attempts

    @property
    def was_refused(self) -> bool:
        """Tell whether an endpoint refused since the last look for room."""
        return bool(self._refused_by)

    def sent_to(self, endpoint: LiveEndpoint) -> None:
        """Note a receiver."""
        self._sent_to[endpoint.name] = endpoint

    def not_reached(self, name: str) -> None:
        """Note that nothing was sent to a receiver."""
        self.unreached += 1
        self._sent_to.pop(name, None)

    def avoid(self, name: str) -> None:
        """Leave an endpoint out of later choices."""
        self._avoid.add(name)

    def refused_by(self, name: str) -> None:
        """Leave an endpoint out until the next look for room."""
        self._refused_by.add(name)

    def look_again(self) -> None:
        """Consider endpoints again that refused before."""
        self._refused_by.clear()

    def choice(self) -> SelectionRequest:
        """Return what to choose the next attempt's endpoints for."""
        admitted = self._admitted
        if not self.is_spent:
            return SelectionRequest(
                admitted.service,
                admitted.req,
                frozenset(self._avoid | self._refused_by),
            )
        used = self._used()
        return SelectionRequest(
            admitted.service,
            admitted.req,
            frozenset(self._avoid - used | self._refused_by),
            frozenset(used),
        )

    def _used(self) -> set[str]:
        return {
            name
            for name, endpoint in self._sent_to.items()
            if self._endpoints.is_available(endpoint)
        }
