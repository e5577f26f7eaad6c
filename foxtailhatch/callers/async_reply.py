"""Replies that are returned by a coroutine."""

import asyncio
from collections.abc import Coroutine
from functools import partial
from typing import Any

from twisted.web.http import Request
from twisted.web.server import NOT_DONE_YET

from foxtailhatch.callers.api_context import ApiContext
from foxtailhatch.callers.replies import Reply, refusal_reply, send
from foxtailhatch.core import (
    ErrorCode,
    InvariantViolation,
    Refusal,
    RunState,
)


def reply_later(
    context: ApiContext,
    req: Request,
    coroutine: Coroutine[Any, Any, Reply],
) -> int:
    """Reply to ``req`` with the result of ``coroutine``.

    The coroutine is not cancelled if the caller disconnects, because the
    calls that it has already sent cannot be undone.
    """
    disconnects: list[object] = []
    req.notifyFinish().addErrback(disconnects.append)
    task = asyncio.ensure_future(coroutine)
    task.add_done_callback(partial(_finish, context, req, disconnects))
    return NOT_DONE_YET


def internal_error() -> Refusal:
    """Return the refusal for an unexpected exception."""
    message = 'Internal error; it is unknown whether the request ran.'
    return Refusal(ErrorCode.INTERNAL, message, RunState.UNKNOWN)


def _finish(
    context: ApiContext,
    req: Request,
    disconnects: list[object],
    task: 'asyncio.Task[Reply]',
) -> None:
    exc = task.exception()
    if isinstance(exc, InvariantViolation):
        context.observability.invariant_broken(exc)
    reply = refusal_reply(internal_error()) if exc else task.result()
    if disconnects:
        context.observability.record_request_outcome(ErrorCode.CANCELLED)
    else:
        context.observability.record_request_outcome(reply.code)
        send(req, reply)
    if exc is not None:
        raise exc
