"""The refusals of requests that run at most once, each with what to do."""

from collections.abc import Callable

from foxtailhatch.core import ErrorCode, Refusal, RunState

RefusalFactory = Callable[[RunState], Refusal]

LOG_RETRY_S = 5.0
KEY_RETRY_S = 1.0


def malformed_key() -> Refusal:
    """No entry ever runs such a request."""
    return Refusal(
        ErrorCode.KEY_REQUIRED,
        'Give an idempotency key: a UUID of version 7, or Unix seconds, a '
        'hyphen and text that makes it unique.',
    )


def key_time_in_future(run: RunState) -> Refusal:
    """The key's time lies ahead; ``run`` tells of earlier tries."""
    return Refusal(
        ErrorCode.BAD_REQUEST,
        'The time in the idempotency key lies in the future.',
        run,
    )


def key_expired() -> Refusal:
    """The key is older than the log can tell about."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        'The idempotency key is too old to tell whether it ran.  Check with '
        'the service before you send the request under a new key.',
        RunState.UNKNOWN,
    )


def key_records_lost() -> Refusal:
    """Records that may be about this key were lost to this entry."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        'Records of the log that may be about this key are lost.  Check '
        'with the service before you send it under a new key.',
        RunState.UNKNOWN,
    )


def key_reused() -> Refusal:
    """The key belongs to another request, which is the one that counts."""
    return Refusal(
        ErrorCode.KEY_REUSED,
        'The idempotency key belongs to a different request.  This one was '
        'not run; send it under a new key.',
    )


def key_in_use() -> Refusal:
    """An earlier try holds the key and may still run."""
    return Refusal(
        ErrorCode.KEY_IN_USE,
        'An earlier try under this key may be running.  Try again later '
        'under the same key; it runs at most once.',
        RunState.UNKNOWN,
        KEY_RETRY_S,
    )


def key_released() -> Refusal:
    """An earlier try gave the key up; others may have begun since.

    The abandon may be older than this request, so it does not tell about
    tries that arrived between the two.
    """
    return Refusal(
        ErrorCode.KEY_IN_USE,
        'An earlier try gave the key back.  Try again under the same key; it '
        'runs at most once.',
        RunState.UNKNOWN,
        KEY_RETRY_S,
    )


def holder_unresponsive() -> Refusal:
    """An earlier try holds the key and is not heard of any more."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        'An earlier try under this key may have run, and its entry does not '
        'tell.  Check with the service before you use a new key.',
        RunState.UNKNOWN,
    )


def outcome_unknown() -> Refusal:
    """The request was sent and its answer is lost."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        'The request was sent and its answer was lost.  Check with the '
        'service before you send it under a new key.',
        RunState.UNKNOWN,
    )


def not_sent_in_time(run: RunState) -> Refusal:
    """The key was given up before anything was sent under its claim."""
    return Refusal(
        ErrorCode.DEADLINE,
        'The request was not sent in time.  Try again with the same key.',
        run,
        KEY_RETRY_S,
    )


def log_unavailable(run: RunState) -> Refusal:
    """Nothing can be claimed now; ``run`` tells of earlier tries."""
    earlier_run = (
        'It was not run.'
        if run is RunState.NOT_RUN
        else 'Whether an earlier try ran cannot be told now.'
    )
    return Refusal(
        ErrorCode.LOG_UNAVAILABLE,
        f'The log does not answer.  {earlier_run}  Try again with the same key; it '
        'runs at most once.',
        run,
        LOG_RETRY_S,
    )


def partition_counts_differ() -> Refusal:
    """Entries with different settings wrote claims of late."""
    return Refusal(
        ErrorCode.LOG_UNAVAILABLE,
        'The entries do not agree on the number of claim streams.',
        RunState.UNKNOWN,
        LOG_RETRY_S,
    )
