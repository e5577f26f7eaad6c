"""What accounts use here and at other entries, for limits over all of them."""

from collections import Counter
from collections.abc import Callable, Iterator

from foxtailhatch.core import Address
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.limits import AccountDemand
from foxtailhatch.limits import DemandReport as Demands
from foxtailhatch.peers import AccountUsage, UsageReport

REPORT_PERIOD_S = 2.0
REPORT_PEERS = 8


class UsageExchange:
    """Tell some peers what accounts use here, and divide their limits.

    Each report goes to a bounded number of peers drawn at random, so that its
    cost stays flat as entries grow.
    """

    def __init__(
        self,
        board: Blackboard,
        open_requests: Callable[[], Counter[str]],
    ) -> None:
        """Count from now on; ``opened`` gives open requests by account."""
        self._board = board
        self._open_requests = open_requests
        self._due_at = float(0)

    def take_due_report(self, now: float) -> UsageReport | None:
        """Return the report to send if it is time, and divide the limits."""
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
        """Yield the peers that this report goes to."""
        peers = list(self._board.entries.peers())
        self._board.random.shuffle(peers)
        for entry in peers[:REPORT_PEERS]:
            yield entry.peer_address

    def receive(self, report: UsageReport, now: float) -> None:
        """Take a peer's report."""
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
