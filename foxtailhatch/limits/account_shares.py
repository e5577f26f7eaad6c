"""This entry's share of the limits that an account has over all entries.

There is no shared store.  Entries tell each other what each account asks of
them, and each takes the part of a limit that its part of the demand is.  As
reports are late, the parts don't add up exactly.  An entry never takes more
than the whole limit, so all together never take more than the limit times
the number of entries, and they come near that only when each of them has
heard nothing of the others for longer than ``peer_report_ttl_s``.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from foxtailhatch.config.configuration import Account

FLOOR_SHARE = 0.1
PEER_REPORT_TTL_S = 60.0
RATE_WINDOW_S = 5.0
LEAST_RATE = 0.01


@dataclass(frozen=True, slots=True)
class AccountDemand:
    """What one account asks of one entry.

    ``requests_per_s`` counts all requests, also those refused, and ``open_requests``
    the requests that run or wait.
    """

    account: str
    requests_per_s: float
    open_requests: int


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The demand of all accounts at one entry."""

    entry: str
    at: float
    demands: tuple[AccountDemand, ...]


@dataclass(slots=True)
class OfferedRate:
    """A rate of events, averaged over about ``RATE_WINDOW_S``."""

    events: float = 0
    at: float = 0

    def note(self, now: float) -> None:
        """Count one event."""
        self.events = self._faded(now) + 1
        self.at = now

    def per_s(self, now: float) -> float:
        """Return the events a second."""
        return self._faded(now) / RATE_WINDOW_S

    def _faded(self, now: float) -> float:
        age = max(0, now - self.at)
        return self.events * math.exp(-age / RATE_WINDOW_S)


@dataclass(slots=True)
class AccountShares:
    """Divide the limits of accounts between this entry and its peers."""

    entry: str
    peer_report_ttl_s: float = PEER_REPORT_TTL_S
    rates: dict[str, OfferedRate] = field(default_factory=dict)
    peers: dict[str, DemandReport] = field(default_factory=dict)

    def note_request(self, account: str, now: float) -> None:
        """Note a request of an account, before it is admitted or refused."""
        self.rates.setdefault(account, OfferedRate()).note(now)

    def demand_report(
        self, opened: Mapping[str, int], now: float
    ) -> DemandReport:
        """Return what to tell the peers; ``opened`` counts by account."""
        self._forget(opened, now)
        demands = tuple(
            AccountDemand(
                account,
                self._rate(account, now),
                opened.get(account, 0),
            )
            for account in sorted({*self.rates, *opened})
        )
        return DemandReport(self.entry, now, demands)

    def update_peer_report(self, report: DemandReport) -> None:
        """Learn a peer's demand, unless a newer report of it is known."""
        known = self.peers.get(report.entry)
        if report.entry == self.entry:
            return
        if known is None or known.at < report.at:
            self.peers[report.entry] = report

    def local_limits(
        self,
        limits: Iterable[Account],
        opened: Mapping[str, int],
        entries: int,
        now: float,
    ) -> dict[str, Account]:
        """Return the accounts with limits that are this entry's share.

        ``entries`` is how many entries are believed to live, this one
        included.
        """
        rates, counts = self._peer_demand(now)
        found = {}
        for account in limits:
            name = account.name
            rate_share = _share(
                self._rate(name, now),
                rates.get(name, 0),
                entries,
            )
            open_share = _share(
                opened.get(name, 0),
                counts.get(name, 0),
                entries,
            )
            found[name] = _limited(account, rate_share, open_share)
        return found

    def _rate(self, account: str, now: float) -> float:
        rate = self.rates.get(account)
        return rate.per_s(now) if rate else 0

    def _peer_demand(
        self,
        now: float,
    ) -> tuple[dict[str, float], dict[str, float]]:
        rates: dict[str, float] = {}
        counts: dict[str, float] = {}
        for name in tuple(self.peers):
            if now - self.peers[name].at > self.peer_report_ttl_s:
                self.peers.pop(name)
        for report in self.peers.values():
            for demand in report.demands:
                account = demand.account
                rates[account] = rates.get(account, 0) + demand.requests_per_s
                counts[account] = counts.get(account, 0) + demand.open_requests
        return rates, counts

    def _forget(self, opened: Mapping[str, int], now: float) -> None:
        for account in tuple(self.rates):
            quiet = self._rate(account, now) < LEAST_RATE
            if quiet and not opened.get(account):
                self.rates.pop(account)


def _share(own: float, others: float, entries: int) -> float:
    """Return the part of a limit that demand gives, with a small floor."""
    floor = FLOOR_SHARE / max(1, entries)
    if not own + others:
        return 1 / max(1, entries)
    return floor + (1 - FLOOR_SHARE) * own / (own + others)


def _limited(account: Account, rate: float, running: float) -> Account:
    """Return an account with parts of its limits, one answer at least."""
    per_s = account.requests_per_s
    most = account.max_running
    return replace(
        account,
        requests_per_s=None if per_s is None else per_s * rate,
        max_running=None if most is None else max(1, round(most * running)),
    )
