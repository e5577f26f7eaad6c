"""Rank entries for a caller."""

from collections.abc import Sequence

from foxtailhatch.membership.entry import Entry

LOAD_FULL = 0.9
LOAD_STEPS = 10


def rank(
    entries: Sequence[Entry],
    availability_zone: str | None,
    turn: int,
) -> list[Entry]:
    """Sort by fullness, then nearness, then load, best first.

    Reports of load lag, so entries of nearly the same load count as equal,
    and ``turn``, a number that grows with each call, rotates among them: else
    all callers of a moment would be sent to the same entry.
    """
    by_name = sorted(entries, key=_name)
    start = turn % max(1, len(by_name))
    rotated = by_name[start:] + by_name[:start]
    region = _region_of(entries, availability_zone)
    return sorted(
        rotated,
        key=lambda entry: (
            entry.load >= LOAD_FULL,
            _distance(entry, availability_zone, region),
            int(entry.load * LOAD_STEPS),
        ),
    )


def spread_over_zones(ranked: Sequence[Entry], count: int) -> list[Entry]:
    """Return the first ``count``, the last of them from another zone.

    Zones fail as a whole, so advice with just one zone in it would strand its
    callers.  Nothing is exchanged if no other zone is known.
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
