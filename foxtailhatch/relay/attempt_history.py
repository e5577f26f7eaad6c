"""The endpoints that a request has tried, and those that it excludes."""

from foxtailhatch.fleet import EndpointTable, LiveEndpoint
from foxtailhatch.relay.admitted_request import AdmittedRequest
from foxtailhatch.relay.context import SelectionRequest


class AttemptHistory:
    """The chain heads that one request has been sent to.

    The limit on attempts is a limit on distinct chain heads.  Endpoints that
    are gone or could not be reached do not count; those that drain do.
    """

    def __init__(
        self, admitted: AdmittedRequest, endpoints: EndpointTable
    ) -> None:
        """Start with no attempts."""
        self.unreached = 0
        self.admitted = admitted
        self._endpoints = endpoints
        self._sent_to: dict[str, LiveEndpoint] = {}
        self._lost: list[LiveEndpoint] = []
        self._excluded: set[str] = set()
        self._refusing: set[str] = set()

    @property
    def is_exhausted(self) -> bool:
        """Return whether the limit on attempts is reached."""
        return len(self._attempted()) >= self.admitted.route.attempts

    @property
    def lost_heads(self) -> int:
        """Return how many chain heads were lost before the first event.

        The last one counts at once; those before it only if they are gone, as
        an endpoint that lives has only closed a connection.
        """
        gone = [
            endpoint
            for endpoint in self._lost[:-1]
            if not self._endpoints.is_available(endpoint)
        ]
        return len(gone) + len(self._lost[-1:])

    @property
    def has_refusals(self) -> bool:
        """Return whether an endpoint refused since the last clearing."""
        return bool(self._refusing)

    def record_send(self, endpoint: LiveEndpoint) -> None:
        """Record that the request was sent to a chain head."""
        self._sent_to[endpoint.name] = endpoint

    def record_unreached(self, name: str) -> None:
        """Record that nothing was sent, as the endpoint is unreachable."""
        self.unreached += 1
        self._sent_to.pop(name, None)

    def record_lost(self, endpoint: LiveEndpoint) -> None:
        """Record that a chain head was lost before the first event."""
        self._lost.append(endpoint)

    def exclude(self, name: str) -> None:
        """Exclude an endpoint from later attempts."""
        self._excluded.add(name)

    def record_refusal(self, name: str) -> None:
        """Exclude an endpoint until refusals are cleared."""
        self._refusing.add(name)

    def clear_refusals(self) -> None:
        """Allow the endpoints that have refused again."""
        self._refusing.clear()

    def selection(self) -> SelectionRequest:
        """Return the constraints on the endpoints of the next attempt.

        Once the limit on attempts is reached, only chain heads that have
        been tried may receive the request again.
        """
        admitted = self.admitted
        if not self.is_exhausted:
            return SelectionRequest(
                admitted.service,
                admitted.req,
                frozenset(self._excluded | self._refusing),
            )
        used = self._attempted()
        return SelectionRequest(
            admitted.service,
            admitted.req,
            frozenset(self._excluded - used | self._refusing),
            frozenset(used),
        )

    def _attempted(self) -> set[str]:
        return {
            name
            for name, endpoint in self._sent_to.items()
            if self._endpoints.is_running(endpoint)
        }
