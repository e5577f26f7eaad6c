"""Decide whether a failed attempt may be retried.

Retries spend tokens that only first attempts earn, so retries stay a bounded
share of the traffic even if everything fails.  While many attempts are
refused for lack of capacity, such refusals are not retried, because retries
would add load to an overload.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import ldexp
from random import Random

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
ATTEMPTS_MAX = 4
OVERLOAD_SHARE_MAX = 0.1
OVERLOAD_EWMA_ALPHA = 0.05
BACKOFF_FIRST_S = 0.02
BACKOFF_MAX_S = 1.0


class FailureCause(StrEnum):
    """The cause of a failed attempt, as far as it matters for a retry."""

    LOST = 'lost'
    REFUSED = 'refused'
    OVERLOAD = 'overload'


class RetryDenialReason(StrEnum):
    """The reason why a retry is denied."""

    NOT_REPEATABLE = 'not_repeatable'
    ATTEMPTS_SPENT = 'attempts_spent'
    OVERLOADED = 'overloaded'
    BUDGET_SPENT = 'budget_spent'


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt of a request; ``number`` counts from 1.

    ``repeatable`` says whether the request may be sent again at all.
    """

    number: int
    cause: FailureCause
    repeatable: bool


@dataclass(frozen=True, slots=True)
class RetryGranted:
    """The request may be retried after ``delay_s`` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class RetryDenied:
    """The request must not be retried."""

    reason: RetryDenialReason


RetryDecision = RetryGranted | RetryDenied


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    >>> budget = RetryBudget(Random(1))
    >>> budget.request_retry(FailedAttempt(1, FailureCause.LOST, repeatable=False))
    RetryDenied(reason=<RetryDenialReason.NOT_REPEATABLE: 'not_repeatable'>)
    """

    def __init__(
        self,
        random: Random,
        share: float = RETRY_SHARE,
        burst: float = RETRY_BURST,
    ) -> None:
        """Start with a full bucket, so that early failures can be retried."""
        self._random = random
        self._share = share
        self._burst = burst
        self._tokens = burst
        self._overload_share = float(0)

    @property
    def overload_share(self) -> float:
        """The recent share of attempts refused for lack of capacity."""
        return self._overload_share

    def record_request(self) -> None:
        """Record a first attempt, which earns a fraction of one retry."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def record_accepted(self) -> None:
        """Record an attempt that an endpoint had the capacity to accept."""
        self._overload_share *= 1 - OVERLOAD_EWMA_ALPHA

    def request_retry(self, attempt: FailedAttempt) -> RetryDecision:
        """Decide whether to retry, and spend a token if the retry is granted."""
        if attempt.cause is FailureCause.OVERLOAD:
            self._overload_share += OVERLOAD_EWMA_ALPHA * (
                1 - self._overload_share
            )
        reason = self._denial_reason(attempt)
        if reason is not None:
            return RetryDenied(reason)
        self._tokens -= 1
        return RetryGranted(backoff_s(attempt.number, self._random))

    def _denial_reason(
        self, attempt: FailedAttempt
    ) -> RetryDenialReason | None:
        if not attempt.repeatable:
            return RetryDenialReason.NOT_REPEATABLE
        if attempt.number >= ATTEMPTS_MAX:
            return RetryDenialReason.ATTEMPTS_SPENT
        is_overloaded = self._overload_share > OVERLOAD_SHARE_MAX
        if is_overloaded and attempt.cause is FailureCause.OVERLOAD:
            return RetryDenialReason.OVERLOADED
        return RetryDenialReason.BUDGET_SPENT if self._tokens < 1 else None


def backoff_s(attempt: int, random: Random) -> float:
    """Return a random back-off after the failed attempt of that number.

    >>> 0 <= backoff_s(1, Random(1)) <= BACKOFF_FIRST_S
    True
    """
    max_backoff_s = min(BACKOFF_MAX_S, ldexp(BACKOFF_FIRST_S, attempt - 1))
    return max_backoff_s * random.random()
