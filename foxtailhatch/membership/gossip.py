"""Gossip protocol that spreads membership at a constant cost per entry.

About once a second an entry exchanges digests with one of its partners.  A
digest holds a bounded number of updates, least transmitted and newest first,
so its size does not grow with the number of members.  Urgent updates (a
leave, a stop, a new configuration version) are sent to all partners
immediately, at a bounded rate.

An exchange that gets no reply is retried once on a new connection, because
an open connection can stop delivering without an error; if the retry times
out, the partner becomes suspect.  A live entry that receives a suspicion about
itself raises its incarnation, which refutes the suspicion.
"""

from collections.abc import Iterable, Iterator
from random import Random

from foxtailhatch.core import Address
from foxtailhatch.membership.digest import (
    Digest,
    RequestedReply,
)
from foxtailhatch.membership.digest_builder import DigestBuilder
from foxtailhatch.membership.digest_handler import DigestHandler
from foxtailhatch.membership.discovery import DiscoveryAddresses
from foxtailhatch.membership.entries import EntryTable
from foxtailhatch.membership.entry import Entry, Liveness
from foxtailhatch.membership.entry_record import EntryChange
from foxtailhatch.membership.gossip_actions import (
    GossipAction,
    RequestConfiguration,
    SendDigest,
)
from foxtailhatch.membership.partners import Partners
from foxtailhatch.membership.pending_exchanges import Exchange, PendingExchanges

ROUND_INTERVAL_S = 1.0
ROUND_JITTER = 0.2
JOIN_ROUND_INTERVAL_S = 0.25
EAGER_INTERVAL_S = 0.5
DISCOVERY_ROUNDS = 2
CONFIGURATION_REQUEST_INTERVAL_S = 3.0
FAR_BEHIND_SYNC_INTERVAL_S = 5.0
SYNC_INTERVAL_S = 30.0
FAR_BEHIND_FACTOR = 1.1


class Gossip:
    """Decide which digests to send; the daemon executes the actions.

    Call :meth:`tick` a few times a second, and :meth:`receive` for each
    received digest.
    """

    def __init__(
        self,
        table: EntryTable,
        random: Random,
        seeds: Iterable[Address] = (),
    ) -> None:
        """Create with ``seeds``, the peer addresses from the settings."""
        self.table = table
        self.partners = Partners(random)
        self._builder = DigestBuilder(table, random)
        self._random = random
        self._digest_handler = DigestHandler(table, self._builder)
        self._discovery = DiscoveryAddresses(table, seeds)
        self._exchanges = PendingExchanges()
        self._announced = table.own
        self._has_urgent_update = True
        self._has_joined = False
        self._round = 0
        self._next_round_at = float(0)
        self._next_eager_at = float(0)
        self._next_configuration_request_at = float(0)
        self._last_sync_at = float('-inf')

    def set_listed_addresses(self, addresses: Iterable[Address]) -> None:
        """Replace the peer addresses from the platform's instance list."""
        self._discovery.replace_listed(addresses)

    def announce_endpoint_leaving(self, endpoint: str, now: float) -> None:
        """Spread a locally observed endpoint leave as an urgent update."""
        if self._builder.add_leave(endpoint, now, now):
            self._has_urgent_update = True

    def handle_unreachable(
        self,
        address: Address,
        now: float,
    ) -> tuple[GossipAction, ...]:
        """Suspect peers with a pending exchange at an unreachable address."""
        return tuple(
            change
            for exchange in self._exchanges.pop_by_address(address)
            for change in self._suspect(exchange.entry, now)
        )

    def tick(self, now: float) -> tuple[GossipAction, ...]:
        """Return the actions that are due now."""
        changes = self.table.expire(now)
        self._detect_own_changes()
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
        """Apply a peer's digest; return the reply and other actions."""
        sender = digest.sender
        if sender.name == self.table.own.name:
            self.table.merge(sender, now)
            return ()
        self._exchanges.remove(sender.name)
        self._has_joined = True
        changes = self._digest_handler.apply(digest, now)
        return (
            *changes,
            *self._request_configuration(sender, now),
            *self._answer(digest, now),
            *self._sync(digest, now),
        )

    def _request_configuration(
        self,
        sender: Entry,
        now: float,
    ) -> Iterator[GossipAction]:
        own_version = self.table.own.configuration_version
        if sender.configuration_version <= own_version:
            return
        if now >= self._next_configuration_request_at:
            self._next_configuration_request_at = (
                now + CONFIGURATION_REQUEST_INTERVAL_S
            )
            yield RequestConfiguration(sender.peer_address, own_version)

    def _answer(self, digest: Digest, now: float) -> Iterator[GossipAction]:
        record = self.table.record(digest.sender.name)
        is_suspect_or_dead = record and record.liveness is not Liveness.ALIVE
        if (
            digest.requested_reply is RequestedReply.NOTHING
            and not is_suspect_or_dead
        ):
            return
        answer = self._builder.build(
            digest.sender,
            RequestedReply.NOTHING,
            now,
            with_all=digest.requested_reply is RequestedReply.ALL_ENTRIES,
        )
        yield SendDigest(digest.sender.peer_address, answer)

    def _sync(self, digest: Digest, now: float) -> Iterator[GossipAction]:
        """Request all entries from a peer that knows more members.

        A few updates a second are too slow for an entry that starts together
        with many others, or for regions that reconnect after a network
        partition.
        """
        own_members = self.table.count()
        if digest.members <= own_members:
            return
        is_far_behind = digest.members > own_members * FAR_BEHIND_FACTOR + 1
        interval_s = (
            FAR_BEHIND_SYNC_INTERVAL_S if is_far_behind else SYNC_INTERVAL_S
        )
        if now >= self._last_sync_at + interval_s:
            self._last_sync_at = now
            sender = digest.sender
            request = self._builder.build(
                sender, RequestedReply.ALL_ENTRIES, now
            )
            yield SendDigest(sender.peer_address, request)

    def _detect_own_changes(self) -> None:
        own = self.table.own
        is_same = own.equals_in_announced_fields(self._announced)
        version = self._announced.configuration_version
        if not is_same or own.configuration_version != version:
            self._has_urgent_update = True
            self._next_configuration_request_at = 0
        self._announced = own

    def _retry_unanswered(self, now: float) -> Iterator[GossipAction]:
        for exchange in self._exchanges.pop_overdue(now):
            if exchange.is_retry:
                yield from self._suspect(exchange.entry, now)
            else:
                yield self._start_exchange(exchange.entry, now, is_retry=True)

    def _suspect(self, entry: Entry, now: float) -> list[GossipAction]:
        self.partners.discard(entry.name)
        if not self.table.suspect(entry.name, entry.incarnation, now):
            return []
        self._builder.add_suspicion(entry)
        return [EntryChange(entry.name, Liveness.SUSPECT)]

    def _send_eagerly(self, now: float) -> Iterator[GossipAction]:
        has_urgent_update = (
            self._has_urgent_update or self._digest_handler.has_urgent_update
        )
        if not has_urgent_update or now < self._next_eager_at:
            return
        self._has_urgent_update = False
        self._digest_handler.has_urgent_update = False
        self.partners.refresh(self.table.own, self.table.peers(), now)
        self._next_eager_at = now + EAGER_INTERVAL_S
        for entry in self._partner_entries():
            digest = self._builder.build(entry, RequestedReply.NOTHING, now)
            yield SendDigest(entry.peer_address, digest)

    def _partner_entries(self) -> Iterator[Entry]:
        for name in self.partners.names():
            record = self.table.record(name)
            if record is not None:
                yield record.entry

    def _start_round(self, now: float) -> Iterator[GossipAction]:
        if now < self._next_round_at:
            return
        self._round += 1
        self._next_round_at = now + self._round_interval_s()
        self.table.update_own()
        self._announced = self.table.own
        self.partners.refresh(self.table.own, self.table.peers(), now)
        record = self.table.record(self.partners.next_name() or '')
        if record is not None and not self._exchanges.is_pending(
            record.entry.name,
        ):
            yield self._start_exchange(record.entry, now)
        if record is None or self._round % DISCOVERY_ROUNDS == 0:
            yield from self._contact_discovered(now)

    def _round_interval_s(self) -> float:
        pause = ROUND_INTERVAL_S if self._has_joined else JOIN_ROUND_INTERVAL_S
        return pause * (1 + ROUND_JITTER * (2 * self._random.random() - 1))

    def _start_exchange(
        self,
        entry: Entry,
        now: float,
        *,
        is_retry: bool = False,
    ) -> SendDigest:
        self._exchanges.add(Exchange(entry, now, is_retry))
        digest = self._builder.build(entry, RequestedReply.DIGEST, now)
        return SendDigest(entry.peer_address, digest, reconnect=is_retry)

    def _contact_discovered(self, now: float) -> Iterator[GossipAction]:
        candidates = self._discovery.addresses(self._round)
        if candidates:
            requested_reply = (
                RequestedReply.DIGEST
                if self._has_joined
                else RequestedReply.ALL_ENTRIES
            )
            digest = self._builder.build(None, requested_reply, now)
            yield SendDigest(self._random.choice(candidates), digest)
