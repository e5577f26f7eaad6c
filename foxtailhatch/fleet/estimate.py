"""The work of all entries at an endpoint, as far as one entry knows it."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailhatch.fleet.loads import EndpointLoads, Work

# What others have told counts for this long.  Source: two waits of a feed, and
# one call.
PEER_WORK_TTL_S = 2.0

WorkByEndpoint = Mapping[str, Work]


class PeerWork:
    """The work of other entries, as told some tenths of a second ago."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._work: WorkByEndpoint = {}
        self._told_at = float('-inf')

    def update(self, work: WorkByEndpoint, now: float) -> None:
        """Take what others have in progress."""
        self._work = work
        self._told_at = now

    def is_fresh(self, now: float) -> bool:
        """Tell whether the last word still counts."""
        return now - self._told_at <= PEER_WORK_TTL_S

    def work_at(self, name: str) -> Work:
        """Return the work of others at an endpoint."""
        return self._work.get(name) or Work()


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Estimate the work at endpoints at one moment.

    ``sharers`` is how many entries send alike.  While nobody tells what they
    have in progress, it is taken to be like this entry's own.

    >>> own = EndpointLoads()
    >>> own.begin(['e1'], 100)
    >>> WorkEstimate(own, PeerWork(), entry_count=3, now=0).work_at('e1').tokens
    300
    """

    own: EndpointLoads
    others: PeerWork
    entry_count: int
    now: float

    def work_at(self, name: str) -> Work:
        """Return the work at an endpoint."""
        own = self.own.work_at(name)
        if self.others.is_fresh(self.now):
            return own.plus(self.others.work_at(name))
        return own.times(self.entry_count)
