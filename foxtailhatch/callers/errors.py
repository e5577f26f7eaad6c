"""Map refusals to HTTP statuses, headers and JSON bodies."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from math import ceil
from types import MappingProxyType

from foxtailhatch.core import ErrorCode, Refusal

CLIENT_CLOSED_REQUEST = 499

HTTP_STATUSES: Mapping[ErrorCode, int] = MappingProxyType(
    {
        ErrorCode.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
        ErrorCode.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        ErrorCode.BODY_TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
        ErrorCode.UNKNOWN_PATH: HTTPStatus.NOT_FOUND,
        ErrorCode.BAD_METHOD: HTTPStatus.METHOD_NOT_ALLOWED,
        ErrorCode.BAD_TOKEN: HTTPStatus.UNAUTHORIZED,
        ErrorCode.FORBIDDEN: HTTPStatus.FORBIDDEN,
        ErrorCode.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
        ErrorCode.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        ErrorCode.NO_CONFIGURATION: HTTPStatus.SERVICE_UNAVAILABLE,
        ErrorCode.NO_CAPACITY: HTTPStatus.SERVICE_UNAVAILABLE,
        ErrorCode.QUEUE_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
        ErrorCode.RATE_LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
        ErrorCode.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
        ErrorCode.SHUTTING_DOWN: HTTPStatus.SERVICE_UNAVAILABLE,
        ErrorCode.KEY_REQUIRED: HTTPStatus.PRECONDITION_REQUIRED,
        ErrorCode.KEY_IN_USE: HTTPStatus.CONFLICT,
        ErrorCode.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
        ErrorCode.ANSWER_NOT_KEPT: HTTPStatus.CONFLICT,
        ErrorCode.LOG_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
        ErrorCode.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
        ErrorCode.ENDPOINT_FAILED: HTTPStatus.BAD_GATEWAY,
        ErrorCode.SLOW_CALLER: HTTPStatus.REQUEST_TIMEOUT,
        ErrorCode.CANCELLED: CLIENT_CLOSED_REQUEST,
        ErrorCode.VERSION_CONFLICT: HTTPStatus.CONFLICT,
        ErrorCode.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
    }
)


def error_body(refusal: Refusal, **details: object) -> bytes:
    """Return the JSON body of ``refusal``; ``details`` are added to it.

    >>> error_body(Refusal(ErrorCode.QUEUE_FULL, 'Full.', retry_after_s=2))
    b'{"error":{"code":"queue_full","message":"Full.","run":"not_run",\
"retry_after_s":2}}'
    """
    error: dict[str, object] = {
        'code': refusal.code.value,
        'message': refusal.message,
        'run': refusal.run.value,
        **details,
    }
    if refusal.retry_after_s is not None:
        error['retry_after_s'] = refusal.retry_after_s
    if refusal.address is not None:
        error['address'] = refusal.address
    return json.dumps({'error': error}, separators=(',', ':')).encode()


def error_headers(refusal: Refusal) -> dict[str, str]:
    """Return the headers of the response for ``refusal``.

    >>> error_headers(Refusal(ErrorCode.QUEUE_FULL, '', retry_after_s=1.2))
    {'Content-Type': 'application/json', 'Retry-After': '2'}
    """
    headers = {'Content-Type': 'application/json'}
    if refusal.retry_after_s is not None:
        headers['Retry-After'] = str(ceil(refusal.retry_after_s))
    if refusal.code is ErrorCode.BAD_TOKEN:
        headers['WWW-Authenticate'] = 'Bearer'
    return headers
