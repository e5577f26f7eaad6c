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
_NO_WORK = Work()


class WorkTotals:
    """The work in progress that each fed entry last reported.

    The sum over all entries is kept up to date with each report, as a reader
    answers dozens of feed requests a second, and each answer leaves out another
    entry.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._reported: dict[str, tuple[WorkByEndpoint, float]] = {}
        self._sums: dict[str, Work] = {}

    def report(self, entry: str, work: WorkByEndpoint, now: float) -> None:
        """Replace the work of an entry."""
        self._withdraw(entry)
        self._reported[entry] = (work, now)
        for name, at_endpoint in work.items():
            _add_counts(self._sums.setdefault(name, Work()), at_endpoint, 1)

    def excluding(self, entry: str, now: float) -> dict[str, Work]:
        """Return the work of all entries except ``entry``.

        Reports that are too old are dropped.
        """
        for name, (_, reported_at) in tuple(self._reported.items()):
            if now - reported_at > PEER_WORK_TTL_S:
                self._withdraw(name)
        own, _ = self._reported.get(entry, ({}, now))
        limits = self._limits_excluding(entry)
        left = {}
        for name in (*self._sums, *(limits.keys() - self._sums.keys())):
            others = _copy(self._sums.get(name, _NO_WORK))
            _add_counts(others, own.get(name, _NO_WORK), -1)
            others.limit_per_s = limits.get(name)
            if others != _NO_WORK:
                left[name] = others
        return left

    def _withdraw(self, entry: str) -> None:
        """Drop the report of an entry."""
        work, _ = self._reported.pop(entry, ({}, 0))
        for name, at_endpoint in work.items():
            total = self._sums[name]
            _add_counts(total, at_endpoint, -1)
            if total == _NO_WORK:
                self._sums.pop(name)

    def _limits_excluding(self, entry: str) -> dict[str, float]:
        """Return the lowest limit that other entries report, by endpoint."""
        limits: dict[str, float] = {}
        for reporter, (work, _) in self._reported.items():
            if reporter == entry:
                continue
            for name, at_endpoint in work.items():
                limit_per_s = at_endpoint.limit_per_s
                if limit_per_s is not None:
                    known = limits.get(name, limit_per_s)
                    limits[name] = min(known, limit_per_s)
        return limits


def sum_work(parts: Iterable[WorkByEndpoint]) -> dict[str, Work]:
    """Return the total work at each endpoint."""
    sums: dict[str, Work] = {}
    for part in parts:
        for name, work in part.items():
            known = sums.get(name)
            sums[name] = _copy(work) if known is None else known.plus(work)
    return sums


def _copy(work: Work) -> Work:
    return Work(
        work.requests, work.received, work.tokens, work.sent, work.limit_per_s
    )


def _add_counts(total: Work, work: Work, times: int) -> None:
    total.requests += times * work.requests
    total.received += times * work.received
    total.tokens += times * work.tokens
    total.sent += times * work.sent


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
