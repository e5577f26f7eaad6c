"""Decide whether a failed attempt may be tried again.

Retries spend tokens that only first attempts earn, so that they stay a share
of the traffic however much fails.  While endpoints refuse for lack of room,
no refusal of that kind is tried again: it would add load to an overload.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import ldexp
from random import Random

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
ATTEMPTS_MAX = 4
OVERLOAD_SHARE_MAX = 0.1
OVERLOAD_WEIGHT = 0.05
BACKOFF_FIRST_S = 0.02
BACKOFF_MAX_S = 1.0


class FailureCause(StrEnum):
    """Why an attempt failed, as far as it matters to a retry."""

    LOST = 'lost'
    REFUSED = 'refused'
    OVERLOAD = 'overload'


class RetryDenialReason(StrEnum):
    """Why there is no further attempt."""

    NOT_REPEATABLE = 'not_repeatable'
    ATTEMPTS_SPENT = 'attempts_spent'
    OVERLOADED = 'overloaded'
    BUDGET_SPENT = 'budget_spent'


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that failed; ``number`` counts from 1."""

    number: int
    cause: FailureCause
    repeatable: bool


@dataclass(frozen=True, slots=True)
class RetryGranted:
    """Try again after ``delay_s`` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class RetryDenied:
    """Do not try again."""

    reason: RetryDenialReason


RetryDecision = RetryGranted | RetryDenied


class RetryBudget:
    """A token bucket that requests fill and retries empty.

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
        """Start full, so that the first failures can be tried again."""
        self._random = random
        self._share = share
        self._burst = burst
        self._tokens = burst
        self._overload = float(0)

    @property
    def overload_share(self) -> float:
        """The recent share of attempts refused for lack of room."""
        return self._overload

    def note_request(self) -> None:
        """Take a first attempt; it earns a share of one retry."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def note_accepted(self) -> None:
        """Take an attempt that found room."""
        self._overload *= 1 - OVERLOAD_WEIGHT

    def request_retry(self, attempt: FailedAttempt) -> RetryDecision:
        """Decide about one more attempt, and spend a token if granted."""
        if attempt.cause is FailureCause.OVERLOAD:
            self._overload += OVERLOAD_WEIGHT * (1 - self._overload)
        reason = self._denial(attempt)
        if reason is not None:
            return RetryDenied(reason)
        self._tokens -= 1
        return RetryGranted(backoff_s(attempt.number, self._random))

    def _denial(self, attempt: FailedAttempt) -> RetryDenialReason | None:
        if not attempt.repeatable:
            return RetryDenialReason.NOT_REPEATABLE
        if attempt.number >= ATTEMPTS_MAX:
            return RetryDenialReason.ATTEMPTS_SPENT
        is_overloaded = self._overload > OVERLOAD_SHARE_MAX
        if is_overloaded and attempt.cause is FailureCause.OVERLOAD:
            return RetryDenialReason.OVERLOADED
        return RetryDenialReason.BUDGET_SPENT if self._tokens < 1 else None


def backoff_s(attempt: int, random: Random) -> float:
    """Return a random pause after the failed attempt of that number.

    >>> 0 <= backoff_s(1, Random(1)) <= BACKOFF_FIRST_S
    True
    """
    longest = min(BACKOFF_MAX_S, ldexp(BACKOFF_FIRST_S, attempt - 1))
    return longest * random.random()
