"""The refusals of admission; all say that the request was not run."""

from foxtailhatch.core import ErrorCode, Refusal


def queue_full(retry_after_s: float) -> Refusal:
    """Return the refusal of a request that finds no place in the queue."""
    return Refusal(
        ErrorCode.QUEUE_FULL,
        'Too many requests wait at this address.',
        retry_after_s=retry_after_s,
    )


def rate_limited(retry_after_s: float) -> Refusal:
    """Return the refusal of a request above its account's rate."""
    return Refusal(
        ErrorCode.RATE_LIMITED,
        'The client account sends more requests a second than it may.',
        retry_after_s=retry_after_s,
    )


def deadline(retry_after_s: float) -> Refusal:
    """Return the refusal of a request that can't start soon enough."""
    return Refusal(
        ErrorCode.DEADLINE,
        'The request would not start in the time that its caller waits.',
        retry_after_s=retry_after_s,
    )
