"""Estimate of the work that all entries have in progress at endpoints."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from foxtailhatch.fleet.loads import EndpointLoads, Work

# Validity of a report of the peers' work: two long polls of the feed, and one
# call.
PEER_WORK_TTL_S = 2.0

WorkByEndpoint = Mapping[str, Work]


class PeerWork:
    """The latest report of the work of other entries.

    It is some tenths of a second old when it arrives.
    """

    def __init__(self) -> None:
        """Start without a report."""
        self._work: WorkByEndpoint = {}
        self._limited: frozenset[str] = frozenset()
        self._updated_at = float('-inf')

    def update(self, work: WorkByEndpoint, now: float) -> None:
        """Replace the report of the work of other entries."""
        self._work = work
        self._limited = frozenset(
            name
            for name, at_endpoint in work.items()
            if at_endpoint.limit_per_s is not None
        )
        self._updated_at = now

    def is_fresh(self, now: float) -> bool:
        """Return whether the latest report is still valid."""
        return now - self._updated_at <= PEER_WORK_TTL_S

    def limited_names(self, now: float) -> frozenset[str]:
        """Return the endpoints that have named a limit to other entries."""
        return self._limited if self.is_fresh(now) else frozenset()

    def work_at(self, name: str) -> Work:
        """Return the work of other entries at an endpoint."""
        return self._work.get(name) or Work()


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Estimate the work at endpoints at the time ``now``.

    ``entry_count`` is the number of entries that share the load.  Their report
    is late, so each of them is assumed to have begun as much work since as
    this entry has.  Otherwise all would send to the endpoint that was least
    busy at the time of the report.  Without a fresh report, each is assumed to
    have as much in progress as this entry.

    The estimate of an endpoint is made once: a search for a chain asks for it a
    dozen times, which took four fifths of its time.

    >>> own = EndpointLoads()
    >>> own.begin(['e1'], 100)
    >>> WorkEstimate(own, PeerWork(), entry_count=3, now=0).work_at('e1').tokens
    300
    """

    own: EndpointLoads
    peers: PeerWork
    entry_count: int
    now: float
    _estimates: dict[str, Work] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def work_at(self, name: str) -> Work:
        """Return the estimated work of all entries at an endpoint."""
        known = self._estimates.get(name)
        if known is None:
            known = self._estimate(name)
            self._estimates[name] = known
        return known

    def _estimate(self, name: str) -> Work:
        own = self.own.work_at(name)
        if self.peers.is_fresh(self.now):
            unreported = self.own.recently_begun(name)
            return own.plus(self.peers.work_at(name)).plus(
                unreported.times(self.entry_count - 1)
            )
        return own.times(self.entry_count)
