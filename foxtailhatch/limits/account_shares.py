"""Divide the limits of client accounts between the entries.

There is no shared store.  Entries report the demand of each account to each
other, and each uses the share of a limit that corresponds to its share of the
demand.  Because reports are delayed, the shares do not add up exactly.  An
entry never uses more than the whole limit, so all entries together never use
more than the limit times their number.  They approach that bound only if none
has received a report of the others for longer than ``peer_report_ttl_s``.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from foxtailhatch.config.configuration import Account

FLOOR_DEMAND_SHARE = 0.1
PEER_REPORT_TTL_S = 60.0
RATE_WINDOW_S = 5.0
MIN_TRACKED_RATE_PER_S = 0.01


@dataclass(frozen=True, slots=True)
class AccountDemand:
    """The demand of one account at one entry.

    ``requests_per_s`` counts all requests, including refused ones;
    ``open_requests`` is the number of running and queued requests.
    """

    account: str
    requests_per_s: float
    open_requests: int


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The demand of all accounts at one entry.

    ``recorded_at`` is the time of creation, or of receipt from a peer.
    """

    entry: str
    recorded_at: float
    demands: tuple[AccountDemand, ...]


@dataclass(slots=True)
class DecayingRate:
    """An event rate, exponentially averaged over about ``RATE_WINDOW_S``."""

    event_count: float = 0
    updated_at: float = 0

    def record_event(self, now: float) -> None:
        """Count one event."""
        self.event_count = self._decayed_events(now) + 1
        self.updated_at = now

    def per_s(self, now: float) -> float:
        """Return the number of events per second."""
        return self._decayed_events(now) / RATE_WINDOW_S

    def _decayed_events(self, now: float) -> float:
        age = max(0, now - self.updated_at)
        return self.event_count * math.exp(-age / RATE_WINDOW_S)


@dataclass(slots=True)
class AccountShares:
    """Divide the limits of accounts between this entry and its peers."""

    entry: str
    peer_report_ttl_s: float = PEER_REPORT_TTL_S
    request_rates: dict[str, DecayingRate] = field(default_factory=dict)
    peer_reports: dict[str, DemandReport] = field(default_factory=dict)

    def record_request(self, account: str, now: float) -> None:
        """Record a request of an account, before it is admitted or refused."""
        self.request_rates.setdefault(account, DecayingRate()).record_event(now)

    def demand_report(
        self, opened: Mapping[str, int], now: float
    ) -> DemandReport:
        """Return the report for the peers.

        ``opened`` gives the running and queued requests by account.
        """
        self._drop_idle_accounts(opened, now)
        demands = tuple(
            AccountDemand(
                account,
                self._rate(account, now),
                opened.get(account, 0),
            )
            for account in sorted({*self.request_rates, *opened})
        )
        return DemandReport(self.entry, now, demands)

    def update_peer_report(self, report: DemandReport) -> None:
        """Store a peer's report unless a newer one of it is stored."""
        known = self.peer_reports.get(report.entry)
        if report.entry == self.entry:
            return
        if known is None or known.recorded_at < report.recorded_at:
            self.peer_reports[report.entry] = report

    def local_limits(
        self,
        limits: Iterable[Account],
        opened: Mapping[str, int],
        entries: int,
        now: float,
    ) -> dict[str, Account]:
        """Return the accounts with their limits scaled to this entry's share.

        ``entries`` is the number of entries that are considered alive,
        including this one.
        """
        request_rates, open_requests_by_account = self._peer_demand(now)
        limits_by_account = {}
        for account in limits:
            name = account.name
            rate_share = _demand_share(
                self._rate(name, now),
                request_rates.get(name, 0),
                entries,
            )
            open_share = _demand_share(
                opened.get(name, 0),
                open_requests_by_account.get(name, 0),
                entries,
            )
            limits_by_account[name] = _scaled_limits(
                account, rate_share, open_share
            )
        return limits_by_account

    def _rate(self, account: str, now: float) -> float:
        rate = self.request_rates.get(account)
        return rate.per_s(now) if rate else 0

    def _peer_demand(
        self,
        now: float,
    ) -> tuple[dict[str, float], dict[str, float]]:
        request_rates: dict[str, float] = {}
        open_requests_by_account: dict[str, float] = {}
        for name in tuple(self.peer_reports):
            if (
                now - self.peer_reports[name].recorded_at
                > self.peer_report_ttl_s
            ):
                self.peer_reports.pop(name)
        for report in self.peer_reports.values():
            for demand in report.demands:
                account = demand.account
                request_rates[account] = (
                    request_rates.get(account, 0) + demand.requests_per_s
                )
                open_requests_by_account[account] = (
                    open_requests_by_account.get(account, 0)
                    + demand.open_requests
                )
        return request_rates, open_requests_by_account

    def _drop_idle_accounts(
        self, opened: Mapping[str, int], now: float
    ) -> None:
        for account in tuple(self.request_rates):
            is_idle = self._rate(account, now) < MIN_TRACKED_RATE_PER_S
            if is_idle and not opened.get(account):
                self.request_rates.pop(account)


def _demand_share(own: float, others: float, entries: int) -> float:
    """Return this entry's share of a limit by demand, with a small floor."""
    floor = FLOOR_DEMAND_SHARE / max(1, entries)
    if not own + others:
        return 1 / max(1, entries)
    return floor + (1 - FLOOR_DEMAND_SHARE) * own / (own + others)


def _scaled_limits(
    account: Account, rate_share: float, running_share: float
) -> Account:
    """Return an account with scaled limits; at least one request may run."""
    per_s = account.requests_per_s
    max_running = account.max_running
    return replace(
        account,
        requests_per_s=None if per_s is None else per_s * rate_share,
        max_running=None
        if max_running is None
        else max(1, round(max_running * running_share)),
    )
