"""The lease whose holder controls the placement of layers.

The store's group grants the lease to one of its members, with a generation
that serves as fencing token.  Members join and leave at any time, and each
change may move the lease.  To keep the time without a leader short, an entry
that loses the lease goes on for ``HANDOVER_S`` with its old token, but not
beyond the time at which its lease lapses; orders of the next holder take
precedence by their higher token.  One that cannot renew the lease goes on only
while others confirm that the store is away for them too
(:mod:`.outage_confirmation`).

A store that returns from an older copy counts its generations from there again,
so the token consists of the store's epoch and the generation.
"""

import asyncio
from typing import Any

from returns.result import Success

from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.keyed_log import KeyedLog, Membership
from foxtailhatch.router.lease_peers import (
    HttpLeasePeers,
    LeasePeers,
    NoPeers,
)
from foxtailhatch.router.outage_confirmation import OutageConfirmation

# The lease expires this long after the holder's last call, which allows for
# three calls.  If the holder dies, lost layers are not replaced until then.
LEASE_S = 1.5
# An entry that has lost the lease goes on for this long: two periods of calls,
# after which the next holder knows that it holds the lease.
HANDOVER_S = 0.8
# An entry that is no longer a candidate leaves the group after this time.  It
# is longer than the interruption by one failed call, after which a reader asks
# peers for a while and is a candidate again two seconds later.
LEAVE_AFTER_S = 4.5
# Period at which others are asked during a call that the store does not answer.
ASK_PERIOD_S = 0.4
# Bits of a fencing token that hold the generation; the epoch is above them.
# Engines read tokens as JSON numbers, which are exact up to 53 bits.
GENERATION_BITS = 32


def fencing_token(epoch: int, generation: int) -> int:
    """Return the fencing token of a generation within an epoch of the store.

    >>> fencing_token(epoch=2, generation=1) > fencing_token(1, 900)
    True
    """
    return (epoch << GENERATION_BITS) + generation


class LeaderLease:
    """Member of the group whose members compete for the lease."""

    def __init__(
        self,
        board: Blackboard,
        store: KeyedLog,
        log: StructuredLog,
        peers: LeasePeers | None = None,
    ) -> None:
        """Start outside the group."""
        self.is_held = False
        self.fencing_token = 0
        self.acquisitions = 0
        self._board = board
        self._store = store
        self._log = log
        self._outage = OutageConfirmation(board, peers or NoPeers(), log)
        self._epoch = 0
        self._generation = 0
        self._has_joined = False
        self._is_renewal_failing = False
        self._candidate_at = float('-inf')
        self._renewed_at = float('-inf')
        self._handover_until = float('-inf')
        self._fenced_token = -1

    async def maintain(self, *, is_candidate: bool) -> None:
        """Join the group, renew the membership, or leave the group."""
        if self._board.stop_requested_at is not None:
            return
        if self._board.is_cut_off_from_engines():
            # Another entry can give orders to the engines.
            if self._has_joined:
                await self.release()
            return
        now = self._board.clock()
        if is_candidate:
            self._candidate_at = now
            self._has_joined = True
        is_leaving = now - self._candidate_at >= LEAVE_AFTER_S
        if self.is_held or (self._has_joined and not is_leaving):
            await self._renew()
        elif self._has_joined:
            await self.release()

    async def release(self) -> None:
        """Leave the group, so that another entry can get the lease at once."""
        self._has_joined = False
        self.is_held = False
        left = await self._store.leave(self._board.cfg.instance)
        self._log.write('lease_released', outcome=str(left))

    def may_order(self, now: float) -> bool:
        """Return whether this entry may give orders to engines.

        A holder that cannot renew the lease goes on only while others confirm
        that the store is away for them; otherwise another entry may have the
        lease by now.  A lease of an earlier epoch of the store may be another
        entry's as well.  Who does not reach the engines knows nothing of them
        to order by.
        """
        if self._fenced_token >= self.fencing_token:
            return False
        is_restored = self._board.store_epoch > self._epoch
        if is_restored or self._board.is_cut_off_from_engines():
            return False
        if not self.is_held:
            return now < self._handover_until
        return now - self._renewed_at <= LEASE_S or self._outage.holds(now)

    def mark_fenced(self) -> None:
        """Stop giving orders: an engine has seen a higher fencing token."""
        self._fenced_token = self.fencing_token

    async def _renew(self) -> None:
        """Renew the lease, and ask others while the store does not answer."""
        self._outage.note_peers()
        renewal = asyncio.ensure_future(self._join())
        lapsed_at = self._renewed_at + LEASE_S
        while self.is_held:
            if self._board.clock() > lapsed_at:
                await self._outage.ask(lapsed_at)
            done, _ = await asyncio.wait((renewal,), timeout=ASK_PERIOD_S)
            if done:
                break
        await renewal

    async def _join(self) -> None:
        sent_at = self._board.clock()
        joined = await self._store.join(
            self._board.cfg.instance,
            self._generation,
            LEASE_S,
        )
        if isinstance(joined, Success):
            self._is_renewal_failing = False
            self._outage.reset()
            self._renewed(joined.unwrap(), sent_at, self._board.clock())
        elif not self._is_renewal_failing:
            self._is_renewal_failing = True
            self._log.write(
                'lease_renewal_failed',
                fault=joined.failure().value,
                held=self.is_held,
                token=self.fencing_token,
            )

    def _renewed(
        self, membership: Membership, sent_at: float, now: float
    ) -> None:
        """Apply the answer to a call that was sent at ``sent_at``.

        The store counts the lease from the arrival of the call, which may be
        long before its answer.
        """
        lapses_at = self._renewed_at + LEASE_S
        self._renewed_at = sent_at
        if membership.epoch > self._epoch:
            self._epoch = membership.epoch
            self._generation = 0
        self._generation = max(self._generation, membership.generation)
        if membership.is_holder:
            self.fencing_token = fencing_token(self._epoch, self._generation)
        if membership.is_holder == self.is_held:
            return
        self.is_held = membership.is_holder
        if self.is_held:
            self.acquisitions += 1
        else:
            # Who learns of the loss after the lease has lapsed, as it was cut
            # off or paused, must not act: the next holder has by then.
            self._handover_until = min(now + HANDOVER_S, lapses_at)
        self._log.write(
            'lease_acquired' if self.is_held else 'lease_lost',
            generation=membership.generation,
            epoch=membership.epoch,
        )


def build_lease(
    board: Blackboard, store: KeyedLog, log: StructuredLog, reactor: Any
) -> LeaderLease:
    """Return the lease of an entry that calls the others over HTTP."""
    return LeaderLease(board, store, log, HttpLeasePeers(reactor))
