"""Add up what the entries of a zone have in progress.

Each entry tells its work with every call for news, and the answer brings the
work of all others.  So the work of a zone is known there within the wait of a
feed, at a cost that does not grow with the number of entries.
"""

from collections.abc import Iterable, Mapping

from foxtailhatch.fleet import Work
from foxtailhatch.fleet.estimate import PEER_WORK_TTL_S, WorkByEndpoint


class WorkTotals:
    """What each entry that asked for news has told."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._told: dict[str, tuple[WorkByEndpoint, float]] = {}

    def tell(self, entry: str, work: WorkByEndpoint, now: float) -> None:
        """Take the work of an entry."""
        self._told[entry] = (work, now)

    def of_others(self, entry: str, now: float) -> dict[str, Work]:
        """Return the work of all entries but one."""
        self._told = {
            name: (work, told_at)
            for name, (work, told_at) in self._told.items()
            if now - told_at <= PEER_WORK_TTL_S
        }
        return sum_work(
            work for name, (work, _) in self._told.items() if name != entry
        )


def sum_work(parts: Iterable[WorkByEndpoint]) -> dict[str, Work]:
    """Return the sums of the work at each endpoint."""
    sums: dict[str, Work] = {}
    for part in parts:
        for name, work in part.items():
            sums[name] = sums.get(name, Work()).plus(work)
    return sums


def encode_work(work: WorkByEndpoint) -> dict[str, list[int]]:
    """Return work as plain values for the wire."""
    return {
        name: [one.requests, one.received, one.tokens]
        for name, one in work.items()
    }


def decode_work(fields: Mapping[str, list[int]]) -> dict[str, Work]:
    """Return the work that plain values describe.

    :raises ValueError, TypeError, AttributeError: if they describe none.

    >>> read_work({'e1': [2, 1, 900]})['e1'].received
    1
    """
    return {
        str(name): Work(*_three_counts(found)) for name, found in fields.items()
    }


def _three_counts(found: list[int]) -> tuple[int, int, int]:
    requests, received, tokens = map(int, found)
    return requests, received, tokens
