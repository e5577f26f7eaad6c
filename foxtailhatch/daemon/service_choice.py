"""Which endpoint of a plain service takes a call."""

from collections import Counter
from collections.abc import Collection

from foxtailhatch.config import Access, Service, has_labels
from foxtailhatch.core import Endpoint, EndpointKind
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.pause_watch import PauseWatch
from foxtailhatch.recovery import EndpointAdmission


class ServiceChoice:
    """Choose the endpoint with the fewest own calls, the own zone first.

    ``running`` counts this entry's calls in progress by endpoint.
    """

    def __init__(self, board: Blackboard, pause: PauseWatch) -> None:
        """Start with no call."""
        self.running: Counter[str] = Counter()
        self._pause = pause
        self._board = board

    def choose(
        self,
        service: Service,
        granted: Access,
        tried: Collection[str],
        now: float,
    ) -> Endpoint | None:
        """Return an endpoint that was not tried yet, if there is any."""
        if not self._pause.is_current():
            return None
        names = self._board.endpoints.usable_names(now)
        known = [
            self._board.endpoints.endpoint(name)
            for name in names
            if name not in tried
        ]
        fit = [
            endpoint
            for endpoint in known
            if endpoint is not None and _offers(endpoint, service, granted)
        ]
        healthy = [each for each in fit if self._is_healthy(each, now)]
        return min(healthy or fit, key=self._rank, default=None)

    def _is_healthy(self, endpoint: Endpoint, now: float) -> bool:
        health = self._board.health
        return (
            health.admission(endpoint.name, now)
            is not EndpointAdmission.EJECTED
        )

    def _rank(self, endpoint: Endpoint) -> tuple[int, bool, float]:
        return (
            self.running[endpoint.name],
            endpoint.availability_zone != self._board.zone,
            self._board.random.random(),
        )


def _offers(endpoint: Endpoint, service: Service, granted: Access) -> bool:
    return (
        endpoint.kind is EndpointKind.SERVICE
        and has_labels(endpoint.labels, service.endpoints)
        and granted.allows_endpoint(endpoint.labels)
    )
