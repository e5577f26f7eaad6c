"""Admission control: start, queue or refuse the requests of one entry."""

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

INITIAL_DURATION_S = 2.0
DURATION_EWMA_ALPHA = 0.1


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of running and queued requests, and of the time in the queue."""

    max_running: int = 64
    max_waiting: int = 256
    max_wait_s: float = 30


@dataclass(frozen=True, slots=True)
class RunningTicket:
    """A started ticket and its start time in seconds."""

    ticket: Ticket
    started_at: float


@dataclass(slots=True)
class AdmissionController:
    """Queue tickets by priority, then by fair shares of accounts and callers.

    A higher priority starts first.  ``accounts`` gives the weights and limits
    that apply at this entry; an account that is missing has weight 1 and no
    limits.  Each refusal is ``not_run``, because a ticket is refused only
    before it starts.
    """

    limits: AdmissionLimits = AdmissionLimits()
    accounts: Mapping[str, Account] = field(default_factory=dict)
    running: dict[str, RunningTicket] = field(default_factory=dict)
    mean_duration_s: float = INITIAL_DURATION_S
    waiting: AdmissionQueue = field(init=False)
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)
    _running_by_account: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Create the empty queue."""
        self.waiting = AdmissionQueue(self._weight)

    def submit(self, ticket: Ticket, now: float) -> Result[Queued, Refusal]:
        """Queue a ticket, or refuse it at once.

        A ticket is refused if its deadline cannot be met, if the queue is full
        and no other ticket can be evicted, or if its account exceeds its rate.
        """
        wait_s = self.expected_wait_s(ticket)
        if now + wait_s > ticket.latest_start:
            return Failure(refusals.deadline_unreachable(wait_s))
        victims: tuple[Ticket, ...] = ()
        if len(self.waiting) >= self.limits.max_waiting:
            victim = self.waiting.eviction_candidate(ticket)
            if victim is None:
                return Failure(refusals.queue_full(self._queue_wait_s()))
            victims = (victim,)
        bucket = self._bucket(ticket.caller.account, now)
        if bucket and not bucket.try_take(now):
            return Failure(refusals.rate_limited(bucket.wait_s(now)))
        evicted = tuple(self._evict(victim) for victim in victims)
        self.waiting.push(ticket)
        return Success(Queued(ticket, wait_s, evicted))

    def start_ready(self, now: float) -> list[Ticket]:
        """Return the tickets that may start now, and record them as running.

        Deadlines are not checked here: call :meth:`expire` before.
        """
        started = []
        while len(self.running) < self.limits.max_running:
            ticket = self.waiting.pop(self._may_start)
            if ticket is None:
                break
            self.running[ticket.ticket_id] = RunningTicket(ticket, now)
            self._running_by_account[ticket.caller.account] += 1
            started.append(ticket)
        return started

    def finish(
        self,
        ticket_id: str,
        now: float,
        work: float | None = None,
    ) -> None:
        """Free the slot of a started ticket, whether it succeeded or failed.

        ``work`` is the actual work; the account is charged for the difference
        to the expected work.
        """
        ended = self.running.pop(ticket_id, None)
        if ended is None:
            return
        account = ended.ticket.caller.account
        self._running_by_account[account] -= 1
        duration_s = now - ended.started_at
        self.mean_duration_s += DURATION_EWMA_ALPHA * (
            duration_s - self.mean_duration_s
        )
        if work is not None:
            shares = self.waiting.queue_of(ended.ticket.priority).shares
            extra_work = work - ended.ticket.work
            shares.charge(account, extra_work, self._weight(account))

    def requeue(self, ticket_id: str) -> None:
        """Return a started ticket to the queue, if nothing of it was sent.

        It keeps its arrival time, and its charge is refunded.
        """
        taken = self.running.pop(ticket_id, None)
        if taken is None:
            return
        ticket = taken.ticket
        account = ticket.caller.account
        self._running_by_account[account] -= 1
        self.waiting.requeue(ticket)

    def cancel(self, ticket_id: str) -> Ticket | None:
        """Remove a queued ticket whose caller cancelled it, and return it."""
        ticket = self.waiting.tickets.get(ticket_id)
        if ticket:
            self.waiting.remove(ticket)
        return ticket

    def expire(self, now: float) -> list[RefusedTicket]:
        """Refuse queued tickets that waited too long or miss their deadline."""
        expired = [
            ticket
            for ticket in self.waiting
            if now > ticket.latest_start
            or now > ticket.arrived_at + self.limits.max_wait_s
        ]
        for ticket in expired:
            self.waiting.remove(ticket)
        refusal = refusals.deadline_unreachable(self._queue_wait_s())
        return [self._refused(each, refusal) for each in expired]

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Return the expected time in the queue of a ticket submitted now."""
        free = self.limits.max_running - len(self.running) - len(self.waiting)
        if free > 0:
            return 0
        return (
            self.waiting.tickets_ahead(ticket) + 1
        ) * self._slot_interval_s()

    def _may_start(self, name: str) -> bool:
        account = self.accounts.get(name)
        if account is None or account.max_running is None:
            return True
        return self._running_by_account[name] < account.max_running

    def _evict(self, ticket: Ticket) -> RefusedTicket:
        self.waiting.remove(ticket)
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
            bucket.update_rate(rate, now)
        return bucket

    def _slot_interval_s(self) -> float:
        return self.mean_duration_s / max(1, self.limits.max_running)

    def _queue_wait_s(self) -> float:
        return (len(self.waiting) + 1) * self._slot_interval_s()
