"""A hybrid logical clock, which orders events of several instances."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class HybridTimestamp:
    """A timestamp: wall time in seconds, logical counter, instance name."""

    wall: float
    count: int
    instance: str


@dataclass(slots=True)
class HybridClock:
    """Issues timestamps that increase with each local or received event.

    The wall time is an argument of each call, so that tests can control it.

    >>> clock = HybridClock('entry-1')
    >>> clock.tick(5.0) < clock.tick(4.0)
    True
    """

    instance: str
    wall: float = 0
    count: int = 0

    def tick(self, now: float) -> HybridTimestamp:
        """Return the timestamp of a local event at wall time ``now``."""
        if now > self.wall:
            self.wall = now
            self.count = 0
        else:
            self.count += 1
        return HybridTimestamp(self.wall, self.count, self.instance)

    def receive(self, remote: HybridTimestamp, now: float) -> HybridTimestamp:
        """Return a timestamp after ``remote`` and all local timestamps."""
        latest_wall = max(self.wall, remote.wall)
        if now > latest_wall:
            return self.tick(now)
        counts = [
            count
            for wall, count in (
                (self.wall, self.count),
                (remote.wall, remote.count),
            )
            if wall == latest_wall
        ]
        self.wall = latest_wall
        self.count = max(counts) + 1
        return HybridTimestamp(self.wall, self.count, self.instance)
