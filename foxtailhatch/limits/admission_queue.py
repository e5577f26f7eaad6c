"""The queued tickets of one entry, by priority and fair shares."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from foxtailhatch.limits.fair_queue import FairQueue
from foxtailhatch.limits.tickets import Ticket


@dataclass(slots=True)
class AdmissionQueue:
    """Order queued tickets for starting and for eviction.

    ``weight`` returns the fair-share weight of a client account.
    """

    weight: Callable[[str], float]
    tickets: dict[str, Ticket] = field(default_factory=dict)
    queues: dict[int, FairQueue] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return len(self.tickets)

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over the queued tickets, oldest first."""
        return iter(self.tickets.values())

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self.tickets[ticket.ticket_id] = ticket
        self.queue_of(ticket.priority).push(ticket)

    def requeue(self, ticket: Ticket) -> None:
        """Add a popped ticket again, in front of the others of its caller."""
        self.tickets[ticket.ticket_id] = ticket
        self.queue_of(ticket.priority).requeue(ticket, self.weight)

    def remove(self, ticket: Ticket) -> None:
        """Remove a queued ticket."""
        self.tickets.pop(ticket.ticket_id)
        self.queue_of(ticket.priority).remove(ticket)

    def pop(self, may_start: Callable[[str], bool]) -> Ticket | None:
        """Remove and return the next ticket of an account that may start one."""
        for priority in sorted(self.queues, reverse=True):
            ticket = self.queues[priority].pop(self.weight, may_start)
            if ticket:
                self.tickets.pop(ticket.ticket_id)
                return ticket
        return None

    def eviction_candidate(self, new_ticket: Ticket) -> Ticket | None:
        """Return the ticket to evict for a new one from a full queue.

        It is the newest ticket of the lowest priority of the account with the
        most queued tickets relative to its weight.  Return ``None`` if the new
        ticket itself must be refused.
        """
        lowest = min(ticket.priority for ticket in self)
        if new_ticket.priority < lowest:
            return None
        queue = self.queue_of(lowest)
        account = new_ticket.caller.account
        if new_ticket.priority > lowest:
            return queue.newest_over_share(self.weight)
        return queue.newest_over_share(self.weight, account)

    def tickets_ahead(self, ticket: Ticket) -> float:
        """Estimate how many queued tickets would start before a new one."""
        higher_priority = sum(
            len(queue)
            for priority, queue in self.queues.items()
            if priority > ticket.priority
        )
        account = ticket.caller.account
        queue = self.queue_of(ticket.priority)
        weight_sum = sum(map(self.weight, {*queue.accounts, account}))
        turns = (queue.length_of(account) + 1) / self.weight(account)
        return higher_priority + min(len(queue), turns * weight_sum - 1)

    def queue_of(self, priority: int) -> FairQueue:
        """Return the queue of one priority."""
        return self.queues.setdefault(priority, FairQueue())
