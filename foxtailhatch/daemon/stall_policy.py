"""Timeouts of steps, and the retry budget for replacing stalled stages."""

from collections import Counter

from foxtailhatch.recovery import (
    FailedAttempt,
    FailureCause,
    RetryBudget,
    RetryGranted,
    StallDetector,
)


class BudgetedStallPolicy:
    """Combine the timeouts of a stall detector with a retry budget.

    A stalled endpoint delays all answers on it.  Only the first answer that
    replaces it takes a retry from the budget; the others replace it for free
    until it makes progress again.  Otherwise the budget would run out, and
    most of the answers would wait until the session is lost.

    ``prefill_in_flight`` holds the prefill positions that all answers of this
    entry have sent to each endpoint.  An engine returns no output during
    prefill, so a step may take as long as all of that prefill.  A shorter
    timeout would make answers that moved to a spare endpoint leave it again.
    """

    def __init__(
        self, stall_detector: StallDetector, budget: RetryBudget
    ) -> None:
        """Start with no stalled endpoint and no prefill in flight."""
        self._stall_detector = stall_detector
        self._budget = budget
        self._replacement_paid: set[str] = set()
        self.prefill_in_flight: Counter[str] = Counter()

    def timeout_s(self, endpoint: str, positions: int) -> float:
        """Return the timeout in seconds of a step of ``positions`` positions.

        ``positions`` is 0 for the opening of a stage.
        """
        longest = max(1, positions, self.prefill_in_flight[endpoint] + 1)
        return self._stall_detector.timeout_s(endpoint, longest)

    def may_replace(self, endpoint: str) -> bool:
        """Return whether an overdue stage may be replaced now.

        The first replacement after the last progress takes a retry from the
        budget.
        """
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
        """Record that an endpoint completed a step, so it has not stalled."""
        self._replacement_paid.discard(endpoint)
