"""Detect stages that make no progress although their session stays open.

Each step sent to a stage has a timeout: the time that earlier steps of the
endpoint took, with a margin, between a minimum and a maximum.  For a prefill,
the endpoint's time per position is added for each further position.  A step
that exceeds its timeout is reported once.  If the detector itself was not
called in time, this process was paused, and all deadlines are extended by
the pause.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailhatch.recovery.step_times import StepEstimate

STEP_TIMEOUT_MIN_S = 0.15
STEP_TIMEOUT_MAX_S = 0.27
POSITION_TIME_MAX_S = 0.02
POLL_GAP_MAX_S = 0.05


@dataclass(frozen=True, slots=True)
class PendingStep:
    """A step sent to an endpoint, for one attempt of a stream."""

    stream: str
    attempt: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class OverdueStep:
    """A step whose deadline passed ``late_s`` seconds ago."""

    step: PendingStep
    late_s: float


@dataclass(slots=True)
class _Deadline:
    sent_at: float
    due_at: float
    positions: int
    reported: bool = False


class StallDetector:
    """Track the deadlines of pending steps.

    >>> detector = StallDetector()
    >>> step = PendingStep('s-1', 1, 'gpu-1')
    >>> detector.record_sent(step, 1, 0.0)
    >>> detector.take_overdue(0.25)
    ()
    >>> [overdue.step.endpoint for overdue in detector.take_overdue(0.29)]
    ['gpu-1']
    """

    def __init__(
        self,
        floor_s: float = STEP_TIMEOUT_MIN_S,
        ceiling_s: float = STEP_TIMEOUT_MAX_S,
    ) -> None:
        """Start without pending steps; the arguments bound step timeouts."""
        self._floor_s = floor_s
        self._ceiling_s = ceiling_s
        self._step_estimates: dict[str, StepEstimate] = {}
        self._position_estimates: dict[str, StepEstimate] = {}
        self._deadlines: dict[PendingStep, _Deadline] = {}
        self._polled_at: float | None = None

    def record_sent(
        self, step: PendingStep, positions: int, now: float
    ) -> None:
        """Record that a step over ``positions`` positions was sent."""
        due_at = now + self.timeout_s(step.endpoint, positions)
        self._deadlines[step] = _Deadline(now, due_at, positions)

    def record_received(self, step: PendingStep, now: float) -> None:
        """Record the output of a step; ignore one that is not pending."""
        deadline = self._deadlines.pop(step, None)
        if deadline is not None:
            duration_s = now - deadline.sent_at
            self.add_duration(step.endpoint, deadline.positions, duration_s)

    def add_duration(
        self, endpoint: str, positions: int, duration_s: float
    ) -> None:
        """Add the measured duration of a step over ``positions`` positions."""
        if positions <= 1:
            self._step_estimates.setdefault(endpoint, StepEstimate()).add(
                duration_s
            )
            return
        step_s = self.expected_step_s(endpoint) or 0
        per_position = max(0, duration_s - step_s) / (positions - 1)
        estimate = self._position_estimates.setdefault(endpoint, StepEstimate())
        estimate.add(per_position)

    def forget_stream(self, stream: str) -> None:
        """Drop the pending steps of a stream, for example when it ended."""
        self._deadlines = {
            step: deadline
            for step, deadline in self._deadlines.items()
            if step.stream != stream
        }

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop the measurements of an endpoint that left."""
        self._step_estimates.pop(endpoint, None)
        self._position_estimates.pop(endpoint, None)

    def expected_step_s(self, endpoint: str) -> float | None:
        """Return the mean time of a step over one position, if measured."""
        estimate = self._step_estimates.get(endpoint)
        return None if estimate is None else estimate.mean_s

    def timeout_s(self, endpoint: str, positions: int) -> float:
        """Return the timeout of a step over ``positions`` positions."""
        base_s = _upper_bound_s(self._step_estimates, endpoint, self._ceiling_s)
        extra_positions = positions - 1
        extra_s = extra_positions * self._position_s(endpoint)
        return max(self._floor_s, base_s) + extra_s

    def take_overdue(self, now: float) -> tuple[OverdueStep, ...]:
        """Return the steps that became overdue since the last call.

        Call it at least every ``POLL_GAP_MAX_S`` seconds; a longer gap counts
        as a pause of this process.
        """
        self._extend_after_pause(now)
        overdue_steps = [
            (step, deadline)
            for step, deadline in self._deadlines.items()
            if now > deadline.due_at and not deadline.reported
        ]
        for _, deadline in overdue_steps:
            deadline.reported = True
        return tuple(
            OverdueStep(step, now - missed.due_at)
            for step, missed in overdue_steps
        )

    def _extend_after_pause(self, now: float) -> None:
        polled_at = self._polled_at
        self._polled_at = now
        if polled_at is None or now - polled_at <= POLL_GAP_MAX_S:
            return
        for deadline in self._deadlines.values():
            paused_from = max(polled_at, deadline.sent_at)
            deadline.due_at += now - paused_from

    def _position_s(self, endpoint: str) -> float:
        return _upper_bound_s(
            self._position_estimates, endpoint, POSITION_TIME_MAX_S
        )


def _upper_bound_s(
    estimates: Mapping[str, StepEstimate],
    endpoint: str,
    ceiling_s: float,
) -> float:
    """Return an upper bound of an endpoint's time, at most ``ceiling_s``.

    For an endpoint that was never measured, return the bound of the slowest
    measured endpoint, so that its first stall is not detected later.
    """
    own_estimate = estimates.get(endpoint)
    relevant = estimates.values() if own_estimate is None else (own_estimate,)
    largest_s = max(
        (estimate.upper_bound_s() for estimate in relevant), default=ceiling_s
    )
    return min(ceiling_s, largest_s)
