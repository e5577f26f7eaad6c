"""Sum the work that the entries of a zone have in progress.

Each entry sends its work with every feed request, and the response returns
the work of all others.  So the total of a zone is known within the wait time
of a feed request, at a cost that does not grow with the number of entries.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from foxtailhatch.fleet import Work
from foxtailhatch.fleet.estimate import PEER_WORK_TTL_S, WorkByEndpoint

_COUNTS = 5


class WorkTotals:
    """The work in progress that each fed entry last reported."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reported: dict[str, tuple[WorkByEndpoint, float]] = {}

    def report(self, entry: str, work: WorkByEndpoint, now: float) -> None:
        """Replace the work of an entry."""
        self._reported[entry] = (work, now)

    def excluding(self, entry: str, now: float) -> dict[str, Work]:
        """Return the work of all entries except ``entry``.

        Reports that are too old are dropped.
        """
        self._reported = {
            name: (work, reported_at)
            for name, (work, reported_at) in self._reported.items()
            if now - reported_at <= PEER_WORK_TTL_S
        }
        return sum_work(
            work for name, (work, _) in self._reported.items() if name != entry
        )


def sum_work(parts: Iterable[WorkByEndpoint]) -> dict[str, Work]:
    """Return the total work at each endpoint."""
    sums: dict[str, Work] = {}
    for part in parts:
        for name, work in part.items():
            sums[name] = sums.get(name, Work()).plus(work)
    return sums


def encode_work(work: WorkByEndpoint) -> dict[str, list[float | None]]:
    """Return work as plain values for serialization.

    The last two values are left out for endpoints without a limit.
    """
    return {
        name: _encode_counts(at_endpoint) for name, at_endpoint in work.items()
    }


def decode_work(fields: Mapping[str, list[Any]]) -> dict[str, Work]:
    """Return the work that :func:`encode_work` serialized.

    Further values of an endpoint are those of a later build, and are ignored.

    :raises ValueError, TypeError, AttributeError: if the fields are malformed.

    >>> decode_work({'e1': [2, 1, 900]})['e1'].received
    1
    """
    return {
        str(name): _decode_counts(*counts[:_COUNTS])
        for name, counts in fields.items()
    }


def _encode_counts(work: Work) -> list[float | None]:
    counts: list[float | None] = [work.requests, work.received, work.tokens]
    if work.sent or work.limit_per_s is not None:
        counts.extend((work.sent, work.limit_per_s))
    return counts


def _decode_counts(
    requests: int,
    received: int,
    tokens: int,
    sent: int = 0,
    limit_per_s: float | None = None,
) -> Work:
    return Work(
        int(requests),
        int(received),
        int(tokens),
        int(sent),
        None if limit_per_s is None else float(limit_per_s),
    )
