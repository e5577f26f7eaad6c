"""Await twisted's deferreds in coroutines of either loop interface."""

import asyncio
from typing import TypeVar

from twisted.internet.defer import Deferred

_Given = TypeVar('_Given')


async def wait_for_deferred(deferred: 'Deferred[_Given]') -> _Given:
    """Wait for a deferred, in an asyncio task or in twisted's coroutines.

    Both run on the one loop.  An asyncio task awaits futures only, and a
    coroutine that ``Deferred.fromCoroutine`` runs awaits deferreds only.
    """
    if _in_asyncio_task():
        loop = asyncio.get_running_loop()
        return await deferred.asFuture(loop)
    return await deferred


def _in_asyncio_task() -> bool:
    """Tell whether an asyncio task runs this code."""
    try:
        return asyncio.current_task() is not None
    except RuntimeError:
        return False
