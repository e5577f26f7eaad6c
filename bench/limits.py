"""Measure fairness of admission: ``python -m bench.limits``.

One entry in model time.  Ten accounts of equal weight: some flood it with far
more than all of it, the others ask for less than their fair share.  What the
smallest account gets of what it asks is measured for our admission and, as
the baseline, for a plain queue in order of arrival.
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
    """Whoever decides which tickets start."""

    def submit(self, ticket: Ticket, now: float) -> object:
        """Take a ticket or refuse it."""

    def start_ready(self, now: float) -> list[Ticket]:
        """Return the tickets that may start."""

    def finish(self, ticket_id: str, now: float) -> None:
        """Free a place."""


@dataclass(slots=True)
class ArrivalOrder:
    """The baseline: a bounded queue in order of arrival."""

    queue: deque[Ticket] = field(default_factory=deque)
    running: int = 0

    def submit(self, ticket: Ticket, now: float) -> object:
        """Let the ticket in unless the queue is full."""
        accepted = len(self.queue) < MAX_WAITING
        if accepted:
            self.queue.append(ticket)
        return accepted

    def start_ready(self, now: float) -> list[Ticket]:
        """Start the oldest tickets."""
        started = []
        while self.queue and self.running < MAX_RUNNING:
            started.append(self.queue.popleft())
            self.running += 1
        return started

    def finish(self, ticket_id: str, now: float) -> None:
        """Free a place."""
        self.running -= 1


@dataclass(slots=True)
class Simulation:
    """One run of a door."""

    policy: AdmissionPolicy
    events: Events = field(default_factory=Events)
    submitted: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    rng: random.Random = field(default_factory=lambda: random.Random(SEED))

    def simulate(self) -> None:
        """Let the accounts ask for a while."""
        for number in range(LARGE_ACCOUNTS):
            self._start_account(f'large-{number}', LARGE_RATE)
        for number in range(SMALL_ACCOUNTS):
            self._start_account(f'small-{number}', SMALL_RATE)
        self.events.run_until(DURATION_S)

    def smallest_share(self) -> float:
        """Return the least share of its requests that an account gets."""
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
    """Print one JSON object a line."""
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
