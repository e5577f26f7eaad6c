"""Decide whether to retry, refuse or fail after a failed attempt."""

from dataclasses import dataclass
from enum import StrEnum

# With less time left than this, another attempt could not respond in time.
MIN_RETRY_TIME_S = 0.05
# Unreachable endpoints do not count as attempts, so they have their own limit.
MAX_UNREACHED_ENDPOINTS = 3


class FailureKind(StrEnum):
    """How an attempt failed.

    ``FAILED`` is an error status of the endpoint itself.  After ``MALFORMED`` bytes,
    which are no answer to the request, it may have run as well.
    """

    UNREACHED = 'unreached'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    FAILED = 'failed'
    MALFORMED = 'malformed'


class RetryAction(StrEnum):
    """What to do after a failed attempt.

    ``HEDGE`` continues with the hedged attempt that runs beside the failed one.
    ``FORWARD`` sends the endpoint's own error response to the caller.
    ``REFUSE`` states that the request has not run; ``FAIL`` does not.
    """

    RETRY = 'try_again'
    HEDGE = 'hedge'
    REFUSE = 'refuse'
    FORWARD = 'pass_on'
    FAIL = 'fail'


@dataclass(frozen=True, slots=True)
class FailureContext:
    """The state of a request when an attempt has failed.

    ``may_repeat`` is set where the route allows the request to run twice,
    ``may_have_run`` once any attempt may have started the work, and
    ``is_started`` once a part of the response has been sent to the caller.
    ``unreached`` is the number of endpoints that could not be reached.
    """

    failure: FailureKind
    may_repeat: bool
    may_have_run: bool
    is_started: bool
    attempts_left: int
    unreached: int
    time_left_s: float
    has_budget: bool


def action_after_failure(context: FailureContext) -> RetryAction:
    """Return the action after a failed attempt.

    >>> action_after_failure(FailureContext(
    ...     FailureKind.MAY_HAVE_RUN, may_repeat=False, may_have_run=True,
    ...     is_started=False, attempts_left=1, unreached=0, time_left_s=1,
    ...     has_budget=True,
    ... )).value
    'fail'
    """
    if _may_try_again(context):
        return RetryAction.RETRY
    if context.failure is FailureKind.FAILED and not context.is_started:
        return RetryAction.FORWARD
    if context.may_have_run or context.is_started:
        return RetryAction.FAIL
    return RetryAction.REFUSE


def _may_try_again(context: FailureContext) -> bool:
    if context.time_left_s < MIN_RETRY_TIME_S or not context.has_budget:
        return False
    if context.may_have_run and not context.may_repeat:
        return False
    if context.failure is FailureKind.UNREACHED:
        return context.unreached < MAX_UNREACHED_ENDPOINTS
    return context.attempts_left > 0
