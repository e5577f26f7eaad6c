"""Endpoint health tracking, and admission of new work to endpoints."""

from collections.abc import Callable, Iterable

from foxtailhatch.core import EndpointKind, EventKind
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.pause_detector import PauseDetector
from foxtailhatch.membership import EndpointChange, EndpointState
from foxtailhatch.outside import StageFault
from foxtailhatch.recovery import (
    Ejected,
    EndpointAdmission,
    HealthOutcome,
    Restored,
)


class EndpointMonitor:
    """Update the endpoint table, the endpoint health and the pool together.

    ``open_sessions`` names the endpoints with an open session,
    ``sessions_lost`` counts the sessions that were lost, and
    ``pause_detector`` detects pauses of this process.
    """

    def __init__(
        self,
        board: Blackboard,
        now: Callable[[], float],
    ) -> None:
        """Start without sessions; ``now`` returns the loop's time in seconds."""
        self.open_sessions: set[str] = set()
        self.sessions_lost = 0
        self.pause_detector = PauseDetector(now)
        self._board = board
        self._now = now

    def session_opened(self, endpoint: str) -> None:
        """Record that a session is being opened."""
        self.open_sessions.add(endpoint)
        self._board.record(EventKind.SESSION_OPENED, endpoint)

    def session_lost(self, endpoint: str, reason: str) -> None:
        """Record the loss of a session as a failure of its endpoint."""
        self.open_sessions.discard(endpoint)
        self.sessions_lost += 1
        self._board.record(EventKind.SESSION_LOST, endpoint, reason)
        self._board.endpoints.record_session_loss(endpoint, self._now())
        self.record_failure(endpoint)

    def stage_opened(self, endpoint: str) -> None:
        """Record an opened stage, which shows that the session is connected."""
        self._board.endpoints.record_session_open(endpoint, self._now())

    def stage_refused(self, endpoint: str, fault: StageFault) -> None:
        """Mark the endpoint as leaving if this is why it refused a stage."""
        if fault is not StageFault.LEAVING:
            return
        now = self._now()
        changes = self._board.endpoints.record_leaving(endpoint, now)
        self._board.leaving_endpoints.append(endpoint)
        self.apply_changes(changes)

    def record_success(self, endpoint: str) -> None:
        """Record a successful response of an endpoint."""
        # This runs for nearly every step, and few endpoints have failures.
        if self._board.health.has_failures(endpoint):
            outcome = self._board.health.record_success(endpoint, self._now())
            self._apply_outcome(outcome)

    def record_failure(self, endpoint: str) -> None:
        """Record a failure of an endpoint, which may eject it."""
        outcome = self._board.health.record_failure(endpoint, self._now())
        self._apply_outcome(outcome)

    def accepts_new_work(self, endpoint: str) -> bool:
        """Return whether new work may be sent to an endpoint now.

        Call it in the same loop iteration in which the work is sent.  An
        endpoint that accepts none is made unusable in the pool.
        """
        if not self.pause_detector.is_current():
            return False
        now = self._now()
        may_send = self._board.endpoints.may_send(endpoint, now)
        if may_send:
            self._board.endpoints.check_send(endpoint, now)
        else:
            self._board.pool.set_usable(endpoint, usable=False)
        return may_send

    def apply_changes(self, changes: Iterable[EndpointChange]) -> None:
        """Record changes of the endpoint table and update the pool."""
        for change in changes:
            self._board.record(
                EventKind.ENDPOINT_CHANGED,
                change.endpoint,
                ' to '.join((change.before, change.after)),
            )
        self.sync_pool()

    def sync_pool(self) -> None:
        """Synchronize the pool and the health with the endpoint table."""
        now = self._now()
        table = self._board.endpoints
        usable = frozenset(table.usable_names(now))
        self._board.health.set_endpoints(usable)
        for name in usable:
            endpoint = table.endpoint(name)
            if endpoint is not None and endpoint.kind is EndpointKind.ENGINE:
                self._board.pool.add(endpoint, usable=self._is_healthy(name))
        for view in tuple(self._board.pool):
            if view.endpoint.name not in usable:
                self._disable(view.endpoint.name)

    def _disable(self, name: str) -> None:
        self._board.pool.set_usable(name, usable=False)
        state = self._board.endpoints.state(name, self._now())
        if state is EndpointState.UNKNOWN:
            self._board.pool.remove(name)
            self._board.stall_detector.forget_endpoint(name)

    def _is_healthy(self, name: str) -> bool:
        admission = self._board.health.admission(name, self._now())
        return admission is EndpointAdmission.OPEN

    def _apply_outcome(self, outcome: HealthOutcome) -> None:
        match outcome:
            case Ejected(endpoint, _):
                self._board.record(EventKind.ENDPOINT_EJECTED, endpoint)
                self._board.pool.set_usable(endpoint, usable=False)
            case Restored(endpoint):
                self._board.record(EventKind.ENDPOINT_RESTORED, endpoint)
                self.sync_pool()
