"""The refusals of admission control; all say that the request was not run."""

from foxtailhatch.core import ErrorCode, Refusal


def queue_full(retry_after_s: float) -> Refusal:
    """Return the refusal of a request because the queue is full."""
    return Refusal(
        ErrorCode.QUEUE_FULL,
        'Too many requests wait at this address.',
        retry_after_s=retry_after_s,
    )


def rate_limited(retry_after_s: float) -> Refusal:
    """Return the refusal of a request above its account's rate limit."""
    return Refusal(
        ErrorCode.RATE_LIMITED,
        'The client account sends more requests a second than it may.',
        retry_after_s=retry_after_s,
    )


def deadline_unreachable(retry_after_s: float) -> Refusal:
    """Return the refusal of a request that cannot meet its deadline."""
    return Refusal(
        ErrorCode.DEADLINE,
        'The request would not start in the time that its caller waits.',
        retry_after_s=retry_after_s,
    )
