"""The last heartbeat known of each endpoint, to recognize older records."""

from foxtailhatch.fleet.endpoint import LiveEndpoint

# Heartbeats of endpoints that were removed are kept for this time, in which a
# store may return from a copy that still lists them.
KEPT_S = 120.0

# Incarnation and number of the heartbeat.
_Heartbeat = tuple[int, int]


class LastHeartbeats:
    """The last heartbeats of the endpoints that are listed or were removed.

    A record may be older than what is known if the store returned from an
    older copy.  The record of a removed endpoint is older unless a further
    heartbeat has been written since.  Endpoints that do not number their
    incarnations and heartbeats are always taken as they are listed.
    """

    def __init__(self) -> None:
        """Start without heartbeats."""
        self._known: dict[str, _Heartbeat] = {}
        self._removed_at: dict[str, float] = {}

    def record(self, endpoint: LiveEndpoint) -> None:
        """Record the heartbeat of a listed endpoint."""
        self._removed_at.pop(endpoint.name, None)
        self._known[endpoint.name] = _heartbeat(endpoint)

    def record_removal(self, name: str, now: float) -> None:
        """Record that an endpoint is no longer listed."""
        if name in self._known:
            self._removed_at[name] = now
        self._expire(now)

    def number(self, name: str) -> int:
        """Return the number of the last heartbeat known, 0 if there is none."""
        _, number = self._known.get(name, (0, 0))
        return number

    def is_older(self, endpoint: LiveEndpoint) -> bool:
        """Return whether a record is older than the last heartbeat known."""
        known = self._known.get(endpoint.name)
        heartbeat = _heartbeat(endpoint)
        if known is None or not all(known) or not all(heartbeat):
            return False
        if endpoint.name in self._removed_at:
            return heartbeat <= known
        return heartbeat < known

    def _expire(self, now: float) -> None:
        expired = [
            name
            for name, removed_at in self._removed_at.items()
            if now - removed_at > KEPT_S
        ]
        for name in expired:
            self._removed_at.pop(name)
            self._known.pop(name)


def _heartbeat(endpoint: LiveEndpoint) -> _Heartbeat:
    return endpoint.incarnation, endpoint.heartbeats
