"""All waiting tickets of an entry, by priority and fair shares."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from foxtailhatch.limits.fair_queue import FairQueue
from foxtailhatch.limits.tickets import Ticket


@dataclass(slots=True)
class AdmissionQueue:
    """Hold tickets and say who is next and who would have to leave.

    ``weight`` tells the fair-share weight of a client account.
    """

    weight: Callable[[str], float]
    tickets: dict[str, Ticket] = field(default_factory=dict)
    queues: dict[int, FairQueue] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self.tickets)

    def __iter__(self) -> Iterator[Ticket]:
        """Go through the waiting tickets, the oldest first."""
        return iter(self.tickets.values())

    def enter(self, ticket: Ticket) -> None:
        """Let a ticket wait."""
        self.tickets[ticket.ticket_id] = ticket
        self.queue(ticket.priority).push(ticket)

    def requeue(self, ticket: Ticket) -> None:
        """Let a ticket that was next wait again, before its caller's others."""
        self.tickets[ticket.ticket_id] = ticket
        self.queue(ticket.priority).requeue(ticket, self.weight)

    def leave(self, ticket: Ticket) -> None:
        """Take a waiting ticket out at once."""
        self.tickets.pop(ticket.ticket_id)
        self.queue(ticket.priority).remove(ticket)

    def next(self, may_start: Callable[[str], bool]) -> Ticket | None:
        """Take out the ticket that is next among accounts that may start."""
        for priority in sorted(self.queues, reverse=True):
            ticket = self.queues[priority].pop(self.weight, may_start)
            if ticket:
                self.tickets.pop(ticket.ticket_id)
                return ticket
        return None

    def victim(self, newcomer: Ticket) -> Ticket | None:
        """Return who must leave for a newcomer; ``None`` if it must itself.

        It is a ticket of the lowest priority, the newest one of the account
        that has most waiting for its weight.
        """
        lowest = min(ticket.priority for ticket in self)
        if newcomer.priority < lowest:
            return None
        queue = self.queue(lowest)
        account = newcomer.caller.account
        if newcomer.priority > lowest:
            return queue.newest_over_share(self.weight)
        return queue.newest_over_share(self.weight, account)

    def ahead(self, ticket: Ticket) -> float:
        """Estimate how many tickets would start before a newcomer."""
        higher = sum(
            len(queue)
            for priority, queue in self.queues.items()
            if priority > ticket.priority
        )
        account = ticket.caller.account
        queue = self.queue(ticket.priority)
        weights = sum(map(self.weight, {*queue.accounts, account}))
        turns = (queue.waiting(account) + 1) / self.weight(account)
        return higher + min(len(queue), turns * weights - 1)

    def queue(self, priority: int) -> FairQueue:
        """Return the queue of one priority."""
        return self.queues.setdefault(priority, FairQueue())
