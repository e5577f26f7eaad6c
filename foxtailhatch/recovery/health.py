"""Eject failing endpoints, and restore them after a successful probe.

An endpoint is ejected after ``FAILURES_TO_EJECT`` consecutive failures.  The
ejection time doubles with each failed probe, with jitter so that entries do
not probe at the same time.  At most ``EJECTED_SHARE_MAX`` of the endpoints
are ejected: if more seem to fail, the fault is more likely at this entry, and
ejecting them would overload the few endpoints that are left.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import floor, ldexp
from random import Random

FAILURES_TO_EJECT = 3
EJECTED_SHARE_MAX = 0.5
EJECTION_FIRST_S = 1.0
EJECTION_MAX_S = 30.0
EJECTION_DOUBLINGS_MAX = 10
PROBE_TIMEOUT_S = 2.0
JITTER_SHARE = 0.5


class EndpointAdmission(StrEnum):
    """Whether an endpoint may get work, only a probe, or nothing."""

    OPEN = 'open'
    PROBE = 'probe'
    EJECTED = 'ejected'


@dataclass(frozen=True, slots=True)
class Ejected:
    """The endpoint gets no work until ``until``, seconds of the clock."""

    endpoint: str
    until: float


@dataclass(frozen=True, slots=True)
class Restored:
    """The endpoint gets work again."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The state did not change; ``capped`` if the ejection cap prevented it."""

    endpoint: str
    capped: bool = False


HealthOutcome = Ejected | Restored | Unchanged


@dataclass(slots=True)
class _EndpointState:
    failures: int = 0
    ejections: int = 0
    ejected_until: float | None = None
    probe_until: float = 0


class EndpointHealth:
    """Track failures of endpoints, and decide on ejection and restoration.

    >>> health = EndpointHealth(Random(1))
    >>> health.record_success('gpu-1', 0.0)
    Unchanged(endpoint='gpu-1', capped=False)
    >>> health.admission('gpu-1', 0.0).value
    'open'
    """

    def __init__(
        self,
        random: Random,
        share_max: float = EJECTED_SHARE_MAX,
    ) -> None:
        """Start without endpoints; ``share_max`` caps the ejected share."""
        self._random = random
        self._share_max = share_max
        self._health: dict[str, _EndpointState] = {}

    def set_endpoints(self, endpoints: frozenset[str]) -> None:
        """Track exactly these endpoints; the cap is a share of their number."""
        self._health = {
            name: self._health.get(name, _EndpointState()) for name in endpoints
        }

    def has_failures(self, endpoint: str) -> bool:
        """Return whether a success would change the state of an endpoint."""
        state = self._health.get(endpoint)
        return state is not None and bool(state.failures or state.ejections)

    def record_success(self, endpoint: str, now: float) -> HealthOutcome:
        """Record a success: an answer, an output or a successful probe."""
        state = self._health_of(endpoint)
        was_ejected = state.ejected_until is not None
        state.failures = 0
        state.ejected_until = None
        if was_ejected:
            return Restored(endpoint)
        state.ejections = 0
        return Unchanged(endpoint)

    def record_failure(self, endpoint: str, now: float) -> HealthOutcome:
        """Record a failure: a lost session, a timeout or a failed probe."""
        state = self._health_of(endpoint)
        state.failures += 1
        if state.ejected_until is not None:
            return self._note_failure_while_ejected(endpoint, state, now)
        if state.failures < FAILURES_TO_EJECT:
            return Unchanged(endpoint)
        if self.ejected_count() >= self._ejected_max():
            return Unchanged(endpoint, capped=True)
        return self._eject(endpoint, state, now)

    def admission(self, endpoint: str, now: float) -> EndpointAdmission:
        """Return what the endpoint may get now, without changing its state."""
        state = self._health.get(endpoint)
        if state is None or state.ejected_until is None:
            return EndpointAdmission.OPEN
        if now < state.ejected_until or now < state.probe_until:
            return EndpointAdmission.EJECTED
        return EndpointAdmission.PROBE

    def begin_probe(self, endpoint: str, now: float) -> bool:
        """Claim the one probe that an endpoint may get.

        Return false if no probe is due.
        """
        if self.admission(endpoint, now) is not EndpointAdmission.PROBE:
            return False
        self._health_of(endpoint).probe_until = now + PROBE_TIMEOUT_S
        return True

    def probes_due(self, now: float) -> tuple[str, ...]:
        """Return the endpoints to probe now, sorted by name."""
        return tuple(
            sorted(
                name
                for name in self._health
                if self.admission(name, now) is EndpointAdmission.PROBE
            ),
        )

    def ejected_count(self) -> int:
        """Return the number of ejected endpoints, including probed ones."""
        return sum(
            state.ejected_until is not None for state in self._health.values()
        )

    def _health_of(self, endpoint: str) -> _EndpointState:
        return self._health.setdefault(endpoint, _EndpointState())

    def _ejected_max(self) -> int:
        return floor(len(self._health) * self._share_max)

    def _note_failure_while_ejected(
        self,
        endpoint: str,
        state: _EndpointState,
        now: float,
    ) -> HealthOutcome:
        # Failures of work sent before the ejection do not extend it.
        if state.ejected_until is not None and now < state.ejected_until:
            return Unchanged(endpoint)
        return self._eject(endpoint, state, now)

    def _eject(
        self,
        endpoint: str,
        state: _EndpointState,
        now: float,
    ) -> HealthOutcome:
        doublings = min(state.ejections, EJECTION_DOUBLINGS_MAX)
        ejection_s = min(EJECTION_MAX_S, ldexp(EJECTION_FIRST_S, doublings))
        jitter_factor = 1 - JITTER_SHARE * self._random.random()
        until = now + ejection_s * jitter_factor
        state.ejections += 1
        state.ejected_until = until
        state.probe_until = 0
        return Ejected(endpoint, until)
