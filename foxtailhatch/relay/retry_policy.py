"""Decide what follows when an attempt has failed."""

from dataclasses import dataclass
from enum import StrEnum

# Less time than this is not enough for another attempt to answer.
MIN_LEFT_S = 0.05
# Endpoints that could not be reached do not count as attempts; so many are
# tried for one request.
MAX_UNREACHED = 3


class Failure(StrEnum):
    """How an attempt failed."""

    UNREACHED = 'unreached'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    FAILED = 'failed'


class RetryAction(StrEnum):
    """What to do now.

    ``PASS_ON`` gives the caller the endpoint's own failure.
    """

    TRY_AGAIN = 'try_again'
    REFUSE = 'refuse'
    PASS_ON = 'pass_on'
    FAIL = 'fail'


@dataclass(frozen=True, slots=True)
class FailureContext:
    """What is known when an attempt has failed.

    ``may_have_run`` is set once any attempt may have begun the work, and
    ``is_started`` once the caller has got a part of the answer.
    """

    failure: Failure
    may_repeat: bool
    may_have_run: bool
    is_started: bool
    attempts_left: int
    unreached: int
    time_left_s: float
    has_budget: bool


def action_after_failure(now: FailureContext) -> RetryAction:
    """Return what follows a failed attempt.

    >>> action_after_failure(FailureContext(
    ...     Failure.MAY_HAVE_RUN, may_repeat=False, may_have_run=True,
    ...     is_started=False, attempts_left=1, unreached=0, time_left_s=1,
    ...     has_budget=True,
    ... )).value
    'fail'
    """
    if _may_try_again(now):
        return RetryAction.TRY_AGAIN
    if now.failure is Failure.FAILED and not now.is_started:
        return RetryAction.PASS_ON
    if now.may_have_run or now.is_started:
        return RetryAction.FAIL
    return RetryAction.REFUSE


def _may_try_again(now: FailureContext) -> bool:
    if now.time_left_s < MIN_LEFT_S or not now.has_budget:
        return False
    if now.may_have_run and not now.may_repeat:
        return False
    if now.failure is Failure.UNREACHED:
        return now.unreached < MAX_UNREACHED
    return now.attempts_left > 0
