"""Rank the entries recommended to a caller."""

from collections.abc import Sequence

from foxtailhatch.membership.entry import Entry

LOAD_FULL = 0.9
LOAD_BUCKETS = 10


def rank(
    entries: Sequence[Entry],
    availability_zone: str | None,
    rotation: int,
) -> list[Entry]:
    """Return the entries sorted by saturation, distance and load, best first.

    Load reports lag, so loads are compared in steps of ``1 / LOAD_BUCKETS``.
    Entries of the same step are rotated by ``rotation``, a number that grows
    with each call; otherwise simultaneous callers would all be sent to the
    same entry.
    """
    by_name = sorted(entries, key=_name)
    start = rotation % max(1, len(by_name))
    rotated = by_name[start:] + by_name[:start]
    region = _region_of(entries, availability_zone)
    return sorted(
        rotated,
        key=lambda entry: (
            entry.load >= LOAD_FULL,
            _distance(entry, availability_zone, region),
            int(entry.load * LOAD_BUCKETS),
        ),
    )


def spread_over_zones(ranked: Sequence[Entry], count: int) -> list[Entry]:
    """Return the first ``count`` entries, covering at least two zones.

    An availability zone can fail as a whole, which would leave a caller that
    knows one zone only without an entry.  If all selected entries share a
    zone, the last one is replaced by the best entry of another zone, if any.
    """
    chosen = list(ranked[:count])
    zones = {entry.availability_zone for entry in chosen}
    elsewhere = [
        entry
        for entry in ranked[count:]
        if entry.availability_zone not in zones
    ]
    if len(zones) == 1 and elsewhere:
        chosen[-1] = elsewhere[0]
    return chosen


def _name(entry: Entry) -> str:
    return entry.name


def _region_of(
    entries: Sequence[Entry],
    availability_zone: str | None,
) -> str | None:
    for entry in entries:
        if entry.availability_zone == availability_zone:
            return entry.region
    return None


def _distance(
    entry: Entry,
    availability_zone: str | None,
    region: str | None,
) -> int:
    if entry.availability_zone == availability_zone:
        return 0
    return 1 if entry.region == region else 2
