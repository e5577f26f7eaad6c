"""Selection of the endpoint for a service call."""

from collections import Counter
from collections.abc import Collection

from foxtailhatch.config import Access, Service, has_labels
from foxtailhatch.core import Endpoint, EndpointKind
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.pause_detector import PauseDetector
from foxtailhatch.recovery import EndpointAdmission


class ServiceEndpointSelector:
    """Select the endpoint with the fewest calls in progress from this entry.

    Among equals, endpoints in the entry's availability zone are preferred.
    ``calls_in_progress`` counts this entry's calls by endpoint.
    """

    def __init__(
        self, board: Blackboard, pause_detector: PauseDetector
    ) -> None:
        """Start with no calls in progress."""
        self.calls_in_progress: Counter[str] = Counter()
        self._pause_detector = pause_detector
        self._board = board

    def select(
        self,
        service: Service,
        granted: Access,
        tried: Collection[str],
        now: float,
    ) -> Endpoint | None:
        """Return an endpoint that is not in ``tried``, if there is one.

        Ejected endpoints are returned only if no other is eligible.  After a
        pause of this process, return ``None`` until the endpoint states are
        current again.
        """
        if not self._pause_detector.is_current():
            return None
        names = self._board.endpoints.usable_names(now)
        candidates = [
            self._board.endpoints.endpoint(name)
            for name in names
            if name not in tried
        ]
        eligible = [
            endpoint
            for endpoint in candidates
            if endpoint is not None and _is_eligible(endpoint, service, granted)
        ]
        healthy = [each for each in eligible if self._is_healthy(each, now)]
        return min(healthy or eligible, key=self._sort_key, default=None)

    def _is_healthy(self, endpoint: Endpoint, now: float) -> bool:
        health = self._board.health
        return (
            health.admission(endpoint.name, now)
            is not EndpointAdmission.EJECTED
        )

    def _sort_key(self, endpoint: Endpoint) -> tuple[int, bool, float]:
        return (
            self.calls_in_progress[endpoint.name],
            endpoint.availability_zone != self._board.zone,
            self._board.random.random(),
        )


def _is_eligible(endpoint: Endpoint, service: Service, granted: Access) -> bool:
    return (
        endpoint.kind is EndpointKind.SERVICE
        and has_labels(endpoint.labels, service.endpoints)
        and granted.allows_endpoint(endpoint.labels)
    )
