"""The work of all entries at an endpoint, as far as one entry knows it."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxtailhatch.fleet.loads import EndpointLoads, Work

# What others have told counts for this long.  Source: two waits of a feed, and
# one call.
TOLD_FOR_S = 2.0

WorkByName = Mapping[str, Work]


class OthersWork:
    """The work of other entries, as told some tenths of a second ago."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._work: WorkByName = {}
        self._told_at = float('-inf')

    def hear(self, work: WorkByName, now: float) -> None:
        """Take what others have in progress."""
        self._work = work
        self._told_at = now

    def is_known(self, now: float) -> bool:
        """Tell whether the last word still counts."""
        return now - self._told_at <= TOLD_FOR_S

    def of(self, name: str) -> Work:
        """Return the work of others at an endpoint."""
        return self._work.get(name) or Work()


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Estimate the work at endpoints at one moment.

    ``sharers`` is how many entries send alike.  While nobody tells what they
    have in progress, it is taken to be like this entry's own.

    >>> own = EndpointLoads()
    >>> own.begin(['e1'], 100)
    >>> WorkEstimate(own, OthersWork(), sharers=3, now=0).of('e1').tokens
    300
    """

    own: EndpointLoads
    others: OthersWork
    sharers: int
    now: float

    def of(self, name: str) -> Work:
        """Return the work at an endpoint."""
        own = self.own.of(name)
        if self.others.is_known(self.now):
            return own.plus(self.others.of(name))
        return own.times(self.sharers)
