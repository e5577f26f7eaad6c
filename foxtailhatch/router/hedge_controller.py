"""Decide when the running requests of this entry get a hedged attempt."""

from collections.abc import Sequence
from itertools import combinations

from foxtailhatch.relay.context import RelayContext
from foxtailhatch.relay.hedging import MIN_PAUSE_S
from foxtailhatch.relay.relay import Relay

# Period of the check while a request is paused.
CHECK_PERIOD_S = 0.025
# No request is due sooner than this after its send or its last event, so the next
# check can wait for the first one that may be due, and this long for others.
IDLE_PERIOD_S = MIN_PAUSE_S
# Events that have arrived meanwhile are not read yet if the loop was late by more.
MAX_LATENESS_S = 0.1
# Searches for a chain without a result, in one check, after which no other request
# is likely to find one, and the delay until the next one.  Each takes milliseconds.
MAX_FUTILE_STARTS = 2
FUTILE_DELAY_S = 0.1


class HedgeController:
    """Find paused requests, and hedge them unless this entry is the cause."""

    def __init__(self, context: RelayContext) -> None:
        """Watch the running requests of ``context``."""
        self._context = context
        self._next_at: float | None = None
        self._blocked_until = float(0)

    def delay_s(self) -> float:
        """Return how long to wait for the next check."""
        now = self._context.clock()
        next_at = now + IDLE_PERIOD_S
        for relay in self._hedgeable():
            due_at = relay.hedging.due_at
            # One that is paused already is checked again after a period.
            is_paused = due_at <= now
            next_at = min(
                next_at, now + CHECK_PERIOD_S if is_paused else due_at
            )
        self._next_at = next_at
        return next_at - now

    async def step(self) -> None:
        """Check all running requests once."""
        now = self._context.clock()
        expected_at = now if self._next_at is None else self._next_at
        paused = [
            relay for relay in self._hedgeable() if relay.hedging.is_paused(now)
        ]
        is_late = now - expected_at > MAX_LATENESS_S
        is_blocked = is_late or now < self._blocked_until
        if not paused or is_blocked or self._is_cause(paused, now):
            return
        # The budget may not suffice for all.
        paused.sort(key=lambda relay: relay.last_progress_at)
        suspects = frozenset().union(*map(_endpoints, paused))
        futile = 0
        for relay in paused:
            hedging = relay.hedging
            if hedging.may_start(now) and not hedging.try_start(now, suspects):
                futile += 1
            if futile == MAX_FUTILE_STARTS:
                self._blocked_until = now + FUTILE_DELAY_S
                return

    def _hedgeable(self) -> list[Relay]:
        return [
            relay for relay in self._context.running if relay.hedging.is_enabled
        ]

    def _is_cause(self, paused: Sequence[Relay], now: float) -> bool:
        """Return whether this entry itself is likely to hold the streams up.

        Streams over chains without a common endpoint pause at the same time,
        and no other one has just brought an event, which it could not have
        done through an entry that stands still or is cut off.
        """
        chains = set(map(_endpoints, paused))
        if not any(
            one.isdisjoint(other) for one, other in combinations(chains, 2)
        ):
            return False
        return not any(
            relay.attempt is not None
            and relay.attempt.event_count
            and now - relay.last_progress_at < MIN_PAUSE_S
            for relay in self._context.running
        )


def _endpoints(relay: Relay) -> frozenset[str]:
    """Return the names of the endpoints that a request runs on."""
    if relay.attempt is None:
        return frozenset()
    return frozenset(stage.endpoint.name for stage in relay.attempt.chosen)
