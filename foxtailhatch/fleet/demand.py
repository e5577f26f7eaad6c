"""Demand of all entries for each service, by zone and urgency rank.

Each entry records its own demand and reports it.  The entries that read the
store return the sums over all other entries, by zone.  Reports hold counts and
rates but no times, so the clock of another entry has no effect here.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import nlargest
from math import fsum

# Sums are valid for this long: two long polls of the feed, and one call.
DEMAND_TTL_S = 2.0
# Rates are averages over this time, so those of before a freeze of the event
# loop that lasted longer are dropped.
RATE_WINDOW_S = 2.0
# Accounts in the report of an entry, for each service.
MAX_REPORTED_ACCOUNTS = 16
# Accounts in a sum; twice as many as are sent, since a part is taken off it.
MAX_SUMMED_ACCOUNTS = 32

# Resolution of the rate window.
_SLOT_S = 0.1
_SLOTS = round(RATE_WINDOW_S / _SLOT_S)


@dataclass(frozen=True, slots=True)
class RankDemand:
    """Demand of one urgency rank.

    ``waiting`` requests are in a queue and ``running`` ones have been sent.
    ``tokens_per_s`` are the expected tokens of the requests started.
    """

    waiting: float = 0
    running: float = 0
    starts_per_s: float = 0
    refusals_per_s: float = 0
    tokens_per_s: float = 0

    @property
    def requests_per_s(self) -> float:
        """Return the rate of requests, whether started or refused."""
        return self.starts_per_s + self.refusals_per_s

    def plus(self, other: 'RankDemand') -> 'RankDemand':
        """Return the sum of both."""
        return RankDemand(
            self.waiting + other.waiting,
            self.running + other.running,
            self.starts_per_s + other.starts_per_s,
            self.refusals_per_s + other.refusals_per_s,
            self.tokens_per_s + other.tokens_per_s,
        )

    def without(self, part: 'RankDemand') -> 'RankDemand':
        """Return this demand less a part of it; no value is negative."""
        return RankDemand(
            max(0, self.waiting - part.waiting),
            max(0, self.running - part.running),
            max(0, self.starts_per_s - part.starts_per_s),
            max(0, self.refusals_per_s - part.refusals_per_s),
            max(0, self.tokens_per_s - part.tokens_per_s),
        )

    def times(self, factor: float) -> 'RankDemand':
        """Return this demand multiplied by ``factor``."""
        return RankDemand(
            self.waiting * factor,
            self.running * factor,
            self.starts_per_s * factor,
            self.refusals_per_s * factor,
            self.tokens_per_s * factor,
        )


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Demand for one service.

    ``ranks`` is by urgency rank, 0 the most urgent.  ``accounts`` gives the
    running tokens of the client accounts that have the most.
    ``crossings_per_s`` counts hops between zones in the chains started.

    >>> one = ServiceDemand({0: RankDemand(running=2)}, {'crew': 100})
    >>> one.plus(one).ranks[0].running, one.times(3).accounts
    (4, {'crew': 300})
    """

    ranks: Mapping[int, RankDemand] = field(default_factory=dict)
    accounts: Mapping[str, float] = field(default_factory=dict)
    crossings_per_s: float = 0

    @property
    def total(self) -> RankDemand:
        """Return the demand of all ranks together."""
        total = RankDemand()
        for demand in self.ranks.values():
            total = total.plus(demand)
        return total

    def plus(self, other: 'ServiceDemand') -> 'ServiceDemand':
        """Return the sum of both."""
        ranks = dict(self.ranks)
        for rank, demand in other.ranks.items():
            ranks[rank] = demand.plus(ranks.get(rank, RankDemand()))
        accounts = Counter(self.accounts)
        accounts.update(other.accounts)
        crossings_per_s = self.crossings_per_s + other.crossings_per_s
        return ServiceDemand(ranks, accounts, crossings_per_s)

    def without(self, part: 'ServiceDemand') -> 'ServiceDemand':
        """Return this demand less a part of it; no value is negative."""
        ranks = dict(self.ranks)
        for rank, demand in part.ranks.items():
            known = ranks.get(rank)
            if known is not None:
                ranks[rank] = known.without(demand)
        accounts = dict(self.accounts)
        for account, tokens in part.accounts.items():
            left = accounts.pop(account, 0) - tokens
            if left > 0:
                accounts[account] = left
        crossings_per_s = self.crossings_per_s - part.crossings_per_s
        return ServiceDemand(ranks, accounts, max(0, crossings_per_s))

    def times(self, factor: float) -> 'ServiceDemand':
        """Return this demand multiplied by ``factor``."""
        return ServiceDemand(
            {rank: one.times(factor) for rank, one in self.ranks.items()},
            {name: tokens * factor for name, tokens in self.accounts.items()},
            self.crossings_per_s * factor,
        )


DemandByService = Mapping[str, ServiceDemand]
DemandByZone = Mapping[str, DemandByService]


class DemandSum:
    """Add up the demand of several entries for one service.

    >>> total = DemandSum()
    >>> total.add(ServiceDemand({0: RankDemand(running=2)}, {'crew': 100}))
    >>> total.add(ServiceDemand({0: RankDemand(running=1)}), factor=2)
    >>> total.result().ranks[0].running
    4
    """

    def __init__(self) -> None:
        """Start with no demand."""
        # Plain lists, since a reader adds up thousands of ranks a second.
        self._ranks: dict[int, list[float]] = defaultdict(
            lambda: [0, 0, 0, 0, 0]
        )
        self._accounts: dict[str, float] = defaultdict(float)
        self._crossings_per_s: float = 0

    def add(self, demand: ServiceDemand, factor: float = 1) -> None:
        """Add demand, multiplied by ``factor``."""
        for rank, one in demand.ranks.items():
            sums = self._ranks[rank]
            sums[0] += one.waiting * factor
            sums[1] += one.running * factor
            sums[2] += one.starts_per_s * factor
            sums[3] += one.refusals_per_s * factor
            sums[4] += one.tokens_per_s * factor
        for account, tokens in demand.accounts.items():
            self._accounts[account] += tokens * factor
        self._crossings_per_s += demand.crossings_per_s * factor

    def result(self) -> ServiceDemand:
        """Return the sum, with the accounts that have the most tokens."""
        accounts = largest_accounts(self._accounts, MAX_SUMMED_ACCOUNTS)
        ranks = {rank: RankDemand(*sums) for rank, sums in self._ranks.items()}
        return ServiceDemand(ranks, accounts, self._crossings_per_s)


def largest_accounts(
    accounts: Mapping[str, float], count: int
) -> dict[str, float]:
    """Return the accounts with the most tokens, those with the most first."""
    if len(accounts) <= count:
        return dict(accounts)
    largest = nlargest(count, accounts, key=lambda name: accounts[name])
    return {name: accounts[name] for name in largest}


class DemandTable:
    """The latest sums of the demand of all other entries, by zone."""

    def __init__(self) -> None:
        """Start without sums."""
        self._sums: DemandByZone = {}
        self._updated_at = float('-inf')

    def update(self, sums: DemandByZone, now: float) -> None:
        """Replace the sums, which leave out this entry's own demand."""
        self._sums = sums
        self._updated_at = now

    def invalidate(self) -> None:
        """Drop the sums, as their source has no valid ones either."""
        self._sums = {}
        self._updated_at = float('-inf')

    def is_fresh(self, now: float) -> bool:
        """Return whether the latest sums are still valid."""
        return now - self._updated_at <= DEMAND_TTL_S

    def zones(self) -> list[str]:
        """Return the zones in the latest sums."""
        return list(self._sums)

    def at(self, zone: str, service: str) -> ServiceDemand:
        """Return the latest sum of a zone, which may no longer be valid."""
        return self._sums.get(zone, {}).get(service) or ServiceDemand()


@dataclass(frozen=True, slots=True)
class DemandEstimate:
    """Estimate the demand of all entries, this one included.

    ``own`` is the demand of this entry, which stands in ``zone``, and
    ``entry_counts`` the number of ready entries by zone, this one included.
    Without valid sums, each of the others is assumed to have the same demand.

    >>> own = {'model': ServiceDemand({0: RankDemand(running=2)})}
    >>> counts = {'z1': 3, 'z2': 4}
    >>> estimate = DemandEstimate('z1', own, DemandTable(), counts, now=0)
    >>> estimate.at('z2', 'model').ranks[0].running
    8
    """

    zone: str
    own: DemandByService
    others: DemandTable
    entry_counts: Mapping[str, int]
    now: float

    def at(self, zone: str, service: str) -> ServiceDemand:
        """Return the estimated demand of a zone for a service."""
        own = self.own.get(service) or ServiceDemand()
        is_own_zone = zone == self.zone
        if self.others.is_fresh(self.now):
            others = self.others.at(zone, service)
            return own.plus(others) if is_own_zone else others
        count = self.entry_counts.get(zone, 0)
        return own.times(max(1, count) if is_own_zone else count)


class OwnDemand:
    """Record the demand at this entry.

    >>> own = OwnDemand()
    >>> own.record_start('model', 0, 'crew', 800, now=10)
    >>> own.report(10)['model'].ranks[0].starts_per_s
    0.5
    """

    def __init__(self) -> None:
        """Start without demand."""
        self._services: dict[str, _ServiceRecord] = defaultdict(_ServiceRecord)

    def record_start(
        self,
        service: str,
        rank: int,
        account: str | None,
        tokens: float,
        now: float,
    ) -> None:
        """Record that a request is sent for the first time."""
        record = self._services[service]
        record.running[rank] += 1
        record.starts[rank].add(1, now)
        record.tokens[rank].add(tokens, now)
        if account is not None:
            record.add_account(account, 1, tokens)

    def record_end(
        self, service: str, rank: int, account: str | None, tokens: float
    ) -> None:
        """Reverse what :meth:`record_start` has added to running requests."""
        record = self._services[service]
        record.running[rank] = max(0, record.running[rank] - 1)
        if account is not None:
            record.add_account(account, -1, -tokens)

    def record_refusal(self, service: str, rank: int, now: float) -> None:
        """Record that a request found no capacity."""
        refusals = self._services[service].refusals
        refusals[rank].add(1, now)

    def record_crossing(self, service: str, now: float, hops: int = 1) -> None:
        """Record hops between zones of a chain that a request is sent to."""
        self._services[service].crossings.add(hops, now)

    def set_waiting(self, service: str, rank: int, count: int) -> None:
        """Set the number of requests that wait for capacity."""
        self._services[service].waiting[rank] = count

    def running_tokens(self, service: str) -> Mapping[str, float]:
        """Return the running tokens of all client accounts at this entry."""
        record = self._services.get(service)
        if record is None:
            return {}
        return {name: tokens for name, (_, tokens) in record.accounts.items()}

    def report(self, now: float) -> dict[str, ServiceDemand]:
        """Return the demand at this entry; services without any are left out."""
        reports = {
            service: record.report(now)
            for service, record in self._services.items()
        }
        return {
            service: demand
            for service, demand in reports.items()
            if demand.ranks or demand.accounts or demand.crossings_per_s
        }


class _Rate:
    """Events a second over the last ``RATE_WINDOW_S``."""

    def __init__(self) -> None:
        self._slots: deque[tuple[int, float]] = deque()

    def add(self, amount: float, now: float) -> None:
        slot = int(now / _SLOT_S)
        self._expire(slot)
        if self._slots:
            last, counted = self._slots[-1]
            if last == slot:
                self._slots.pop()
                amount += counted
        self._slots.append((slot, amount))

    def per_s(self, now: float) -> float:
        self._expire(int(now / _SLOT_S))
        return fsum(amount for _, amount in self._slots) / RATE_WINDOW_S

    def _expire(self, slot: int) -> None:
        while self._slots:
            oldest, _ = self._slots[0]
            if oldest > slot - _SLOTS:
                return
            self._slots.popleft()


class _ServiceRecord:
    """What happens at this entry for one service."""

    def __init__(self) -> None:
        self.waiting: dict[int, int] = defaultdict(int)
        self.running: dict[int, int] = defaultdict(int)
        self.starts: dict[int, _Rate] = defaultdict(_Rate)
        self.refusals: dict[int, _Rate] = defaultdict(_Rate)
        self.tokens: dict[int, _Rate] = defaultdict(_Rate)
        self.crossings = _Rate()
        # Requests and tokens that are running, by account.
        self.accounts: dict[str, tuple[int, float]] = {}

    def add_account(self, account: str, requests: int, tokens: float) -> None:
        known_requests, known_tokens = self.accounts.get(account, (0, 0))
        requests += known_requests
        if requests > 0:
            self.accounts[account] = (requests, known_tokens + tokens)
        else:
            self.accounts.pop(account, None)

    def report(self, now: float) -> ServiceDemand:
        ranks = {}
        for rank in sorted({*self.waiting, *self.running, *self.refusals}):
            demand = RankDemand(
                self.waiting[rank],
                self.running[rank],
                self.starts[rank].per_s(now),
                self.refusals[rank].per_s(now),
                self.tokens[rank].per_s(now),
            )
            if demand != RankDemand():
                ranks[rank] = demand
        tokens = {name: left for name, (_, left) in self.accounts.items()}
        accounts = largest_accounts(tokens, MAX_REPORTED_ACCOUNTS)
        return ServiceDemand(ranks, accounts, self.crossings.per_s(now))
