"""Selection of the peers that an entry exchanges digests with.

Each entry keeps a few partners, most of them in its own availability zone,
some in its region and one in another region, and periodically replaces a
random one.  The partners form a random graph in which an update reaches all
members in a number of hops that grows with the logarithm of the member count,
while the number of connections per entry stays constant.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from foxtailhatch.membership.entry import Entry

ZONE_PARTNERS = 4
REGION_PARTNERS = 2
FAR_PARTNERS = 1
PARTNERS_MIN = 4
ROTATION_INTERVAL_S = 10.0


@dataclass(slots=True)
class _Tier:
    """Partners chosen among the peers at one distance."""

    size: int
    chosen: list[str] = field(default_factory=list)

    def refresh(self, names: Sequence[str], random: Random) -> None:
        known = set(names)
        self.chosen = [name for name in self.chosen if name in known]
        missing = self.size - len(self.chosen)
        if missing > 0:
            chosen = set(self.chosen)
            others = [name for name in names if name not in chosen]
            count = min(missing, len(others))
            self.chosen.extend(random.sample(others, count))

    def rotate(self, random: Random) -> None:
        if self.chosen:
            self.chosen.pop(random.randrange(len(self.chosen)))


class Partners:
    """Select partners, and iterate over them round-robin."""

    def __init__(self, random: Random) -> None:
        """Create without partners; ``random`` selects them."""
        self._random = random
        self._zone = _Tier(ZONE_PARTNERS)
        self._region = _Tier(REGION_PARTNERS)
        self._far = _Tier(FAR_PARTNERS)
        self._extra = _Tier(0)
        self._turn = 0
        self._rotated_at: float | None = None

    def refresh(self, own: Entry, peers: Iterable[Entry], now: float) -> None:
        """Remove lost partners, rotate one if due, and fill free places."""
        if self._is_rotation_due(now):
            self._random.choice(self._tiers()).rotate(self._random)
        zone, region, far = _by_distance(own, peers)
        self._zone.refresh(zone, self._random)
        self._region.refresh(region, self._random)
        self._far.refresh(far, self._random)
        self._fill(zone + region + far)

    def discard(self, name: str) -> None:
        """Remove the peer from the partners, if it is one."""
        for tier in self._tiers():
            if name in tier.chosen:
                tier.chosen.remove(name)

    def names(self) -> tuple[str, ...]:
        """Return the names of all partners."""
        return tuple(name for tier in self._tiers() for name in tier.chosen)

    def next_name(self) -> str | None:
        """Return the next partner in turn, ``None`` if there is none."""
        names = self.names()
        if not names:
            return None
        self._turn += 1
        return names[self._turn % len(names)]

    def _tiers(self) -> tuple[_Tier, ...]:
        return (self._zone, self._region, self._far, self._extra)

    def _fill(self, names: Sequence[str]) -> None:
        in_tiers = {*self._zone.chosen, *self._region.chosen, *self._far.chosen}
        self._extra.size = max(0, PARTNERS_MIN - len(in_tiers))
        self._extra.chosen = self._extra.chosen[: self._extra.size]
        others = [name for name in names if name not in in_tiers]
        self._extra.refresh(others, self._random)

    def _is_rotation_due(self, now: float) -> bool:
        if self._rotated_at is None:
            # A random phase keeps entries that start together from rotating
            # at the same time.
            self._rotated_at = now - ROTATION_INTERVAL_S * self._random.random()
        if now < self._rotated_at + ROTATION_INTERVAL_S:
            return False
        self._rotated_at = now
        return True


def _by_distance(
    own: Entry,
    peers: Iterable[Entry],
) -> tuple[list[str], list[str], list[str]]:
    zone: list[str] = []
    region: list[str] = []
    far: list[str] = []
    for peer in peers:
        if peer.availability_zone == own.availability_zone:
            zone.append(peer.name)
        elif peer.region == own.region:
            region.append(peer.name)
        else:
            far.append(peer.name)
    return zone, region, far
