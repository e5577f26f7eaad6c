"""Whose turn it is to order engines, as this entry knows it.

The store's group gives the turn, with a generation that serves as fencing
token.  Members come and go all day, and each change may move the turn, so the
time in which nobody decides is kept short: who loses it goes on for a moment
with its old token, which the next holder's orders outrank.
"""

from returns.result import Success

from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.keyed_log import KeyedLog, Membership
from foxtailhatch.router.router_state import RouterState

# The turn lapses this long after the holder's last call.  Source: three calls;
# lost layers wait as long if the holder dies.
LEASE_S = 1.5
# Who has lost the turn goes on for this long.  Source: two periods of calls,
# after which the next holder knows of its turn.
HANDOVER_S = 0.8
# Who wants the turn no more leaves after this time.  Source: a reader that has
# met a failing call asks others for two seconds, and reads again for two before
# it counts as one.
LEAVE_AFTER_S = 4.5
# Knowledge older than this means that nobody reaches the store.  Source: the
# age at which entries leave a peer for being outdated.
STORE_OUTAGE_AGE_S = 2.8


class LeaderLease:
    """Take part in the group that gives the turn."""

    def __init__(
        self,
        board: RouterState,
        store: KeyedLog,
        log: StructuredLog,
    ) -> None:
        """Start outside the group."""
        self.is_held = False
        self.fencing_token = 0
        self.acquisitions = 0
        self._board = board
        self._store = store
        self._log = log
        self._generation = 0
        self._has_joined = False
        self._is_unheard = False
        self._wanted_at = float('-inf')
        self._heard_at = float('-inf')
        self._lost_at = float('-inf')
        self._fenced = -1

    async def maintain(self, *, is_candidate: bool) -> None:
        """Join those who take the turn, or leave them."""
        if self._board.stop_requested_at is not None:
            return
        now = self._board.clock()
        if is_candidate:
            self._wanted_at = now
            self._has_joined = True
        is_leaving = now - self._wanted_at >= LEAVE_AFTER_S
        if self.is_held or (self._has_joined and not is_leaving):
            await self._join()
        elif self._has_joined:
            await self.release()

    async def release(self) -> None:
        """Give the turn back, so that another entry can take it at once."""
        self._has_joined = False
        self.is_held = False
        left = await self._store.leave(self._board.cfg.instance)
        self._log.write('turn_left', outcome=str(left))

    def may_decide(self, now: float) -> bool:
        """Tell whether orders of this entry are wanted now.

        A holder that is cut off from the store goes on only if the store is
        away for all: else another entry has the turn by now.
        """
        if self._fenced >= self.fencing_token:
            return False
        if not self.is_held:
            return now - self._lost_at < HANDOVER_S
        if now - self._heard_at <= LEASE_S:
            return True
        return self._board.configuration_age(now) > STORE_OUTAGE_AGE_S

    def fenced(self) -> None:
        """Note that an engine has seen a higher token."""
        self._fenced = self.fencing_token

    async def _join(self) -> None:
        joined = await self._store.join(
            self._board.cfg.instance,
            self._generation,
            LEASE_S,
        )
        if isinstance(joined, Success):
            self._is_unheard = False
            self._joined(joined.unwrap(), self._board.clock())
        elif not self._is_unheard:
            self._is_unheard = True
            self._log.write(
                'turn_unheard',
                fault=joined.failure().value,
                held=self.is_held,
                fencing_token=self.fencing_token,
            )

    def _joined(self, membership: Membership, now: float) -> None:
        self._heard_at = now
        self._generation = max(self._generation, membership.generation)
        if membership.is_holder:
            self.fencing_token = self._generation
        if membership.is_holder == self.is_held:
            return
        self.is_held = membership.is_holder
        if self.is_held:
            self.acquisitions += 1
        else:
            self._lost_at = now
        self._log.write(
            'turn_taken' if self.is_held else 'turn_lost',
            generation=membership.generation,
        )
