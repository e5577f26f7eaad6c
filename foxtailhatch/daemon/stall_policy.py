"""How long endpoints may owe a frame, from what their steps took before."""

from collections import Counter

from foxtailhatch.recovery import (
    FailedAttempt,
    FailureCause,
    RetryBudget,
    RetryGranted,
    StallDetector,
)


class BudgetedStallPolicy:
    """Join the measured allowances with the retry budget.

    An endpoint that stalls holds up all answers on it.  The first one to give
    it up pays; until it answers again the others leave it for nothing, or
    most of a crowd would wait for the session to be lost.

    ``prefill`` is what all answers of this entry await of each endpoint, in
    positions.  An engine gives nothing while it fills, so a step may take as
    long as all of that; else a crowd that moves to a spare would flee it.
    """

    def __init__(
        self, stall_detector: StallDetector, budget: RetryBudget
    ) -> None:
        """Join the two."""
        self._stall_detector = stall_detector
        self._budget = budget
        self._replacement_paid: set[str] = set()
        self.prefill_in_flight: Counter[str] = Counter()

    def timeout_s(self, endpoint: str, positions: int) -> float:
        """Return the allowance of a step, or of an opening if 0."""
        longest = max(1, positions, self.prefill_in_flight[endpoint] + 1)
        return self._stall_detector.timeout_s(endpoint, longest)

    def may_replace(self, endpoint: str) -> bool:
        """Tell whether an overdue stage may be replaced; spend if so."""
        if endpoint in self._replacement_paid:
            return True
        failed = FailedAttempt(1, FailureCause.LOST, repeatable=True)
        is_granted = isinstance(
            self._budget.request_retry(failed), RetryGranted
        )
        if is_granted:
            self._replacement_paid.add(endpoint)
        return is_granted

    def record_progress(self, endpoint: str) -> None:
        """Learn that an endpoint answered a step."""
        self._replacement_paid.discard(endpoint)
