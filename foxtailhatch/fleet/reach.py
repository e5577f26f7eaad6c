"""Whether this entry reaches the endpoints of a service at all.

An endpoint that does not accept a connection may be dead, or this entry may be
cut off.  From here both look the same, unless another endpoint of the service
accepts one at the same time.  Only new connections count: open ones may live on
while new ones fail, and the other way round.  All times are those at which a
connection was begun.
"""

from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass, field

# Answers older than this are of no use to anybody.
RETENTION_S = 10.0
# Fewer endpoints than this may all be dead at once.
MIN_SAMPLE = 2
# Time between two samples of a service that may be unreachable.
SAMPLE_INTERVAL_S = 0.5


@dataclass(slots=True)
class ServiceReach:
    """What was learned of one service."""

    is_cut_off: bool = False
    accepted_at: dict[str, float] = field(default_factory=dict)
    last_accepted_at: float = float('-inf')
    last_failed_at: float = float('-inf')
    sampled_at: float = float('-inf')


class EndpointReach:
    """Reach of all services.

    >>> reach = EndpointReach()
    >>> reach.record_accepted('model', 'e1', 1.0)
    >>> reach.accepted_since('model', 0.5, without={'e2'})
    True
    >>> reach.record_sample('model', accepted=0, asked=4), reach.unreached
    (True, ('model',))
    """

    def __init__(self) -> None:
        """Start with the belief that all services are reached."""
        self._services: dict[str, ServiceReach] = defaultdict(ServiceReach)

    @property
    def unreached(self) -> tuple[str, ...]:
        """Return the services from which this entry is cut off."""
        return tuple(
            sorted(
                name
                for name, known in self._services.items()
                if known.is_cut_off
            )
        )

    def is_cut_off(self, service: str) -> bool:
        """Return whether this entry reaches no endpoint of a service."""
        known = self._services.get(service)
        return known is not None and known.is_cut_off

    def record_accepted(self, service: str, endpoint: str, at: float) -> None:
        """Record that an endpoint accepted a connection begun at ``at``."""
        known = self._services[service]
        known.accepted_at[endpoint] = at
        known.last_accepted_at = max(known.last_accepted_at, at)

    def record_failed(self, service: str, at: float) -> None:
        """Record that an endpoint did not accept a connection."""
        known = self._services[service]
        known.last_failed_at = max(known.last_failed_at, at)

    def accepted_since(
        self, service: str, since: float, without: Collection[str]
    ) -> bool:
        """Return whether an endpoint other than these has accepted since."""
        known = self._services[service]
        known.accepted_at = {
            name: at
            for name, at in known.accepted_at.items()
            if since - at < RETENTION_S
        }
        return any(
            at >= since
            for name, at in known.accepted_at.items()
            if name not in without
        )

    def due_for_sample(self, now: float) -> list[str]:
        """Return the services of which a sample of endpoints is to be asked.

        These are the ones from which this entry is cut off, and those where
        nothing was accepted since the last failure.
        """
        return [
            name
            for name, known in self._services.items()
            if now - known.sampled_at >= SAMPLE_INTERVAL_S
            and (
                known.is_cut_off
                or known.last_failed_at > known.last_accepted_at
            )
        ]

    def begin_sample(self, service: str, now: float) -> None:
        """Record when endpoints of a service are asked."""
        self._services[service].sampled_at = now

    def record_sample(self, service: str, *, accepted: int, asked: int) -> bool:
        """Judge by a sample of endpoints; return whether the judgement changed.

        Reach is lost if none accepts a connection, and regained if half of
        them do, so that a single endpoint on the way back does not decide.
        """
        known = self._services[service]
        was_cut_off = known.is_cut_off
        if known.is_cut_off:
            known.is_cut_off = 2 * accepted < asked
        else:
            known.is_cut_off = asked >= MIN_SAMPLE and not accepted
        return known.is_cut_off is not was_cut_off
