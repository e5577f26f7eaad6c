"""Detect a stage that makes no progress, though its session stays open.

Each step sent to a stage has an allowance: what the endpoint's earlier steps
took, with a margin, between a floor and a ceiling.  A prefill gets more, by
the endpoint's own time for a position.  A step past its allowance makes its
stage a suspect, once.  When the watch itself was not called in time, the
process was paused, and no stage is blamed for the pause.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailhatch.recovery.step_times import StepEstimate

STEP_FLOOR_S = 0.15
STEP_CEILING_S = 0.27
POSITION_CEILING_S = 0.02
POLL_GAP_MAX_S = 0.05


@dataclass(frozen=True, slots=True)
class PendingStep:
    """A step whose output is awaited: of a stream's attempt, at a stage."""

    stream: str
    attempt: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class OverdueStep:
    """A step that is overdue, by ``late_s`` seconds."""

    step: PendingStep
    late_s: float


@dataclass(slots=True)
class _Pending:
    sent_at: float
    due_at: float
    positions: int
    reported: bool = False


class StallDetector:
    """Know when each awaited step is due.

    >>> watch = StallDetector()
    >>> wait = PendingStep('s-1', 1, 'gpu-1')
    >>> watch.note_sent(wait, 1, 0.0)
    >>> watch.take_overdue(0.25)
    ()
    >>> [overdue.step.endpoint for overdue in watch.take_overdue(0.29)]
    ['gpu-1']
    """

    def __init__(
        self,
        floor_s: float = STEP_FLOOR_S,
        ceiling_s: float = STEP_CEILING_S,
    ) -> None:
        """Start with no step awaited, and allowances within the bounds."""
        self._floor_s = floor_s
        self._ceiling_s = ceiling_s
        self._steps: dict[str, StepEstimate] = {}
        self._positions: dict[str, StepEstimate] = {}
        self._pending: dict[PendingStep, _Pending] = {}
        self._polled_at: float | None = None

    def note_sent(self, wait: PendingStep, positions: int, now: float) -> None:
        """Learn that a step over ``positions`` positions was sent."""
        due_at = now + self.timeout_s(wait.endpoint, positions)
        self._pending[wait] = _Pending(now, due_at, positions)

    def note_received(self, wait: PendingStep, now: float) -> None:
        """Learn that the awaited output came; unknown ones are ignored."""
        pending = self._pending.pop(wait, None)
        if pending is not None:
            took_s = now - pending.sent_at
            self.add_duration(wait.endpoint, pending.positions, took_s)

    def add_duration(
        self, endpoint: str, positions: int, took_s: float
    ) -> None:
        """Learn that a step over so many positions took ``took_s``."""
        if positions <= 1:
            self._steps.setdefault(endpoint, StepEstimate()).add(took_s)
            return
        step_s = self.expected_step_s(endpoint) or 0
        per_position = max(0, took_s - step_s) / (positions - 1)
        estimate = self._positions.setdefault(endpoint, StepEstimate())
        estimate.add(per_position)

    def forget_stream(self, stream: str) -> None:
        """Await nothing more of a stream, as when it ended."""
        self._pending = {
            wait: pending
            for wait, pending in self._pending.items()
            if wait.stream != stream
        }

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop what was measured of an endpoint that is gone."""
        self._steps.pop(endpoint, None)
        self._positions.pop(endpoint, None)

    def expected_step_s(self, endpoint: str) -> float | None:
        """Return the mean time of a step of one position, if measured."""
        estimate = self._steps.get(endpoint)
        return None if estimate is None else estimate.mean_s

    def timeout_s(self, endpoint: str, positions: int) -> float:
        """Return how long a step may take before its stage is suspected."""
        longest = _longest_s(self._steps, endpoint, self._ceiling_s)
        extra_positions = positions - 1
        extra = extra_positions * self._position_s(endpoint)
        return max(self._floor_s, longest) + extra

    def take_overdue(self, now: float) -> tuple[OverdueStep, ...]:
        """Return the steps that became overdue since the last call."""
        self._excuse_own_pause(now)
        late = [
            (wait, pending)
            for wait, pending in self._pending.items()
            if now > pending.due_at and not pending.reported
        ]
        for _, pending in late:
            pending.reported = True
        return tuple(
            OverdueStep(wait, now - awaited.due_at) for wait, awaited in late
        )

    def _excuse_own_pause(self, now: float) -> None:
        polled_at = self._polled_at
        self._polled_at = now
        if polled_at is None or now - polled_at <= POLL_GAP_MAX_S:
            return
        for pending in self._pending.values():
            paused_from = max(polled_at, pending.sent_at)
            pending.due_at += now - paused_from

    def _position_s(self, endpoint: str) -> float:
        return _longest_s(self._positions, endpoint, POSITION_CEILING_S)


def _longest_s(
    estimates: Mapping[str, StepEstimate],
    endpoint: str,
    ceiling_s: float,
) -> float:
    """Return what an endpoint may take, as far as that is known.

    One that was never measured may take as long as the slowest of the others,
    so that its first stall is not noticed later than theirs.
    """
    own = estimates.get(endpoint)
    known = estimates.values() if own is None else (own,)
    slowest = max((each.longest_s() for each in known), default=ceiling_s)
    return min(ceiling_s, slowest)
