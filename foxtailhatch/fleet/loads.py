"""Work that this entry has in progress at each endpoint."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True)
class Work:
    """Work in progress at an endpoint.

    ``received`` counts the requests for which it is the first endpoint of the
    chain, and ``tokens`` is what all ``requests`` may hold in the KV cache.  If
    the endpoint names a limit, that is ``limit_per_s``, and ``sent`` the number
    of requests sent to it in the last seconds.
    """

    requests: int = 0
    received: int = 0
    tokens: int = 0
    sent: int = 0
    limit_per_s: float | None = None

    def plus(self, other: 'Work') -> 'Work':
        """Return the sum of both."""
        return Work(
            self.requests + other.requests,
            self.received + other.received,
            self.tokens + other.tokens,
            self.sent + other.sent,
            _lower(self.limit_per_s, other.limit_per_s),
        )

    def times(self, count: int) -> 'Work':
        """Return this work multiplied by ``count``."""
        return Work(
            self.requests * count,
            self.received * count,
            self.tokens * count,
            self.sent * count,
            self.limit_per_s,
        )


class EndpointLoads:
    """Work in progress by the name of the endpoint.

    >>> loads = EndpointLoads()
    >>> loads.begin(['e1', 'e2'], 100)
    >>> loads.work_at('e1').received, loads.work_at('e2').received
    (1, 0)
    >>> loads.end(['e1', 'e2'], 100)
    >>> loads.work_at('e2').requests
    0
    """

    def __init__(self) -> None:
        """Start without any work."""
        self._work_by_name: dict[str, Work] = defaultdict(Work)
        self._begun: dict[str, Work] = defaultdict(Work)
        self._begun_before: dict[str, Work] = {}
        self._end_listeners: list[Callable[[], None]] = []

    def on_end(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever work has ended."""
        self._end_listeners.append(listener)

    def work_at(self, name: str) -> Work:
        """Return the work at an endpoint."""
        return self._work_by_name[name]

    def start_period(self) -> None:
        """Begin a new period of :meth:`recently_begun`."""
        self._begun_before = self._begun
        self._begun = defaultdict(Work)

    def recently_begun(self, name: str) -> Work:
        """Return the work begun at an endpoint in this and the last period."""
        nothing = Work()
        return self._begun.get(name, nothing).plus(
            self._begun_before.get(name, nothing)
        )

    def in_progress(self) -> dict[str, Work]:
        """Return the work of the endpoints that have requests in progress."""
        return {
            name: work
            for name, work in self._work_by_name.items()
            if work.requests
        }

    def begin(self, names: list[str], tokens: int) -> None:
        """Count a request on a chain of endpoints, the first one first."""
        _add(self._work_by_name, names, 1, tokens)
        _add(self._begun, names, 1, tokens)

    def end(self, names: list[str], tokens: int) -> None:
        """Reverse the effect of :meth:`begin` with the same arguments."""
        _add(self._work_by_name, names, -1, -tokens)
        for listener in self._end_listeners:
            listener()


def _lower(one: float | None, other: float | None) -> float | None:
    """Return the lower of two limits; ``None`` is no limit."""
    named = [limit for limit in (one, other) if limit is not None]
    return min(named, default=None)


def _add(
    work_by_name: dict[str, Work], names: list[str], requests: int, tokens: int
) -> None:
    for position, name in enumerate(names):
        work = work_by_name[name]
        work.requests += requests
        work.tokens += tokens
        if position == 0:
            work.received += requests
