"""Review of the endpoints whose records may have lapsed.

An entry whose reads failed keeps an endpoint whose record is missing, as the
endpoint may not have been able to renew it.  Whether the store was away for the
endpoints or turned away this entry alone is known to the other entries that read
the store, so they are asked.
"""

import asyncio
from collections.abc import Sequence
from typing import Any

from foxtailhatch.relay.structured_log import StructuredLog
from foxtailhatch.router.blackboard import Blackboard
from foxtailhatch.router.entry_table import EntryRecord
from foxtailhatch.router.outage_peers import HttpOutagePeers, OutagePeers
from foxtailhatch.router.store_outage import OutageView

# More entries than this are not asked: some in each zone read the store.
MAX_ASKED = 8


class LapseReview:
    """Ask other entries once for each endpoint that may have lapsed."""

    def __init__(
        self, board: Blackboard, peers: OutagePeers, log: StructuredLog
    ) -> None:
        """Start with no endpoint reviewed."""
        self._board = board
        self._peers = peers
        self._log = log
        self._reviewed: frozenset[str] = frozenset()

    async def step(self) -> None:
        """Review the endpoints that have lapsed since the last step."""
        endpoints = self._board.endpoints
        lapsed = endpoints.lapsed
        if lapsed <= self._reviewed:
            self._reviewed = lapsed
            return
        self._reviewed = lapsed
        await self._ask()
        now = self._board.clock()
        endpoints.limit_lapses(self._board.outage.reviewed_until(now))
        for name in endpoints.remove_lapsed(now):
            self._log.write('endpoint_gone', name=name, why='reviewed')

    async def _ask(self) -> None:
        """Ask the readers of the store about the failed reads of this entry."""
        failed_at = self._board.outage.failed_at
        peers = self._readers()
        if failed_at is None or not peers:
            return
        sent_at = self._board.clock()
        answers = await asyncio.gather(*map(self._peers.view, peers))
        received_at = self._board.clock()
        views = [
            _with_times(ages, sent_at, received_at)
            for ages in answers
            if ages is not None
        ]
        # One that has seen no failure can also explain those of the others.
        views.sort(key=lambda view: view.away_at is None)
        explained = sum([self._board.outage.adopt(view) for view in views])
        self._log.write(
            'failed_reads_reviewed',
            failed_age_s=round(sent_at - failed_at, 2),
            asked=len(peers),
            answered=len(views),
            explained=bool(explained),
            away=sum(view.away_at is not None for view in views),
            remaining_s=round(
                self._board.outage.reviewed_until(received_at) - received_at, 2
            ),
        )

    def _readers(self) -> Sequence[EntryRecord]:
        board = self._board
        return [
            reader
            for reader in board.entries.recent_readers(board.clock())
            if reader.name != board.cfg.instance
        ][:MAX_ASKED]


def _with_times(
    ages: OutageView, sent_at: float, received_at: float
) -> OutageView:
    """Return a view with times in place of ages at an unknown moment between.

    The span that it covers is taken as short as it can be.
    """
    return OutageView(
        received_at - ages.since,
        sent_at - ages.until,
        None if ages.away_at is None else sent_at - ages.away_at,
        None if ages.back_at is None else sent_at - ages.back_at,
    )


def build_lapse_review(
    board: Blackboard, log: StructuredLog, reactor: Any
) -> LapseReview:
    """Return the review of an entry that calls the others over HTTP."""
    return LapseReview(board, HttpOutagePeers(reactor), log)
