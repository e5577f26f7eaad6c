"""Spread what entries know of each other at a cost that stays flat.

About once a second an entry sends a digest to one of its few partners and
gets one back.  A digest holds a bounded number of lines, the newest and least
told first, so its size does not grow with the members.  What must be known
within seconds (a leave, a stop, a new configuration version) is sent to all
partners at once, at a bounded rate.

An exchange without an answer is tried once more on a fresh link, because open
connections can go silent; then the partner is suspected.  A suspected entry
that hears of it raises its incarnation, which takes the suspicion back.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

from foxtailhatch.core import Address
from foxtailhatch.membership.composer import Composer
from foxtailhatch.membership.digest import (
    Digest,
    LeaveNotice,
    Suspicion,
    Want,
)
from foxtailhatch.membership.entries import EntryTable
from foxtailhatch.membership.entry import Entry, EntryState, Liveness
from foxtailhatch.membership.entry_record import EntryChange, Merge
from foxtailhatch.membership.partners import Partners

ROUND_S = 1.0
ROUND_JITTER = 0.2
JOIN_ROUND_S = 0.25
EAGER_GAP_S = 0.5
ANSWER_TIMEOUT_S = 2.0
KNOCK_ROUNDS = 2
DEAD_KNOCK_ROUNDS = 10
DEAD_SHARE_MANY = 0.1
CONFIGURATION_ASK_S = 3.0
SYNC_FAR_GAP_S = 5.0
SYNC_GAP_S = 30.0
SYNC_SHARE = 1.1


@dataclass(frozen=True, slots=True)
class SendDigest:
    """Send a digest; ``fresh_link`` says to replace the open connection."""

    address: Address
    digest: Digest
    fresh_link: bool = False


@dataclass(frozen=True, slots=True)
class AskConfiguration:
    """Ask a peer for its configuration, which is newer than our own."""

    address: Address
    version: int


@dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """A peer heard an endpoint say at ``observed_at`` that it leaves."""

    endpoint: str
    observed_at: float


GossipAction = SendDigest | AskConfiguration | EndpointLeaving | EntryChange


@dataclass(frozen=True, slots=True)
class _Awaited:
    """An exchange whose answer has not come yet."""

    entry: Entry
    sent_at: float
    is_second: bool = False


class Gossip:
    """Decide what to send to whom; the daemon carries the actions out.

    Call :meth:`tick` a few times a second, and :meth:`receive` for each
    digest that came.
    """

    def __init__(
        self,
        table: EntryTable,
        random: Random,
        seeds: Iterable[Address] = (),
    ) -> None:
        """Start from ``seeds``, the peer addresses of the settings."""
        self.table = table
        self.partners = Partners(random)
        self._composer = Composer(table, random)
        self._random = random
        self._seeds = frozenset(seeds)
        self._listed: frozenset[Address] = frozenset()
        self._awaited: dict[str, _Awaited] = {}
        self._announced = table.own
        self._is_hot = True
        self._has_joined = False
        self._round = 0
        self._round_at = float(0)
        self._eager_at = float(0)
        self._asked_until = float(0)
        self._synced_at = float('-inf')

    def note_addresses(self, addresses: Iterable[Address]) -> None:
        """Take the peer addresses that the platform's list shows."""
        self._listed = frozenset(addresses)

    def note_endpoint_leaving(self, endpoint: str, now: float) -> None:
        """Learn at first hand that an endpoint leaves, and spread it."""
        if self._composer.add_leave(endpoint, now, now):
            self._is_hot = True

    def note_unreachable(
        self,
        address: Address,
        now: float,
    ) -> tuple[GossipAction, ...]:
        """Learn that no connection to a peer address could be made."""
        actions: list[GossipAction] = []
        for name, awaited in tuple(self._awaited.items()):
            if awaited.entry.peer_address == address:
                self._awaited.pop(name)
                actions.extend(self._suspect(awaited.entry, now))
        return tuple(actions)

    def tick(self, now: float) -> tuple[GossipAction, ...]:
        """Return what is due now."""
        changes = self.table.expire(now)
        self._note_own_changes()
        return (
            *changes,
            *self._retry_unanswered(now),
            *self._send_eagerly(now),
            *self._start_round(now),
        )

    def receive(
        self,
        digest: Digest,
        now: float,
    ) -> tuple[GossipAction, ...]:
        """Take a peer's digest, and return the answer and other actions."""
        sender = digest.sender
        if sender.name == self.table.own.name:
            self.table.merge(sender, now)
            return ()
        self._awaited.pop(sender.name, None)
        self._has_joined = True
        changes = [
            *self._take_entries((sender, *digest.entries), now),
            *self._take_suspicions(digest.suspicions, now),
            *self._take_leaves(digest.leaves, now),
        ]
        return (
            *changes,
            *self._ask_configuration(sender, now),
            *self._answer(digest, now),
            *self._sync(digest, now),
        )

    def _take_entries(
        self,
        entries: Iterable[Entry],
        now: float,
    ) -> Iterator[GossipAction]:
        for entry in entries:
            before = self.table.record(entry.name)
            merge = self.table.merge(entry, now)
            after = self.table.record(entry.name)
            if merge is Merge.CHANGED and after is not None:
                self._composer.add_entry(entry.name)
                self._is_hot |= entry.state is not EntryState.SERVING
                yield EntryChange(entry.name, after.liveness)
            elif before and before.liveness is not Liveness.ALIVE:
                # The sender has not heard what is thought of this entry.
                self._composer.add_suspicion(before.entry)

    def _take_suspicions(
        self,
        suspicions: Iterable[Suspicion],
        now: float,
    ) -> Iterator[GossipAction]:
        for suspicion in suspicions:
            name = suspicion.entry
            if name == self.table.own.name:
                self._is_hot |= self.table.refute(suspicion.incarnation)
            elif self.table.suspect(name, suspicion.incarnation, now):
                record = self.table.record(name)
                if record is not None:
                    self._composer.add_suspicion(record.entry)
                yield EntryChange(name, Liveness.SUSPECT)

    def _take_leaves(
        self,
        leaves: Iterable[LeaveNotice],
        now: float,
    ) -> Iterator[GossipAction]:
        for notice in leaves:
            observed_at = now - notice.age_s
            if self._composer.add_leave(notice.endpoint, observed_at, now):
                self._is_hot = True
                yield EndpointLeaving(notice.endpoint, observed_at)

    def _ask_configuration(
        self,
        sender: Entry,
        now: float,
    ) -> Iterator[GossipAction]:
        own_version = self.table.own.configuration_version
        if sender.configuration_version <= own_version:
            return
        if now >= self._asked_until:
            self._asked_until = now + CONFIGURATION_ASK_S
            yield AskConfiguration(sender.peer_address, own_version)

    def _answer(self, digest: Digest, now: float) -> Iterator[GossipAction]:
        record = self.table.record(digest.sender.name)
        is_doubted = record and record.liveness is not Liveness.ALIVE
        if digest.want is Want.NOTHING and not is_doubted:
            return
        answer = self._composer.compose(
            digest.sender,
            Want.NOTHING,
            now,
            with_all=digest.want is Want.EVERYTHING,
        )
        yield SendDigest(digest.sender.peer_address, answer)

    def _sync(self, digest: Digest, now: float) -> Iterator[GossipAction]:
        """Ask a peer that knows far more members for all of them.

        A few lines a second are too slow for an entry that starts together
        with many others, or for regions that meet again after a cut.
        """
        own_members = self.table.count()
        if digest.members <= own_members:
            return
        is_far = digest.members > own_members * SYNC_SHARE + 1
        gap_s = SYNC_FAR_GAP_S if is_far else SYNC_GAP_S
        if now >= self._synced_at + gap_s:
            self._synced_at = now
            sender = digest.sender
            ask = self._composer.compose(sender, Want.EVERYTHING, now)
            yield SendDigest(sender.peer_address, ask)

    def _note_own_changes(self) -> None:
        own = self.table.own
        is_same = own.announces_as(self._announced)
        version = self._announced.configuration_version
        if not is_same or own.configuration_version != version:
            self._is_hot = True
            self._asked_until = 0
        self._announced = own

    def _retry_unanswered(self, now: float) -> Iterator[GossipAction]:
        for name, awaited in tuple(self._awaited.items()):
            if now < awaited.sent_at + ANSWER_TIMEOUT_S:
                continue
            self._awaited.pop(name)
            if awaited.is_second:
                yield from self._suspect(awaited.entry, now)
            else:
                yield self._ask(awaited.entry, now, is_second=True)

    def _suspect(self, entry: Entry, now: float) -> list[GossipAction]:
        self.partners.drop(entry.name)
        if not self.table.suspect(entry.name, entry.incarnation, now):
            return []
        self._composer.add_suspicion(entry)
        return [EntryChange(entry.name, Liveness.SUSPECT)]

    def _send_eagerly(self, now: float) -> Iterator[GossipAction]:
        if not self._is_hot or now < self._eager_at:
            return
        self._is_hot = False
        self.partners.refresh(self.table.own, self.table.peers(), now)
        self._eager_at = now + EAGER_GAP_S
        for entry in self._partner_entries():
            digest = self._composer.compose(entry, Want.NOTHING, now)
            yield SendDigest(entry.peer_address, digest)

    def _partner_entries(self) -> Iterator[Entry]:
        for name in self.partners.names():
            record = self.table.record(name)
            if record is not None:
                yield record.entry

    def _start_round(self, now: float) -> Iterator[GossipAction]:
        if now < self._round_at:
            return
        self._round += 1
        self._round_at = now + self._pause_s()
        self.table.update_own()
        self._announced = self.table.own
        self.partners.refresh(self.table.own, self.table.peers(), now)
        record = self.table.record(self.partners.next_name() or '')
        if record is not None and record.entry.name not in self._awaited:
            yield self._ask(record.entry, now)
        if record is None or self._round % KNOCK_ROUNDS == 0:
            yield from self._knock(now)

    def _pause_s(self) -> float:
        pause = ROUND_S if self._has_joined else JOIN_ROUND_S
        return pause * (1 + ROUND_JITTER * (2 * self._random.random() - 1))

    def _ask(
        self,
        entry: Entry,
        now: float,
        *,
        is_second: bool = False,
    ) -> SendDigest:
        self._awaited[entry.name] = _Awaited(entry, now, is_second)
        digest = self._composer.compose(entry, Want.ANSWER, now)
        return SendDigest(entry.peer_address, digest, fresh_link=is_second)

    def _knock(self, now: float) -> Iterator[GossipAction]:
        """Try an address where an unknown or a wrongly buried entry may be."""
        strangers = self._strangers()
        if strangers:
            want = Want.ANSWER if self._has_joined else Want.EVERYTHING
            digest = self._composer.compose(None, want, now)
            yield SendDigest(self._random.choice(strangers), digest)

    def _strangers(self) -> list[Address]:
        known = {entry.peer_address for entry in self.table.members()}
        dead = {entry.peer_address for entry in self.table.dead()}
        named = (self._seeds | self._listed) - known
        # Many dead at once may live behind a cut, so they are tried as often
        # as addresses of which nothing is known.
        is_cut_likely = len(dead) > DEAD_SHARE_MANY * self.table.count()
        is_dead_due = self._round % DEAD_KNOCK_ROUNDS == 0
        if is_cut_likely or is_dead_due:
            return sorted(named | dead)
        return sorted(named - dead)
