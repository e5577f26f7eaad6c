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
from random import Random

from foxtailhatch.core import Address
from foxtailhatch.membership.composer import Composer
from foxtailhatch.membership.digest import (
    Digest,
    Want,
)
from foxtailhatch.membership.entries import EntryTable
from foxtailhatch.membership.entry import Entry, Liveness
from foxtailhatch.membership.entry_record import EntryChange
from foxtailhatch.membership.exchanges import Exchange, Exchanges
from foxtailhatch.membership.gossip_actions import (
    GossipAction,
    RequestConfiguration,
    SendDigest,
)
from foxtailhatch.membership.hearing import Hearing
from foxtailhatch.membership.partners import Partners
from foxtailhatch.membership.strangers import Strangers

ROUND_S = 1.0
ROUND_JITTER = 0.2
JOIN_ROUND_S = 0.25
EAGER_GAP_S = 0.5
KNOCK_ROUNDS = 2
CONFIGURATION_ASK_S = 3.0
SYNC_FAR_GAP_S = 5.0
SYNC_GAP_S = 30.0
SYNC_SHARE = 1.1


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
        self._hearing = Hearing(table, self._composer)
        self._strangers = Strangers(table, seeds)
        self._exchanges = Exchanges()
        self._announced = table.own
        self._is_hot = True
        self._has_joined = False
        self._round = 0
        self._round_at = float(0)
        self._eager_at = float(0)
        self._asked_until = float(0)
        self._synced_at = float('-inf')

    def set_listed_addresses(self, addresses: Iterable[Address]) -> None:
        """Take the peer addresses that the platform's list shows."""
        self._strangers.note_listed(addresses)

    def announce_endpoint_leaving(self, endpoint: str, now: float) -> None:
        """Learn at first hand that an endpoint leaves, and spread it."""
        if self._composer.add_leave(endpoint, now, now):
            self._is_hot = True

    def handle_unreachable(
        self,
        address: Address,
        now: float,
    ) -> tuple[GossipAction, ...]:
        """Learn that no connection to a peer address could be made."""
        return tuple(
            change
            for exchange in self._exchanges.take_with(address)
            for change in self._suspect(exchange.entry, now)
        )

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
        self._exchanges.end(sender.name)
        self._has_joined = True
        changes = self._hearing.take(digest, now)
        return (
            *changes,
            *self._ask_configuration(sender, now),
            *self._answer(digest, now),
            *self._sync(digest, now),
        )

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
            yield RequestConfiguration(sender.peer_address, own_version)

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
        for exchange in self._exchanges.take_overdue(now):
            if exchange.is_second:
                yield from self._suspect(exchange.entry, now)
            else:
                yield self._ask(exchange.entry, now, is_second=True)

    def _suspect(self, entry: Entry, now: float) -> list[GossipAction]:
        self.partners.drop(entry.name)
        if not self.table.suspect(entry.name, entry.incarnation, now):
            return []
        self._composer.add_suspicion(entry)
        return [EntryChange(entry.name, Liveness.SUSPECT)]

    def _send_eagerly(self, now: float) -> Iterator[GossipAction]:
        is_hot = self._is_hot or self._hearing.is_hot
        if not is_hot or now < self._eager_at:
            return
        self._is_hot = False
        self._hearing.is_hot = False
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
        if record is not None and not self._exchanges.awaits(
            record.entry.name,
        ):
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
        self._exchanges.begin(Exchange(entry, now, is_second))
        digest = self._composer.compose(entry, Want.ANSWER, now)
        return SendDigest(entry.peer_address, digest, reconnect=is_second)

    def _knock(self, now: float) -> Iterator[GossipAction]:
        strangers = self._strangers.addresses(self._round)
        if strangers:
            want = Want.ANSWER if self._has_joined else Want.EVERYTHING
            digest = self._composer.compose(None, want, now)
            yield SendDigest(self._random.choice(strangers), digest)
