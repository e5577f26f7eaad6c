"""Whether other entries confirm that the store is away for them as well.

An entry that cannot renew the leader lease cannot tell an outage of the store
from a fault on its own way there, in which another entry gets the lease.  Only
what others say at the moment counts: an answer is used for a second at most, so
the others are asked again for as long as the outage lasts.
"""

import asyncio
from collections.abc import Iterable, Sequence

from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.lease_peers import LeasePeers, PeerAge, PeerSilent

# A configuration older than this means that an entry does not reach the store:
# a reader whose data get old asks its peers well before.
STORE_OUTAGE_AGE_S = 2.8
# Data of a peer that are younger mean that it, or who feeds it, reaches the
# store.  Entries notice an outage up to a second apart.
PEER_OUTAGE_AGE_S = 1.7
# Answers are used for this long after the question was sent.
CONFIRMATION_S = 1.0
# More entries than this are not asked: one in each zone is enough.
MAX_ASKED = 8


class OutageConfirmation:
    """Ask the other readers of the store, or the entries that are fed."""

    def __init__(
        self, board: Blackboard, peers: LeasePeers, log: StructuredLog
    ) -> None:
        """Start without a confirmation."""
        self._board = board
        self._peers = peers
        self._log = log
        self._known: Sequence[EntryRecord] = ()
        self._until = float('-inf')
        self._was_confirmed: bool | None = None

    def note_peers(self) -> None:
        """Remember which entries to ask, as their records lapse."""
        now = self._board.clock()
        own = self._board.cfg.instance
        entries = self._board.entries
        for listed in (entries.readers(now), entries.ready(now)):
            others = [entry for entry in listed if entry.name != own]
            if others:
                self._known = others[:MAX_ASKED]
                return

    def reset(self) -> None:
        """Forget all answers, as this entry reaches the store again."""
        self._until = float('-inf')
        self._was_confirmed = None

    def holds(self, now: float) -> bool:
        """Return whether the store is away for all at ``now``.

        An entry that knows no other one goes by its own data.
        """
        if self._board.configuration_age(now) <= STORE_OUTAGE_AGE_S:
            return False
        return now < self._until or not self._others()

    async def ask(self, lapsed_at: float) -> None:
        """Ask all; ``lapsed_at`` is when the lease of this entry lapsed."""
        peers = self._others()
        if not peers:
            return
        sent_at = self._board.clock()
        ages = await asyncio.gather(*map(self._peers.data_age_s, peers))
        is_confirmed = confirms_outage(ages, sent_at - lapsed_at)
        self._until = sent_at + CONFIRMATION_S if is_confirmed else sent_at
        if is_confirmed != self._was_confirmed:
            self._was_confirmed = is_confirmed
            self._log.write(
                'outage_confirmed' if is_confirmed else 'outage_not_confirmed',
                peers={
                    peer.name: _describe(age)
                    for peer, age in zip(peers, ages, strict=True)
                },
            )

    def _others(self) -> Sequence[EntryRecord]:
        self.note_peers()
        return self._known


def confirms_outage(ages: Sequence[PeerAge], lapsed_s: float) -> bool:
    """Return whether these answers mean that the store is away for all.

    The lease lapsed ``lapsed_s`` ago.  At least half of those who were asked
    must answer, and each answer must be that the store was not reached since:

    >>> confirms_outage([4.0, PeerSilent()], lapsed_s=2.5)
    True
    >>> confirms_outage([2.0, 4.0], lapsed_s=2.5)
    False
    """
    answers = [age for age in ages if not isinstance(age, PeerSilent)]
    least_s = max(PEER_OUTAGE_AGE_S, lapsed_s)
    are_old = _are_older(answers, least_s)
    return are_old and bool(answers) and 2 * len(answers) >= len(ages)


def _are_older(ages: Iterable[PeerAge], limit_s: float) -> bool:
    return all(isinstance(age, float) and age > limit_s for age in ages)


def _describe(age: PeerAge) -> float | str:
    return round(age, 2) if isinstance(age, float) else type(age).__name__
