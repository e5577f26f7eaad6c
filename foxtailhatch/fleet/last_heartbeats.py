"""The last heartbeats known of each endpoint, to recognize older records."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from foxtailhatch.fleet.endpoint import LiveEndpoint

# Heartbeats of endpoints that were removed are kept for this time, in which a
# store may return from a copy that still lists them.
KEPT_S = 120.0
# Incarnations of an endpoint whose last heartbeats are remembered.
MAX_INCARNATIONS = 8

# Incarnation and number of the heartbeat.
_Heartbeat = tuple[int, int]


@dataclass(slots=True)
class _Known:
    """The heartbeat in force, and the last one read of each incarnation."""

    current: _Heartbeat
    numbers: dict[int, int] = field(default_factory=dict)
    removed_at: float | None = None

    def note(self, heartbeat: _Heartbeat) -> None:
        incarnation, number = heartbeat
        self.numbers.pop(incarnation, None)
        self.numbers[incarnation] = number
        while len(self.numbers) > MAX_INCARNATIONS:
            self.numbers.pop(next(iter(self.numbers)))

    def is_continued_by(self, heartbeat: _Heartbeat) -> bool:
        """Return whether an incarnation that was read before goes on."""
        incarnation, number = heartbeat
        last = self.numbers.get(incarnation)
        return last is not None and number > last


class LastHeartbeats:
    """The last heartbeats of the endpoints that are listed or were removed.

    A record may be older than what is known if the store returned from an
    older copy.  The record of a removed endpoint is older unless a further
    heartbeat has been written since.  Endpoints that do not number their
    incarnations and heartbeats are always taken as they are listed.

    Another writer may have put a later incarnation or a higher number in the place
    of the endpoint's, and an instance whose clock was wrong may have started with one
    that goes back.  Whoever writes further heartbeats lives, so an incarnation is
    not older whose number grows from one record to the next.
    """

    def __init__(self) -> None:
        """Start without heartbeats."""
        self._known: dict[str, _Known] = {}

    def record(self, endpoint: LiveEndpoint) -> None:
        """Record the heartbeat of a listed endpoint."""
        heartbeat = _heartbeat(endpoint)
        known = self._known.setdefault(endpoint.name, _Known(heartbeat))
        known.current = heartbeat
        known.removed_at = None
        known.note(heartbeat)

    def record_older(self, endpoint: LiveEndpoint) -> None:
        """Record a heartbeat that seems older than the one in force."""
        known = self._known.get(endpoint.name)
        if known is not None:
            known.note(_heartbeat(endpoint))

    def record_removal(self, name: str, now: float) -> None:
        """Record that an endpoint is no longer listed."""
        known = self._known.get(name)
        if known is not None:
            known.removed_at = now
        for expired in tuple(self._expired(now)):
            self._known.pop(expired)

    def number(self, name: str) -> int:
        """Return the number of the heartbeat in force, 0 if there is none."""
        known = self._known.get(name)
        return 0 if known is None else known.current[1]

    def is_older(self, endpoint: LiveEndpoint) -> bool:
        """Return whether a record is older than the last heartbeat known."""
        known = self._known.get(endpoint.name)
        heartbeat = _heartbeat(endpoint)
        if known is None or not all(known.current) or not all(heartbeat):
            return False
        is_earlier = heartbeat < known.current
        if known.removed_at is not None:
            is_earlier = heartbeat <= known.current
        return is_earlier and not known.is_continued_by(heartbeat)

    def _expired(self, now: float) -> Iterator[str]:
        for name, known in self._known.items():
            if known.removed_at is not None:
                if now - known.removed_at > KEPT_S:
                    yield name


def _heartbeat(endpoint: LiveEndpoint) -> _Heartbeat:
    return endpoint.incarnation, endpoint.heartbeats
