"""Exchange of account usage with peers, to share account limits."""

from collections import Counter
from collections.abc import Callable, Iterator

from foxtailhatch.core import Address
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.limits import AccountDemand
from foxtailhatch.limits import DemandReport as Demands
from foxtailhatch.peers import AccountUsage, UsageReport

REPORT_PERIOD_S = 2.0
REPORT_FANOUT = 8


class UsageExchange:
    """Report the usage of accounts to peers, and update the local limits.

    Each report goes to at most ``REPORT_FANOUT`` randomly selected peers, so
    that its cost does not grow with the number of entries.
    """

    def __init__(
        self,
        board: Blackboard,
        open_requests: Callable[[], Counter[str]],
    ) -> None:
        """Read the open requests by account from ``open_requests``."""
        self._board = board
        self._open_requests = open_requests
        self._due_at = float(0)

    def take_due_report(self, now: float) -> UsageReport | None:
        """Return the report if one is due, and update the local limits.

        Return ``None`` if no report is due or there is no usage to report.
        """
        if now < self._due_at:
            return None
        self._due_at = now + REPORT_PERIOD_S
        open_requests = self._open_requests()
        self._update_local_limits(open_requests, now)
        demands = self._board.shares.demand_report(open_requests, now).demands
        usages = tuple(
            AccountUsage(each.account, each.open_requests, each.requests_per_s)
            for each in demands
        )
        return UsageReport(self._board.name, usages) if usages else None

    def recipients(self) -> Iterator[Address]:
        """Yield the addresses of randomly selected peers for a report."""
        peers = list(self._board.entries.peers())
        self._board.random.shuffle(peers)
        for entry in peers[:REPORT_FANOUT]:
            yield entry.peer_address

    def receive(self, report: UsageReport, now: float) -> None:
        """Store the usage report of a peer."""
        demands = tuple(
            AccountDemand(each.account, each.demand, each.running)
            for each in report.accounts
        )
        self._board.shares.update_peer_report(
            Demands(report.entry, now, demands)
        )

    def _update_local_limits(
        self, open_requests: Counter[str], now: float
    ) -> None:
        cfg = self._board.fold.in_force
        if cfg is not None:
            self._board.admission.accounts = self._board.shares.local_limits(
                cfg.accounts,
                open_requests,
                len(self._board.entries.members()),
                now,
            )
