"""The lease whose holder controls the placement of layers.

The store's group grants the lease to one of its members, with a generation
that serves as fencing token.  Each change of members may move the lease, so an
entry joins only when nobody holds it or the holder offers it
(:mod:`.lease_watch`), and leaves when another one has it.  A holder that stops
offers the lease to another entry and leaves when that one has joined.

An entry that loses the lease goes on for ``HANDOVER_S`` with its old token, but
not beyond the time at which its lease lapses; orders of the next holder take
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
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.keyed_log import KeyedLog, Membership
from foxtailhatch.router.lease_peers import (
    HttpLeasePeers,
    LeasePeers,
    NoPeers,
)
from foxtailhatch.router.lease_site import UP_TO_DATE_S
from foxtailhatch.router.lease_watch import LeaseWatch
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
# A member without the lease leaves the group after this time if another one
# holds it: what the store moves to it takes two calls of the former holder.
MEMBER_S = 1.5
# For this time after an offer an entry tries to get the lease.
OFFER_S = 2.0
# An entry that stops keeps the lease for this long while nobody takes it over.
# It runs for longer.
OFFERING_S = 2.2
# Pause before the lease is offered to the next entry.
OFFER_RETRY_S = 0.15
# Period of calls during a hand-over.
OFFER_CALL_PERIOD_S = 0.05
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
        self._peers = peers or NoPeers()
        self._outage = OutageConfirmation(board, self._peers, log)
        self._watch = LeaseWatch(board.cfg.instance)
        self._epoch = 0
        self._generation = 0
        self._joined_at: float | None = None
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
            if self._joined_at is not None:
                await self.hand_over()
            return
        now = self._board.clock()
        if is_candidate:
            self._candidate_at = now
        if self._is_offered(now):
            await self._take_over()
        elif self.is_held:
            await self._renew()
        else:
            await self._watch_holder(now, is_candidate=is_candidate)

    async def hand_over(self) -> None:
        """Leave the group, and before that let another entry join it."""
        await self._find_successor()
        if self._joined_at is not None:
            await self.release()

    async def release(self) -> None:
        """Leave the group, so that another entry can get the lease at once."""
        held_s = self._held_s()
        self._joined_at = None
        self._set_held(is_held=False)
        left = await self._store.leave(self._board.cfg.instance)
        self._log.write('lease_released', outcome=str(left), held_s=held_s)

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

    def _is_offered(self, now: float) -> bool:
        offered_at = self._board.lease_offered_at
        return (
            offered_at is not None
            and not self.is_held
            and now - offered_at < OFFER_S
            and self._board.stop_requested_at is None
        )

    async def _take_over(self) -> None:
        """Join, and renew often until the entry that offers has left."""
        while self._is_offered(self._board.clock()):
            await self._join()
            await asyncio.sleep(OFFER_CALL_PERIOD_S)
        self._board.lease_offered_at = None

    async def _find_successor(self) -> None:
        """Offer the lease, and renew it, until another entry has joined.

        An entry that stops may give orders meanwhile.  One that is cut off from
        the engines has no use for the lease, and offers it once.
        """
        until = self._board.clock() + OFFERING_S
        generation = self._generation
        is_accepted = False
        attempt = 0
        while self._awaits_successor(generation, until):
            is_accepted = is_accepted or await self._offer(attempt)
            attempt += 1
            if not is_accepted and self._board.stop_requested_at is None:
                break
            await asyncio.sleep(
                OFFER_CALL_PERIOD_S if is_accepted else OFFER_RETRY_S
            )
            await self._join()

    def _awaits_successor(self, generation: int, until: float) -> bool:
        """Return whether the group has not changed since a generation."""
        is_unchanged = self.is_held and self._generation == generation
        return is_unchanged and self._board.clock() < until

    async def _offer(self, attempt: int) -> bool:
        """Offer the lease to one of the others; return whether it accepts."""
        peers = self._successors()
        if not peers:
            return False
        peer = peers[attempt % len(peers)]
        is_accepted = await self._peers.offer(peer)
        self._log.write(
            'lease_offered',
            peer=peer.name,
            accepted=is_accepted,
            held_s=self._held_s(),
        )
        self._board.lease_handovers += is_accepted
        return is_accepted

    def _successors(self) -> list[EntryRecord]:
        """Return who may take over, readers of the store first."""
        now = self._board.clock()
        entries = self._board.entries
        listed = [*entries.readers(now), *entries.ready(now)]
        by_name = {entry.name: entry for entry in listed}
        by_name.pop(self._board.cfg.instance, None)
        return [entry for entry in by_name.values() if not entry.unreached]

    async def _watch_holder(self, now: float, *, is_candidate: bool) -> None:
        """Join if nobody holds the lease, and leave if another one does."""
        readers = self._board.entries.readers(now)
        if is_candidate and self._watch.is_due(readers, now):
            await self._look(now)
        if self._joined_at is None:
            if is_candidate and self._watch.should_join(readers, now):
                await self._join()
        elif self._should_leave(now):
            await self.release()
        else:
            await self._join()

    async def _look(self, now: float) -> None:
        looked = await self._store.holder()
        if isinstance(looked, Success):
            holder = looked.unwrap()
            is_listed = self._may_be_listed(holder, now)
            if holder != self._watch.holder:
                self._log.write('lease_holder', holder=holder)
            self._watch.record_holder(holder, now, is_listed=is_listed)
        elif self._board.configuration_age(now) <= UP_TO_DATE_S:
            self._watch.record_failure(now)

    def _may_be_listed(self, holder: str, now: float) -> bool:
        """Return whether the holder is listed, or its heartbeat may be missed."""
        listed = {entry.name for entry in self._board.entries.ready(now)}
        return holder in listed or self._board.may_miss_heartbeats(now)

    def _should_leave(self, now: float) -> bool:
        """Return whether this entry, a member without the lease, should leave."""
        if now - self._candidate_at >= LEAVE_AFTER_S:
            return True
        joined_at = self._joined_at
        is_settled = joined_at is not None and now - joined_at >= MEMBER_S
        return is_settled and self._watch.is_held_by_another()

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
        if self._joined_at is None:
            self._joined_at = sent_at
        joined = await self._store.join(
            self._board.cfg.instance,
            self._generation,
            LEASE_S,
        )
        if self._joined_at is None:
            # This entry has left in the meantime.
            return
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
        held_s = self._held_s()
        self._set_held(is_held=membership.is_holder)
        if self.is_held:
            self.acquisitions += 1
            self._board.lease_acquisitions += 1
        else:
            # Who learns of the loss after the lease has lapsed, as it was cut
            # off or paused, must not act: the next holder has by then.
            self._handover_until = min(now + HANDOVER_S, lapses_at)
        self._log.write(
            'lease_acquired' if self.is_held else 'lease_lost',
            generation=membership.generation,
            epoch=membership.epoch,
            held_s=held_s,
        )

    def _set_held(self, *, is_held: bool) -> None:
        self.is_held = is_held
        self._board.lease_held_since = self._board.clock() if is_held else None

    def _held_s(self) -> float:
        """Return for how long this entry has held the lease, in seconds."""
        since = self._board.lease_held_since
        return 0 if since is None else round(self._board.clock() - since, 2)


def build_lease(
    board: Blackboard, store: KeyedLog, log: StructuredLog, reactor: Any
) -> LeaderLease:
    """Return the lease of an entry that calls the others over HTTP."""
    return LeaderLease(board, store, log, HttpLeasePeers(reactor))
