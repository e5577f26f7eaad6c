"""Replies that a coroutine gives later."""

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
    awaited: Coroutine[Any, Any, Reply],
) -> int:
    """Answer ``req`` with what ``awaited`` returns.

    The coroutine is not cancelled when the caller hangs up, for what it has
    begun outside cannot be taken back.
    """
    gone: list[object] = []
    req.notifyFinish().addErrback(gone.append)
    task = asyncio.ensure_future(awaited)
    task.add_done_callback(partial(_finish, context, req, gone))
    return NOT_DONE_YET


def internal_error() -> Refusal:
    """Return the refusal for a fault of the program itself."""
    message = 'The entry failed; whether the request ran is not known.'
    return Refusal(ErrorCode.INTERNAL, message, RunState.UNKNOWN)


def _finish(
    context: ApiContext,
    req: Request,
    gone: list[object],
    task: 'asyncio.Task[Reply]',
) -> None:
    exc = task.exception()
    if isinstance(exc, InvariantViolation):
        context.observability.invariant_broken(exc)
    reply = refusal_reply(internal_error()) if exc else task.result()
    if gone:
        context.observability.record_request_outcome(ErrorCode.CANCELLED)
    else:
        context.observability.record_request_outcome(reply.code)
        send(req, reply)
    if exc is not None:
        raise exc
