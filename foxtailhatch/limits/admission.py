"""Which requests start, which wait and which are refused, at one entry."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from foxtailhatch.config.configuration import Account
from foxtailhatch.core import Invariant, Refusal, require
from foxtailhatch.limits import refusals
from foxtailhatch.limits.admission_queue import AdmissionQueue
from foxtailhatch.limits.tickets import Queued, RefusedTicket, Ticket
from foxtailhatch.limits.token_bucket import TokenBucket

DEFAULT_DURATION_S = 2.0
DURATION_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """How many answers run and wait at this entry, and for how long."""

    max_running: int = 64
    max_waiting: int = 256
    max_wait_s: float = 30


@dataclass(frozen=True, slots=True)
class RunningTicket:
    """A started ticket and when it started."""

    ticket: Ticket
    started_at: float


@dataclass(slots=True)
class AdmissionController:
    """Queue tickets by priority, then by fair shares of accounts and callers.

    A higher priority goes first.  ``accounts`` gives weights and limits as
    they hold at this entry; an account that is not in it has the defaults.
    Each refusal is ``not_run``: a ticket is refused only before its start.
    """

    limits: AdmissionLimits = AdmissionLimits()
    accounts: Mapping[str, Account] = field(default_factory=dict)
    running: dict[str, RunningTicket] = field(default_factory=dict)
    duration_s: float = DEFAULT_DURATION_S
    waiting: AdmissionQueue = field(init=False)
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)
    _running_of: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Make the empty room for tickets that wait."""
        self.waiting = AdmissionQueue(self._weight)

    def submit(self, ticket: Ticket, now: float) -> Result[Queued, Refusal]:
        """Let a ticket into the queue, or refuse it at once."""
        wait_s = self.expected_wait_s(ticket)
        if now + wait_s > ticket.latest_start:
            return Failure(refusals.deadline(wait_s))
        evicted: tuple[Ticket, ...] = ()
        if len(self.waiting) >= self.limits.max_waiting:
            victim = self.waiting.victim(ticket)
            if victim is None:
                return Failure(refusals.queue_full(self._queue_wait_s()))
            evicted = (victim,)
        bucket = self._bucket(ticket.caller.account, now)
        if bucket and not bucket.take(now):
            return Failure(refusals.rate_limited(bucket.wait_s(now)))
        gone = tuple(self._displace(victim) for victim in evicted)
        self.waiting.enter(ticket)
        return Success(Queued(ticket, wait_s, gone))

    def start_ready(self, now: float) -> list[Ticket]:
        """Return the tickets that may start now; they count as running.

        Tickets that are late stay for :meth:`expire`, which goes first.
        """
        started = []
        while len(self.running) < self.limits.max_running:
            ticket = self.waiting.next(self._may_start)
            if ticket is None:
                break
            self.running[ticket.ticket_id] = RunningTicket(ticket, now)
            self._running_of[ticket.caller.account] += 1
            started.append(ticket)
        return started

    def finish(
        self,
        ticket_id: str,
        now: float,
        work: float | None = None,
    ) -> None:
        """Free the place of a started ticket, however it ended.

        ``work`` is what it took in the end; the account is charged for the
        difference to what was expected.
        """
        ended = self.running.pop(ticket_id, None)
        if ended is None:
            return
        account = ended.ticket.caller.account
        self._running_of[account] -= 1
        lasted = now - ended.started_at
        self.duration_s += DURATION_SHARE * (lasted - self.duration_s)
        if work is not None:
            shares = self.waiting.queue(ended.ticket.priority).shares
            more = work - ended.ticket.work
            shares.charge(account, more, self._weight(account))

    def requeue(self, ticket_id: str) -> None:
        """Let a taken ticket wait again: nothing of it was sent anywhere.

        It keeps its time of arrival and gets back what it was charged.
        """
        taken = self.running.pop(ticket_id, None)
        if taken is None:
            return
        ticket = taken.ticket
        account = ticket.caller.account
        self._running_of[account] -= 1
        self.waiting.requeue(ticket)

    def cancel(self, ticket_id: str) -> Ticket | None:
        """Take a waiting ticket out because nobody waits for it any more."""
        ticket = self.waiting.tickets.get(ticket_id)
        if ticket:
            self.waiting.leave(ticket)
        return ticket

    def expire(self, now: float) -> list[RefusedTicket]:
        """Refuse the tickets that waited too long or can't meet a deadline."""
        late = [
            ticket
            for ticket in self.waiting
            if now > ticket.latest_start
            or now > ticket.arrived_at + self.limits.max_wait_s
        ]
        for ticket in late:
            self.waiting.leave(ticket)
        refusal = refusals.deadline(self._queue_wait_s())
        return [self._refused(gone, refusal) for gone in late]

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Return how long a ticket would wait if it came now."""
        free = self.limits.max_running - len(self.running) - len(self.waiting)
        if free > 0:
            return 0
        return (self.waiting.ahead(ticket) + 1) * self._place_s()

    def _may_start(self, name: str) -> bool:
        account = self.accounts.get(name)
        if account is None or account.max_running is None:
            return True
        return self._running_of[name] < account.max_running

    def _displace(self, ticket: Ticket) -> RefusedTicket:
        self.waiting.leave(ticket)
        refusal = refusals.queue_full(self._queue_wait_s())
        return self._refused(ticket, refusal)

    def _refused(self, ticket: Ticket, refusal: Refusal) -> RefusedTicket:
        require(
            Invariant.NOT_RUN_IS_TRUE,
            ticket.ticket_id not in self.running,
            f'{ticket.ticket_id} was started',
        )
        return RefusedTicket(ticket, refusal)

    def _weight(self, name: str) -> float:
        account = self.accounts.get(name)
        return account.weight if account else 1

    def _bucket(self, name: str, now: float) -> TokenBucket | None:
        account = self.accounts.get(name)
        if account is None or account.requests_per_s is None:
            self._buckets.pop(name, None)
            return None
        rate = account.requests_per_s
        bucket = self._buckets.setdefault(
            name,
            TokenBucket(rate, max(1, rate), now),
        )
        if bucket.rate != rate:
            bucket.change_rate(rate, now)
        return bucket

    def _place_s(self) -> float:
        return self.duration_s / max(1, self.limits.max_running)

    def _queue_wait_s(self) -> float:
        return (len(self.waiting) + 1) * self._place_s()
