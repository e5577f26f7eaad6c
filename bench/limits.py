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

from bench.pool_model import Events, poisson
from bench.report import report
from foxtailhatch.core import Caller
from foxtailhatch.limits import AdmissionController, AdmissionLimits, Ticket

RUNNING = 32
WAITING = 128
SERVICE_S = 1.0
LARGE_ACCOUNTS = 3
SMALL_ACCOUNTS = 7
LARGE_RATE = 40.0
SMALL_RATE = 1.5
PATIENCE_S = 10.0
LASTS_S = 120.0
SEED = 3
MICRO = 1e6


class Door(Protocol):
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
        fits = len(self.queue) < WAITING
        if fits:
            self.queue.append(ticket)
        return fits

    def start_ready(self, now: float) -> list[Ticket]:
        """Start the oldest tickets."""
        started = []
        while self.queue and self.running < RUNNING:
            started.append(self.queue.popleft())
            self.running += 1
        return started

    def finish(self, ticket_id: str, now: float) -> None:
        """Free a place."""
        self.running -= 1


@dataclass(slots=True)
class Run:
    """One run of a door."""

    door: Door
    events: Events = field(default_factory=Events)
    asked: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    source: random.Random = field(default_factory=lambda: random.Random(SEED))

    def play(self) -> None:
        """Let the accounts ask for a while."""
        for number in range(LARGE_ACCOUNTS):
            self._asks(f'large-{number}', LARGE_RATE)
        for number in range(SMALL_ACCOUNTS):
            self._asks(f'small-{number}', SMALL_RATE)
        self.events.run_until(LASTS_S)

    def smallest_share(self) -> float:
        """Return the least share of its requests that an account gets."""
        small = [name for name in self.asked if name.startswith('small')]
        return min(self.served[name] / self.asked[name] for name in small)

    def _asks(self, account: str, rate: float) -> None:
        poisson(self.events, rate, self.source, self._arrival(account))

    def _arrival(self, account: str) -> Callable[[], None]:
        return lambda: self._arrive(account)

    def _arrive(self, account: str) -> None:
        self.asked[account] += 1
        number = sum(self.asked.values())
        now = self.events.now
        caller = Caller(account, account)
        self.door.submit(Ticket(str(number), caller, now), now)
        self._start()

    def _start(self) -> None:
        for ticket in self.door.start_ready(self.events.now):
            if self.events.now - ticket.arrived_at <= PATIENCE_S:
                self.served[ticket.caller.account] += 1
            lasts_s = self.source.expovariate(1 / SERVICE_S)
            self.events.after(lasts_s, self._ending(ticket))

    def _ending(self, ticket: Ticket) -> Callable[[], None]:
        return lambda: self._finish(ticket)

    def _finish(self, ticket: Ticket) -> None:
        self.door.finish(ticket.ticket_id, self.events.now)
        self._start()


def main() -> None:
    """Print one JSON object a line."""
    fair = Run(AdmissionController(AdmissionLimits(RUNNING, WAITING)))
    began = process_time()
    fair.play()
    fair_us = (process_time() - began) / fair.asked.total() * MICRO
    plain = Run(ArrivalOrder())
    began = process_time()
    plain.play()
    plain_us = (process_time() - began) / plain.asked.total() * MICRO
    report(
        'smallest_account_served_share',
        fair.smallest_share(),
        '',
        plain.smallest_share(),
    )
    report(
        'served_under_flood',
        fair.served.total() / LASTS_S,
        'requests/s',
        plain.served.total() / LASTS_S,
    )
    report('admission_cost_with_model', fair_us, 'us', plain_us)


if __name__ == '__main__':
    main()
