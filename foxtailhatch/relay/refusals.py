"""Reasons for which the router refuses or fails a request."""

from dataclasses import dataclass
from enum import StrEnum

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_LARGE = 413
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class RefusalReason(StrEnum):
    """Stable reasons that appear in responses, logs and metrics."""

    NO_CONFIGURATION = 'no_configuration'
    STALE_CONFIGURATION = 'stale_configuration'
    NO_ROUTE = 'no_route'
    UNKNOWN_KEY = 'unknown_key'
    BODY_TOO_LARGE = 'body_too_large'
    BODIES_TOO_LARGE = 'bodies_too_large'
    BODY_IN_SMALL_PIECES = 'body_in_small_pieces'
    STOPPING = 'stopping'
    NO_ENDPOINT = 'no_endpoint'
    ENDPOINT_REFUSED = 'endpoint_refused'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    TIMEOUT_BEFORE_RUN = 'timeout_before_run'
    TIMEOUT = 'timeout'
    NO_REQUEST_ID = 'no_request_id'
    QUARANTINED = 'quarantined_prompt'
    SUSPECTED = 'suspected_request'


_STATUSES = {
    RefusalReason.NO_ROUTE: NOT_FOUND,
    RefusalReason.UNKNOWN_KEY: UNAUTHORIZED,
    RefusalReason.BODY_TOO_LARGE: TOO_LARGE,
    RefusalReason.BODY_IN_SMALL_PIECES: TOO_LARGE,
    RefusalReason.NO_REQUEST_ID: BAD_REQUEST,
    RefusalReason.OUTCOME_UNKNOWN: BAD_GATEWAY,
    RefusalReason.TIMEOUT: GATEWAY_TIMEOUT,
}


@dataclass(frozen=True, slots=True)
class RelayRefusal:
    """An error response that the router itself gives.

    ``retry_after_s`` is set where the request has not run and may succeed
    if the caller retries after that time.

    >>> RelayRefusal(RefusalReason.NO_ROUTE).status
    404
    """

    reason: RefusalReason
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return _STATUSES.get(self.reason, UNAVAILABLE)
