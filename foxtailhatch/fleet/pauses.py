"""Pauses that endpoints ask this entry for.

An endpoint that turns a request away may name a time for which it wants nothing
from this entry: no request, no stage of a chain, no report and no order.  When the
time is over requests come back one after the other, until one is answered.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from foxtailhatch.fleet.endpoint import LiveEndpoint

# A longer pause is taken for a mistake.
MAX_PAUSE_S = 3600.0
# Pauses are remembered for this time after their end.  They outlast a record in the
# list, which may be missing for a while.
KEPT_S = 60.0
# Time between two requests after a pause, until one of them is answered.
RETURN_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What an endpoint says of itself in an answer, whatever was asked.

    One that ``is_leaving`` wants no new work; ``pause_s`` is the time in seconds
    for which it wants nothing.
    """

    is_leaving: bool = False
    pause_s: float | None = None


@dataclass(slots=True)
class _Pause:
    incarnation: int
    until: float
    next_send_at: float


class EndpointPauses:
    """The pauses of the endpoints of this entry; times are in seconds."""

    def __init__(self) -> None:
        """Start without pauses."""
        self._pauses: dict[str, _Pause] = {}

    def __len__(self) -> int:
        """Return the number of endpoints that asked for a pause lately."""
        return len(self._pauses)

    def record(
        self, endpoint: LiveEndpoint, pause_s: float, now: float
    ) -> bool:
        """Record that an endpoint asked for a pause; return whether it is new.

        A shorter one does not end a longer one.
        """
        self._expire(now)
        until = now + min(pause_s, MAX_PAUSE_S)
        known = self._pauses.get(endpoint.name)
        if known is not None and known.incarnation == endpoint.incarnation:
            until = max(until, known.until)
        is_new = not self.is_paused(endpoint, now)
        self._pauses[endpoint.name] = _Pause(
            endpoint.incarnation, until, next_send_at=until
        )
        return is_new

    def is_paused(self, endpoint: LiveEndpoint, now: float) -> bool:
        """Return whether nothing may be sent to an endpoint now."""
        known = self._pauses.get(endpoint.name)
        if known is None or known.incarnation != endpoint.incarnation:
            return False
        return now < known.next_send_at

    def is_returning(self, endpoint: LiveEndpoint) -> bool:
        """Return whether an endpoint has taken no request since its pause."""
        known = self._pauses.get(endpoint.name)
        return known is not None and known.incarnation == endpoint.incarnation

    def left_s(self, endpoint: LiveEndpoint, now: float) -> float:
        """Return how many seconds are left of the pause of an endpoint."""
        known = self._pauses.get(endpoint.name)
        if known is None or known.incarnation != endpoint.incarnation:
            return 0
        return max(0, known.until - now)

    def record_sends(
        self, endpoints: Iterable[LiveEndpoint], now: float
    ) -> None:
        """Let the next requests to endpoints that return wait."""
        for endpoint in endpoints:
            known = self._pauses.get(endpoint.name)
            if known is not None:
                next_at = now + RETURN_INTERVAL_S
                known.next_send_at = max(known.next_send_at, next_at)

    def record_answers(
        self, endpoints: Iterable[LiveEndpoint], now: float
    ) -> None:
        """Note that endpoints have taken a request after their pauses."""
        for endpoint in endpoints:
            known = self._pauses.get(endpoint.name)
            if known is not None and now >= known.until:
                self._pauses.pop(endpoint.name)

    def _expire(self, now: float) -> None:
        """Forget the pauses of endpoints that did not return."""
        self._pauses = {
            name: known
            for name, known in self._pauses.items()
            if now - known.until < KEPT_S
        }
