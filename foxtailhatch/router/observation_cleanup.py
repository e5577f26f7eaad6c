"""Delete the observations of endpoints that have left.

The store keeps the latest record of each key for good, and every entry keeps
them all, so what is written under the names of endpoints would grow with each
one that ever existed.  The holder of the lease deletes them.
"""

import asyncio

from returns.result import Success

from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.keyed_log import KeyedLog, Topic
from foxtailhatch.router.leader_lease import LeaderLease
from foxtailhatch.router.mirror import Mirror
from foxtailhatch.router.prompt_records import is_prompt_key

# An endpoint that is missing for this long has left.  It is longer than an
# outage of the store, after which endpoints are listed again.
ABSENT_S = 120.0
# Limit on the writes of one step.
MAX_DELETIONS = 4


class ObservationCleanup:
    """Delete observations while this entry holds the lease."""

    def __init__(
        self,
        board: Blackboard,
        store: KeyedLog,
        mirror: Mirror,
        lease: LeaderLease,
        log: StructuredLog,
    ) -> None:
        """Find the observations in ``mirror``."""
        self._board = board
        self._store = store
        self._mirror = mirror.topics[Topic.OBSERVATIONS]
        self._lease = lease
        self._log = log
        self._absent_since: dict[str, float] = {}

    async def step(self) -> None:
        """Delete some of the observations that are due."""
        now = self._board.clock()
        endpoints = self._board.endpoints
        self._absent_since = {
            key: self._absent_since.get(key, now)
            for key in self._mirror.latest
            if not is_prompt_key(key) and endpoints.get(key) is None
        }
        if not self._lease.is_held:
            return
        due = [
            key
            for key, since in self._absent_since.items()
            if now - since >= ABSENT_S
        ]
        await asyncio.gather(*map(self._delete, due[:MAX_DELETIONS]))

    async def _delete(self, key: str) -> None:
        deleted = await self._store.put(Topic.OBSERVATIONS, key, None)
        outcome = 'deleted'
        if not isinstance(deleted, Success):
            outcome = deleted.failure().value
        self._log.write('observation_deleted', endpoint=key, outcome=outcome)
