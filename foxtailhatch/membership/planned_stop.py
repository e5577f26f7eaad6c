"""Stop an entry without cutting off a request.

Callers keep an address for a while after they were given it.  So the entry
first leaves the advice and serves on, then refuses new requests, and exits
when none is in progress.  The operator may bound the wait; what a passed
bound cuts off is reported.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import ErrorCode, Invariant, Refusal, require

ADVICE_MARGIN_S = 10.0


class StopPhase(StrEnum):
    """How far a planned stop has come."""

    SERVING = 'serving'
    UNADVISED = 'unadvised'
    REFUSING = 'refusing'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class StopStatus:
    """What holds now; ``cut`` counts requests that the bound cuts off."""

    phase: StopPhase
    running: int
    aborted: int = 0

    @property
    def may_exit(self) -> bool:
        """Whether the process may exit."""
        return self.phase is StopPhase.DONE


class PlannedStop:
    """Carry one planned stop through its phases.

    ``keep_s`` is how long callers may keep an address, ``wait_max_s`` the
    operator's bound on the whole stop, counted from the first signal; with
    ``None`` the stop waits for as long as requests run.

    >>> stop = PlannedStop(keep_s=30.0)
    >>> stop.request(100.0), stop.request(101.0)
    (True, False)
    >>> stop.status(2, 120.0).phase.value, stop.status(2, 150.0).phase.value
    ('unadvised', 'refusing')
    >>> stop.status(0, 150.0).may_exit
    True
    """

    def __init__(
        self,
        keep_s: float,
        margin_s: float = ADVICE_MARGIN_S,
        wait_max_s: float | None = None,
    ) -> None:
        """Prepare for a stop that is not asked yet."""
        self._serve_s = keep_s + margin_s
        self._wait_max_s = wait_max_s
        self._asked_at: float | None = None

    def request(self, now: float) -> bool:
        """Begin to stop; false, and no change, if it began before."""
        if self._asked_at is not None:
            return False
        self._asked_at = now
        return True

    def is_requested(self) -> bool:
        """Tell whether the entry stops and must not be advised."""
        return self._asked_at is not None

    def accepts_requests(self, now: float) -> bool:
        """Tell whether new requests are still served."""
        asked_at = self._asked_at
        return asked_at is None or now < asked_at + self._serve_s

    def refusal(
        self,
        others: Sequence[str],
        now: float,
    ) -> Refusal | None:
        """Return what a new request is told, ``None`` to serve it.

        ``others`` are addresses of other entries, best first.
        """
        if self.accepts_requests(now):
            return None
        return Refusal(
            ErrorCode.SHUTTING_DOWN,
            'This entry is shutting down.',
            address=next(iter(others), None),
        )

    def status(self, running: int, now: float) -> StopStatus:
        """Return what holds now, with ``running`` requests in progress."""
        if self._asked_at is None:
            return StopStatus(StopPhase.SERVING, running)
        is_bound_passed = self._is_bound_passed(now)
        if self.accepts_requests(now) and not is_bound_passed:
            return StopStatus(StopPhase.UNADVISED, running)
        if running and not is_bound_passed:
            return StopStatus(StopPhase.REFUSING, running)
        return StopStatus(StopPhase.DONE, running, aborted=running)

    def check_exit(self, running: int, now: float) -> None:
        """Assert, as the process exits, that no request is cut off.

        Only the operator's bound excuses one, and :meth:`step` reports it.
        """
        require(
            Invariant.STOP_CUTS_NOTHING,
            running == 0 or self._is_bound_passed(now),
            f'exit with {running} requests in progress at {now}',
        )

    def _is_bound_passed(self, now: float) -> bool:
        if self._asked_at is None or self._wait_max_s is None:
            return False
        return now >= self._asked_at + self._wait_max_s
