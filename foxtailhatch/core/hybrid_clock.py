"""A hybrid logical clock that orders events of several instances."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class HybridTimestamp:
    """A point of the hybrid clock: wall time in seconds, then a counter."""

    wall: float
    count: int
    instance: str


@dataclass(slots=True)
class HybridClock:
    """Issue stamps that grow with every local and every received event.

    The wall time is an argument of each call, so that tests choose it.

    >>> clock = HybridClock('entry-1')
    >>> clock.tick(5.0) < clock.tick(4.0)
    True
    """

    instance: str
    wall: float = 0
    count: int = 0

    def tick(self, now: float) -> HybridTimestamp:
        """Return the stamp of a local event at wall time ``now``."""
        if now > self.wall:
            self.wall = now
            self.count = 0
        else:
            self.count += 1
        return HybridTimestamp(self.wall, self.count, self.instance)

    def receive(self, remote: HybridTimestamp, now: float) -> HybridTimestamp:
        """Return a stamp that is later than ``remote`` and all before it."""
        newest = max(self.wall, remote.wall)
        if now > newest:
            return self.tick(now)
        counts = [
            count
            for wall, count in (
                (self.wall, self.count),
                (remote.wall, remote.count),
            )
            if wall == newest
        ]
        self.wall = newest
        self.count = max(counts) + 1
        return HybridTimestamp(self.wall, self.count, self.instance)
