"""Limits on the rate of requests that endpoints name in their responses.

A limit holds for all entries together, which hear of one another's requests
late.  Each entry counts its own requests of the last seconds and those that
the others reported, and leaves room for those that are not reported yet.
"""

from collections import deque
from dataclasses import dataclass

from foxtailhatch.fleet.endpoint import LiveEndpoint
from foxtailhatch.fleet.estimate import PeerWork
from foxtailhatch.fleet.loads import Work

# Requests are counted over this time.
WINDOW_S = 4.0
# Reports of other entries of the zone are this late: the long poll of a feed, and
# one call.  Those of other zones come with the heartbeats of readers.
ZONE_REPORT_DELAY_S = 0.8
REPORT_DELAY_S = 2.3
# A limit that no response has confirmed for this time is dropped, so that an
# endpoint without requests is tried again.
LIMIT_TTL_S = 10.0
MAX_COUNTED = 10_000
# With more endpoints than this, those without recent requests are dropped.
MAX_ENDPOINTS = 1024


@dataclass(frozen=True, slots=True)
class _NamedLimit:
    """A limit of one incarnation, and when it was last named."""

    incarnation: int
    per_s: float
    named_at: float


class RateLimits:
    """The limits that endpoints have named, and the requests sent to them.

    Times are in seconds on the entry's clock.  The requests to all endpoints
    are counted, since a limit also counts those that were sent before it was
    named.
    """

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, _NamedLimit] = {}
        self._sent_at: dict[str, deque[float]] = {}
        self._demand: deque[float] = deque(maxlen=MAX_COUNTED)

    def record(
        self, endpoint: LiveEndpoint, per_s: float | None, now: float
    ) -> bool:
        """Record what a response says; return whether the limit changed.

        ``per_s`` is ``None`` if the response names no limit.
        """
        known = self._limits.get(endpoint.name)
        if per_s is None:
            self._limits.pop(endpoint.name, None)
            return known is not None
        self._limits[endpoint.name] = _NamedLimit(
            endpoint.incarnation, per_s, now
        )
        return known is None or known.per_s != per_s

    def record_send(self, name: str, now: float) -> None:
        """Count a request that is sent to an endpoint."""
        if len(self._sent_at) > MAX_ENDPOINTS:
            for known in tuple(self._sent_at):
                self.sent(known, now)
        sent_at = self._sent_at.setdefault(name, deque(maxlen=MAX_COUNTED))
        sent_at.append(now)
        self._demand.append(now)
        _expire(sent_at, now)
        _expire(self._demand, now)

    def named(self, endpoint: LiveEndpoint, now: float) -> float | None:
        """Return the limit that an endpoint has named to this entry."""
        known = self._limits.get(endpoint.name)
        if known is None or known.incarnation != endpoint.incarnation:
            return None
        if now - known.named_at > LIMIT_TTL_S:
            self._limits.pop(endpoint.name)
            return None
        return known.per_s

    def sent(self, name: str, now: float) -> int:
        """Return the number of requests sent to an endpoint in the window."""
        sent_at = self._sent_at.get(name)
        if sent_at is None:
            return 0
        _expire(sent_at, now)
        if not sent_at:
            self._sent_at.pop(name)
        return len(sent_at)

    def demand_per_s(self, now: float) -> float:
        """Return the rate of this entry's requests to all endpoints."""
        _expire(self._demand, now)
        return len(self._demand) / WINDOW_S

    def names(self, now: float) -> frozenset[str]:
        """Return the names of the endpoints that have named a limit."""
        lapsed = [
            name
            for name, known in self._limits.items()
            if now - known.named_at > LIMIT_TTL_S
        ]
        for name in lapsed:
            self._limits.pop(name)
        return frozenset(self._limits)

    def report(
        self, reported_names: frozenset[str], now: float
    ) -> dict[str, Work]:
        """Return the requests to endpoints with a limit, for other entries.

        ``reported_names`` are those whose limit other entries have reported.
        Only limits that this entry was told itself are passed on.
        """
        reports = {
            name: Work(sent=self.sent(name, now)) for name in reported_names
        }
        for name in self.names(now):
            per_s = self._limits[name].per_s
            reports[name] = Work(sent=self.sent(name, now), limit_per_s=per_s)
        return reports


@dataclass(frozen=True, slots=True)
class RateGate:
    """Decide whether a request may go to an endpoint that names a limit.

    ``peers`` is what all other entries have reported, ``entry_count`` the
    number of entries that send to the endpoint, this one included, and
    ``delay_s`` how late their reports are.
    """

    limits: RateLimits
    peers: PeerWork
    entry_count: int
    delay_s: float
    now: float

    def admits(self, endpoint: LiveEndpoint, chance: float) -> bool:
        """Return whether a request may be sent now.

        While few requests are left, the entries that do not know of one another
        each send with a probability; ``chance`` is uniform in [0, 1).
        """
        reported = self.peers.work_at(endpoint.name)
        per_s = self.limits.named(endpoint, self.now)
        if per_s is None and self.peers.is_fresh(self.now):
            per_s = reported.limit_per_s
        if per_s is None:
            return True
        own = self.limits.sent(endpoint.name, self.now)
        left = (
            max(1, per_s * WINDOW_S)
            - own
            - self._sent_by_others(own, reported.sent)
        )
        demand_per_s = self.limits.demand_per_s(self.now)
        unreported = (self.entry_count - 1) * self.delay_s * demand_per_s
        return left >= 1 and chance * (1 + unreported) < left

    def _sent_by_others(self, own: int, reported: int) -> int:
        """Return what others have sent, as much as this entry if unknown."""
        if self.peers.is_fresh(self.now):
            return reported
        return own * (self.entry_count - 1)


def _expire(times: deque[float], now: float) -> None:
    while times and times[0] <= now - WINDOW_S:
        times.popleft()
