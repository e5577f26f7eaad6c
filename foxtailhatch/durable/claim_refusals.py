"""Refusals of at-most-once requests, each with advice to the caller."""

from collections.abc import Callable

from foxtailhatch.core import ErrorCode, Refusal, RunState

RefusalFactory = Callable[[RunState], Refusal]

LOG_RETRY_S = 5.0
KEY_RETRY_S = 1.0


def malformed_key() -> Refusal:
    """Refuse a key without a creation time; no entry runs such a request."""
    return Refusal(
        ErrorCode.KEY_REQUIRED,
        'Expected an idempotency key: a UUID of version 7, or Unix seconds, '
        'a hyphen and text that makes it unique.',
    )


def key_time_in_future(run: RunState) -> Refusal:
    """Refuse a key created in the future; ``run`` covers earlier tries."""
    return Refusal(
        ErrorCode.BAD_REQUEST,
        'The time in the idempotency key is in the future.',
        run,
    )


def key_expired() -> Refusal:
    """Refuse a key that is older than the accepted lifetime."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        'The idempotency key is too old to determine whether its request '
        'ran.  Check with the service before you send it under a new key.',
        RunState.UNKNOWN,
    )


def key_records_lost() -> Refusal:
    """Refuse a key whose records this entry may have lost."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        'Log records that may concern this key are lost.  Check with the '
        'service before you send the request under a new key.',
        RunState.UNKNOWN,
    )


def key_reused() -> Refusal:
    """Refuse a key that was first used for a different request."""
    return Refusal(
        ErrorCode.KEY_REUSED,
        'The idempotency key belongs to a different request.  This one was '
        'not run; send it under a new key.',
    )


def key_in_use() -> Refusal:
    """Refuse while an earlier try holds the key and may still run."""
    return Refusal(
        ErrorCode.KEY_IN_USE,
        'An earlier try under this key may be running.  Try again later '
        'under the same key; it runs at most once.',
        RunState.UNKNOWN,
        KEY_RETRY_S,
    )


def key_released() -> Refusal:
    """Refuse after an earlier try released the key.

    The abandon may be older than this request, so nothing is known about
    tries that arrived between the two.
    """
    return Refusal(
        ErrorCode.KEY_IN_USE,
        'An earlier try released the key.  Try again under the same key; it '
        'runs at most once.',
        RunState.UNKNOWN,
        KEY_RETRY_S,
    )


def holder_unresponsive() -> Refusal:
    """Refuse if the holder of the key recorded no outcome in time."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        'An earlier try under this key may have run, and its entry has not '
        'recorded an outcome.  Check with the service before you use a new '
        'key.',
        RunState.UNKNOWN,
    )


def outcome_unknown() -> Refusal:
    """Refuse after a send whose response was lost."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        'The request was sent and its answer was lost.  Check with the '
        'service before you send it under a new key.',
        RunState.UNKNOWN,
    )


def not_sent_in_time(run: RunState) -> Refusal:
    """Refuse after the key was released before its request was sent."""
    return Refusal(
        ErrorCode.DEADLINE,
        'The request was not sent in time.  Try again with the same key.',
        run,
        KEY_RETRY_S,
    )


def log_unavailable(run: RunState) -> Refusal:
    """Refuse during a log outage; ``run`` covers earlier tries."""
    earlier_run = (
        'It was not run.'
        if run is RunState.NOT_RUN
        else 'Whether an earlier try ran is unknown now.'
    )
    return Refusal(
        ErrorCode.LOG_UNAVAILABLE,
        f'The log does not answer.  {earlier_run}  Try again with the same key; it '
        'runs at most once.',
        run,
        LOG_RETRY_S,
    )


def partition_counts_differ() -> Refusal:
    """Refuse while entries with another partition count write claims."""
    return Refusal(
        ErrorCode.LOG_UNAVAILABLE,
        'The entries are configured with different numbers of claim streams.',
        RunState.UNKNOWN,
        LOG_RETRY_S,
    )
