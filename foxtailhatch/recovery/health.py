"""Put failing endpoints aside, and probe them back.

An endpoint is ejected after ``FAILURES_TO_EJECT`` failures in a row.  Its
pause doubles with each failed probe, with jitter so that many entries do not
probe together.  No more than ``EJECTED_SHARE_MAX`` of the endpoints are ever
aside: when more seem to fail, the fault is likelier to be our own, and work
goes on rather than falling onto the few that are left.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import floor, ldexp
from random import Random

FAILURES_TO_EJECT = 3
EJECTED_SHARE_MAX = 0.5
PAUSE_FIRST_S = 1.0
PAUSE_MAX_S = 30.0
PAUSE_DOUBLINGS_MAX = 10
PROBE_TIMEOUT_S = 2.0
JITTER_SHARE = 0.5


class EndpointAdmission(StrEnum):
    """Whether an endpoint may get work, just a probe, or nothing."""

    OPEN = 'open'
    PROBE = 'probe'
    EJECTED = 'ejected'


@dataclass(frozen=True, slots=True)
class Ejected:
    """The endpoint is aside until ``until``, seconds of the clock."""

    endpoint: str
    until: float


@dataclass(frozen=True, slots=True)
class Restored:
    """The endpoint gets work again."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The endpoint stays as it was; ``capped`` if the share was used up."""

    endpoint: str
    capped: bool = False


HealthOutcome = Ejected | Restored | Unchanged


@dataclass(slots=True)
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_until: float | None = None
    probe_until: float = 0


class EndpointHealth:
    """Track failures of endpoints, with an injected random source.

    >>> health = EndpointHealth(Random(1))
    >>> health.note_success('gpu-1', 0.0)
    Unchanged(endpoint='gpu-1', capped=False)
    >>> health.admission('gpu-1', 0.0).value
    'open'
    """

    def __init__(
        self,
        random: Random,
        share_max: float = EJECTED_SHARE_MAX,
    ) -> None:
        """Start with no endpoint; ``share_max`` caps the ejected share."""
        self._random = random
        self._share_max = share_max
        self._known: dict[str, _Health] = {}

    def set_endpoints(self, endpoints: frozenset[str]) -> None:
        """Know exactly these endpoints; the share is counted over them."""
        self._known = {
            name: self._known.get(name, _Health()) for name in endpoints
        }

    def has_failures(self, endpoint: str) -> bool:
        """Tell whether a sign of life would change anything."""
        health = self._known.get(endpoint)
        return health is not None and bool(health.failures or health.ejections)

    def note_success(self, endpoint: str, now: float) -> HealthOutcome:
        """Take a sign of life: an answer, an output or a passed probe."""
        health = self._of(endpoint)
        was_ejected = health.ejected_until is not None
        health.failures = 0
        health.ejected_until = None
        if was_ejected:
            return Restored(endpoint)
        health.ejections = 0
        return Unchanged(endpoint)

    def note_failure(self, endpoint: str, now: float) -> HealthOutcome:
        """Take a failure: a lost session, a timeout or a failed probe."""
        health = self._of(endpoint)
        health.failures += 1
        if health.ejected_until is not None:
            return self._failed_aside(endpoint, health, now)
        if health.failures < FAILURES_TO_EJECT:
            return Unchanged(endpoint)
        if self.ejected_count() >= self._ejected_max():
            return Unchanged(endpoint, capped=True)
        return self._eject(endpoint, health, now)

    def admission(self, endpoint: str, now: float) -> EndpointAdmission:
        """Tell what the endpoint may get; asking changes nothing."""
        health = self._known.get(endpoint)
        if health is None or health.ejected_until is None:
            return EndpointAdmission.OPEN
        if now < health.ejected_until or now < health.probe_until:
            return EndpointAdmission.EJECTED
        return EndpointAdmission.PROBE

    def begin_probe(self, endpoint: str, now: float) -> bool:
        """Take the one probe an endpoint may get; false if not due."""
        if self.admission(endpoint, now) is not EndpointAdmission.PROBE:
            return False
        self._of(endpoint).probe_until = now + PROBE_TIMEOUT_S
        return True

    def probes_due(self, now: float) -> tuple[str, ...]:
        """Return the endpoints to probe now, sorted by name."""
        return tuple(
            sorted(
                name
                for name in self._known
                if self.admission(name, now) is EndpointAdmission.PROBE
            ),
        )

    def ejected_count(self) -> int:
        """Return how many endpoints are aside, probed ones included."""
        return sum(
            health.ejected_until is not None for health in self._known.values()
        )

    def _of(self, endpoint: str) -> _Health:
        return self._known.setdefault(endpoint, _Health())

    def _ejected_max(self) -> int:
        return floor(len(self._known) * self._share_max)

    def _failed_aside(
        self,
        endpoint: str,
        health: _Health,
        now: float,
    ) -> HealthOutcome:
        # Late failures of work sent before the ejection do not lengthen it.
        if health.ejected_until is not None and now < health.ejected_until:
            return Unchanged(endpoint)
        return self._eject(endpoint, health, now)

    def _eject(
        self,
        endpoint: str,
        health: _Health,
        now: float,
    ) -> HealthOutcome:
        doublings = min(health.ejections, PAUSE_DOUBLINGS_MAX)
        pause = min(PAUSE_MAX_S, ldexp(PAUSE_FIRST_S, doublings))
        jitter = 1 - JITTER_SHARE * self._random.random()
        until = now + pause * jitter
        health.ejections += 1
        health.ejected_until = until
        health.probe_until = 0
        return Ejected(endpoint, until)
