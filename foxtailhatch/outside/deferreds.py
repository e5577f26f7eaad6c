"""Await Twisted deferreds in asyncio tasks and in Twisted coroutines."""

import asyncio
from typing import TypeVar

from twisted.internet.defer import Deferred

_Result = TypeVar('_Result')


async def wait_for_deferred(deferred: 'Deferred[_Result]') -> _Result:
    """Await a deferred in an asyncio task or in a Twisted coroutine.

    Both run on the same loop.  An asyncio task can await futures only, and a
    coroutine that ``Deferred.fromCoroutine`` runs can await deferreds only.
    """
    if _in_asyncio_task():
        loop = asyncio.get_running_loop()
        return await deferred.asFuture(loop)
    return await deferred


def _in_asyncio_task() -> bool:
    """Return whether an asyncio task runs this code."""
    try:
        return asyncio.current_task() is not None
    except RuntimeError:
        return False
