"""Metrics, health checks, timeline and status of an entry."""

from dataclasses import dataclass

from foxtailhatch.callers.answer_timing import AnswerTimes
from foxtailhatch.core import ErrorCode, InvariantViolation
from foxtailhatch.core.timeline_json import events_to_json
from foxtailhatch.daemon.answers import Answers
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.endpoint_monitor import EndpointMonitor
from foxtailhatch.daemon.guard import Guard
from foxtailhatch.peers import PeerCounters
from foxtailhatch.recovery import EndpointAdmission


@dataclass(slots=True)
class EntryObservability:
    """Serve the monitoring endpoints of one entry from its state."""

    board: Blackboard
    answers: Answers
    endpoint_monitor: EndpointMonitor
    guard: Guard
    peers: PeerCounters

    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        registry = self.board.metrics
        registry.set_running_answers(len(self.answers))
        registry.set_open_sessions(len(self.endpoint_monitor.open_sessions))
        registry.set_peer_counters(self.peers)
        registry.set_configuration_version(self.board.fold.version)
        return registry.render()

    def healthy(self) -> bool:
        """Return whether no invariant has been violated."""
        return not self.guard.broken

    def ready(self) -> bool:
        """Return whether new callers may be sent here.

        A configuration must be in force and no shutdown requested.
        """
        is_stopping = self.board.stop.is_requested()
        return self.board.index is not None and not is_stopping

    def timeline(self, subject: str) -> object:
        """Return the events about ``subject`` as plain JSON values."""
        return events_to_json(self.board.timeline.events(subject))

    def status(self) -> object:
        """Return the state of this instance as plain JSON values."""
        board = self.board
        return {
            'instance': board.name,
            'availability_zone': board.zone,
            'configuration_version': board.fold.version,
            'configuration_complete': board.fold.is_complete,
            'answers': len(self.answers),
            'sessions': sorted(self.endpoint_monitor.open_sessions),
            'recoveries': self.answers.recoveries,
            'stopping': board.stop.is_requested(),
            'endpoints': self._endpoints(),
            'ejected': self._ejected(),
            'peer_links_refused': self.peers.links_refused,
            'entries': [entry.name for entry in board.entries.members()],
        }

    def record_request_outcome(self, code: ErrorCode | None) -> None:
        """Count one request by error code; ``None`` means success."""
        self.board.metrics.record_request_outcome(code)

    def record_answer_times(self, times: AnswerTimes) -> None:
        """Record the token timing of one answer."""
        self.board.metrics.record_answer_times(times)

    def invariant_broken(self, exc: InvariantViolation) -> None:
        """Record a violated invariant and stop the process."""
        self.guard.invariant_broken(exc)

    def _endpoints(self) -> dict[str, str]:
        table = self.board.endpoints
        now = self.answers.now()
        return {name: table.state(name, now) for name in table.names()}

    def _ejected(self) -> list[str]:
        health = self.board.health
        now = self.answers.now()
        return [
            name
            for name in sorted(self.board.endpoints.names())
            if health.admission(name, now) is not EndpointAdmission.OPEN
        ]
