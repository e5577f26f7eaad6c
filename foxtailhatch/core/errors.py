"""Typed errors that a caller receives in place of a complete response."""

from dataclasses import dataclass
from enum import StrEnum


class RunState(StrEnum):
    """Whether a request was run.

    ``NOT_RUN`` guarantees that it was not, so that a retry is safe.
    """

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ErrorCode(StrEnum):
    """The stable codes of all errors that a caller can receive."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TOO_SLOW = 'body_too_slow'
    UNKNOWN_PATH = 'unknown_path'
    BAD_METHOD = 'bad_method'
    BAD_TOKEN = 'bad_token'
    FORBIDDEN = 'forbidden'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    NO_CONFIGURATION = 'no_configuration'
    NO_CAPACITY = 'no_capacity'
    QUEUE_FULL = 'queue_full'
    RATE_LIMITED = 'rate_limited'
    DEADLINE = 'deadline'
    SHUTTING_DOWN = 'shutting_down'
    KEY_REQUIRED = 'key_required'
    KEY_IN_USE = 'key_in_use'
    KEY_REUSED = 'key_reused'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    LOG_UNAVAILABLE = 'log_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    ENDPOINT_FAILED = 'endpoint_failed'
    SLOW_CALLER = 'slow_caller'
    CANCELLED = 'cancelled'
    VERSION_CONFLICT = 'version_conflict'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error response to a request.

    ``retry_after_s`` is the number of seconds to wait before a retry.
    ``address`` is the address (``host:port``) of another entry that may serve
    the request.  Both may be ``None``.

    >>> Refusal(ErrorCode.QUEUE_FULL, 'The queue is full.').run.value
    'not_run'
    """

    code: ErrorCode
    message: str
    run: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None
    address: str | None = None
