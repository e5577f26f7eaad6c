"""Fairness of admission control: ``python -m bench.limits``.

One entry in simulated time serves ten accounts of equal weight: some offer far
more than its total capacity, the others less than their fair share.  The share
of its requests that the worst-served small account gets is measured for
admission control and, as the baseline, for a first-in, first-out queue.
"""

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import process_time
from typing import Protocol

from bench.pool_model import Events, start_poisson_arrivals
from bench.report import report
from foxtailhatch.core import Caller
from foxtailhatch.limits import AdmissionController, AdmissionLimits, Ticket

MAX_RUNNING = 32
MAX_WAITING = 128
SERVICE_S = 1.0
LARGE_ACCOUNTS = 3
SMALL_ACCOUNTS = 7
LARGE_RATE = 40.0
SMALL_RATE = 1.5
CALLER_TIMEOUT_S = 10.0
DURATION_S = 120.0
SEED = 3
MICRO = 1e6


class AdmissionPolicy(Protocol):
    """Interface of a policy that decides which tickets start."""

    def submit(self, ticket: Ticket, now: float) -> object:
        """Queue a ticket or refuse it."""

    def start_ready(self, now: float) -> list[Ticket]:
        """Return the tickets to start now."""

    def finish(self, ticket_id: str, now: float) -> None:
        """Release the capacity of a finished ticket."""


@dataclass(slots=True)
class ArrivalOrder:
    """Baseline policy: a bounded first-in, first-out queue."""

    queue: deque[Ticket] = field(default_factory=deque)
    running: int = 0

    def submit(self, ticket: Ticket, now: float) -> object:
        """Queue the ticket unless the queue is full."""
        accepted = len(self.queue) < MAX_WAITING
        if accepted:
            self.queue.append(ticket)
        return accepted

    def start_ready(self, now: float) -> list[Ticket]:
        """Start the oldest tickets up to the concurrency limit."""
        started = []
        while self.queue and self.running < MAX_RUNNING:
            started.append(self.queue.popleft())
            self.running += 1
        return started

    def finish(self, ticket_id: str, now: float) -> None:
        """Release the capacity of a finished ticket."""
        self.running -= 1


@dataclass(slots=True)
class Simulation:
    """Simulation of one admission policy."""

    policy: AdmissionPolicy
    events: Events = field(default_factory=Events)
    submitted: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    rng: random.Random = field(default_factory=lambda: random.Random(SEED))

    def simulate(self) -> None:
        """Run all accounts for :data:`DURATION_S`."""
        for number in range(LARGE_ACCOUNTS):
            self._start_account(f'large-{number}', LARGE_RATE)
        for number in range(SMALL_ACCOUNTS):
            self._start_account(f'small-{number}', SMALL_RATE)
        self.events.run_until(DURATION_S)

    def smallest_share(self) -> float:
        """Return the lowest served share of requests of any small account."""
        small = [name for name in self.submitted if name.startswith('small')]
        return min(self.served[name] / self.submitted[name] for name in small)

    def _start_account(self, account: str, rate: float) -> None:
        start_poisson_arrivals(
            self.events, rate, self.rng, self._arrival(account)
        )

    def _arrival(self, account: str) -> Callable[[], None]:
        return lambda: self._arrive(account)

    def _arrive(self, account: str) -> None:
        self.submitted[account] += 1
        number = sum(self.submitted.values())
        now = self.events.now
        caller = Caller(account, account)
        self.policy.submit(Ticket(str(number), caller, now), now)
        self._start()

    def _start(self) -> None:
        for ticket in self.policy.start_ready(self.events.now):
            if self.events.now - ticket.arrived_at <= CALLER_TIMEOUT_S:
                self.served[ticket.caller.account] += 1
            service_s = self.rng.expovariate(1 / SERVICE_S)
            self.events.schedule(service_s, self._completion(ticket))

    def _completion(self, ticket: Ticket) -> Callable[[], None]:
        return lambda: self._finish(ticket)

    def _finish(self, ticket: Ticket) -> None:
        self.policy.finish(ticket.ticket_id, self.events.now)
        self._start()


def main() -> None:
    """Print one JSON object per line."""
    fair = Simulation(
        AdmissionController(AdmissionLimits(MAX_RUNNING, MAX_WAITING))
    )
    began = process_time()
    fair.simulate()
    fair_us = (process_time() - began) / fair.submitted.total() * MICRO
    plain = Simulation(ArrivalOrder())
    began = process_time()
    plain.simulate()
    plain_us = (process_time() - began) / plain.submitted.total() * MICRO
    report(
        'smallest_account_served_share',
        fair.smallest_share(),
        '',
        plain.smallest_share(),
    )
    report(
        'served_under_flood',
        fair.served.total() / DURATION_S,
        'requests/s',
        plain.served.total() / DURATION_S,
    )
    report('admission_cost_with_model', fair_us, 'us', plain_us)


if __name__ == '__main__':
    main()
