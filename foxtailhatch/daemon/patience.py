"""How long endpoints may owe a frame, from what their steps took before."""

from foxtailhatch.recovery import (
    FailedAttempt,
    FailureCause,
    ProgressWatch,
    RetryBudget,
    RetryGranted,
)


class BudgetedPatience:
    """Join the measured allowances with the retry budget."""

    def __init__(self, progress: ProgressWatch, budget: RetryBudget) -> None:
        """Join the two."""
        self._progress = progress
        self._budget = budget

    def limit_s(self, endpoint: str, positions: int) -> float:
        """Return the allowance of a step, or of an opening if 0."""
        return self._progress.allowance_s(endpoint, max(1, positions))

    def may_give_up(self, endpoint: str) -> bool:
        """Tell whether the budget has a retry left, and spend it."""
        failed = FailedAttempt(1, FailureCause.LOST, repeatable=True)
        return isinstance(self._budget.ask(failed), RetryGranted)
