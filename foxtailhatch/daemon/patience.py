"""How long endpoints may owe a frame, from what their steps took before."""

from collections import Counter

from foxtailhatch.recovery import (
    FailedAttempt,
    FailureCause,
    RetryBudget,
    RetryGranted,
    StallDetector,
)


class BudgetedPatience:
    """Join the measured allowances with the retry budget.

    An endpoint that stalls holds up all answers on it.  The first one to give
    it up pays; until it answers again the others leave it for nothing, or
    most of a crowd would wait for the session to be lost.

    ``prefill`` is what all answers of this entry await of each endpoint, in
    positions.  An engine gives nothing while it fills, so a step may take as
    long as all of that; else a crowd that moves to a spare would flee it.
    """

    def __init__(self, progress: StallDetector, budget: RetryBudget) -> None:
        """Join the two."""
        self._progress = progress
        self._budget = budget
        self._stalled: set[str] = set()
        self.prefill: Counter[str] = Counter()

    def limit_s(self, endpoint: str, positions: int) -> float:
        """Return the allowance of a step, or of an opening if 0."""
        longest = max(1, positions, self.prefill[endpoint] + 1)
        return self._progress.timeout_s(endpoint, longest)

    def may_give_up(self, endpoint: str) -> bool:
        """Tell whether an overdue stage may be replaced; spend if so."""
        if endpoint in self._stalled:
            return True
        failed = FailedAttempt(1, FailureCause.LOST, repeatable=True)
        is_granted = isinstance(
            self._budget.request_retry(failed), RetryGranted
        )
        if is_granted:
            self._stalled.add(endpoint)
        return is_granted

    def answered(self, endpoint: str) -> None:
        """Learn that an endpoint answered a step."""
        self._stalled.discard(endpoint)
