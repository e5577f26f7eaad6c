"""Graceful shutdown of an entry: drain without aborting requests.

Callers cache the addresses of entries.  A stopping entry is therefore first
removed from the recommended addresses while it continues to serve, then
refuses new requests, and exits when every caller has its answer.  The operator
may limit the wait: then it refuses new requests after a part of the limit, and
those still arriving after a larger part, so that their callers get an answer.
Requests that are aborted at the limit are reported.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import ErrorCode, Invariant, Refusal, check_invariant

ADVICE_MARGIN_S = 10.0
# Parts of the operator's limit.
REFUSE_AFTER = 0.5
REFUSE_INCOMPLETE_AFTER = 0.75


class StopPhase(StrEnum):
    """Phase of a planned stop.

    In ``UNADVISED`` the entry serves, but is not recommended to callers.
    """

    SERVING = 'serving'
    UNADVISED = 'unadvised'
    REFUSING = 'refusing'
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class StopStatus:
    """Status of a planned stop; ``aborted`` counts requests cut by timeout."""

    phase: StopPhase
    running: int
    aborted: int = 0

    @property
    def may_exit(self) -> bool:
        """Whether the process may exit."""
        return self.phase is StopPhase.DONE


class PlannedStop:
    """State machine of one planned stop.

    ``address_ttl_s`` is how long callers may cache an address.  ``timeout_s``
    is the operator's limit for the whole stop, counted from the first
    request; with ``None`` the stop waits until all requests have finished.

    >>> stop = PlannedStop(address_ttl_s=30.0)
    >>> stop.request(100.0), stop.request(101.0)
    (True, False)
    >>> stop.status(2, 120.0).phase.value, stop.status(2, 150.0).phase.value
    ('unadvised', 'refusing')
    >>> stop.status(0, 150.0).may_exit
    True
    """

    def __init__(
        self,
        address_ttl_s: float,
        margin_s: float = ADVICE_MARGIN_S,
        timeout_s: float | None = None,
    ) -> None:
        """Create with no stop requested."""
        self._serving_s = address_ttl_s + margin_s
        self._wait_max_s = timeout_s
        if timeout_s is not None:
            self._serving_s = min(self._serving_s, timeout_s * REFUSE_AFTER)
        self._requested_at: float | None = None

    def request(self, now: float) -> bool:
        """Request the stop; return false if it was requested before."""
        if self._requested_at is not None:
            return False
        self._requested_at = now
        return True

    def is_requested(self) -> bool:
        """Return whether the stop was requested; such an entry is unadvised."""
        return self._requested_at is not None

    def accepts_requests(self, now: float) -> bool:
        """Return whether new requests are still served."""
        requested_at = self._requested_at
        return requested_at is None or now < requested_at + self._serving_s

    def waits_for_incomplete(self, now: float) -> bool:
        """Return whether requests may go on arriving that are incomplete."""
        if self._requested_at is None or self._wait_max_s is None:
            return True
        wait_s = self._wait_max_s * REFUSE_INCOMPLETE_AFTER
        return now < self._requested_at + wait_s

    def refusal(
        self,
        others: Sequence[str],
        now: float,
    ) -> Refusal | None:
        """Return the refusal of a new request, ``None`` to serve it.

        ``others`` are the addresses of other entries, best first.  The
        refusal names the first of them.
        """
        if self.accepts_requests(now):
            return None
        return Refusal(
            ErrorCode.SHUTTING_DOWN,
            'This entry is shutting down.',
            address=next(iter(others), None),
        )

    def is_timed_out(self, now: float) -> bool:
        """Return whether the operator's limit is over."""
        if self._requested_at is None or self._wait_max_s is None:
            return False
        return now >= self._requested_at + self._wait_max_s

    def status(self, running: int, now: float) -> StopStatus:
        """Return the status, given ``running`` requests in progress."""
        if self._requested_at is None:
            return StopStatus(StopPhase.SERVING, running)
        is_timed_out = self.is_timed_out(now)
        if self.accepts_requests(now) and not is_timed_out:
            return StopStatus(StopPhase.UNADVISED, running)
        if running and not is_timed_out:
            return StopStatus(StopPhase.REFUSING, running)
        return StopStatus(StopPhase.DONE, running, aborted=running)

    def check_exit(self, running: int, now: float) -> None:
        """Assert at process exit that no request is aborted.

        Requests may only be aborted after the operator's timeout;
        :meth:`status` reports them.
        """
        check_invariant(
            Invariant.SHUTDOWN_ABORTS_NOTHING,
            running == 0 or self.is_timed_out(now),
            f'exit with {running} requests in progress at {now}',
        )
