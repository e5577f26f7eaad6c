"""The few peers that an entry exchanges digests with.

Each entry keeps a handful of partners, most of them in its own availability
zone, some in its region and one beyond, and replaces one of them at random
now and then.  Together they form a random graph in which news travels in a
number of steps that grows with the logarithm of the members, while the links
of an entry stay as few as they are.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from foxtailhatch.membership.entry import Entry

ZONE_PARTNERS = 4
REGION_PARTNERS = 2
FAR_PARTNERS = 1
PARTNERS_MIN = 4
ROTATION_S = 10.0


@dataclass(slots=True)
class _Ring:
    """The peers at one distance, and those chosen among them."""

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
    """Choose partners, and take turns among them."""

    def __init__(self, random: Random) -> None:
        """Start with no partner and an injected random source."""
        self._random = random
        self._zone = _Ring(ZONE_PARTNERS)
        self._region = _Ring(REGION_PARTNERS)
        self._far = _Ring(FAR_PARTNERS)
        self._spare = _Ring(0)
        self._turn = 0
        self._rotated_at: float | None = None

    def refresh(self, own: Entry, peers: Iterable[Entry], now: float) -> None:
        """Drop partners that are gone, replace some, and fill the gaps."""
        if self._is_rotation_due(now):
            self._random.choice(self._rings()).rotate(self._random)
        zone, region, far = _by_distance(own, peers)
        self._zone.refresh(zone, self._random)
        self._region.refresh(region, self._random)
        self._far.refresh(far, self._random)
        self._fill(zone + region + far)

    def drop(self, name: str) -> None:
        """Have the peer no longer as a partner."""
        for ring in self._rings():
            if name in ring.chosen:
                ring.chosen.remove(name)

    def names(self) -> tuple[str, ...]:
        """Return all partners."""
        return tuple(name for ring in self._rings() for name in ring.chosen)

    def next_name(self) -> str | None:
        """Return the partner whose turn it is."""
        names = self.names()
        if not names:
            return None
        self._turn += 1
        return names[self._turn % len(names)]

    def _rings(self) -> tuple[_Ring, ...]:
        return (self._zone, self._region, self._far, self._spare)

    def _fill(self, names: Sequence[str]) -> None:
        in_rings = {*self._zone.chosen, *self._region.chosen, *self._far.chosen}
        self._spare.size = max(0, PARTNERS_MIN - len(in_rings))
        self._spare.chosen = self._spare.chosen[: self._spare.size]
        others = [name for name in names if name not in in_rings]
        self._spare.refresh(others, self._random)

    def _is_rotation_due(self, now: float) -> bool:
        if self._rotated_at is None:
            # A random phase keeps entries started together out of step.
            self._rotated_at = now - ROTATION_S * self._random.random()
        if now < self._rotated_at + ROTATION_S:
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
