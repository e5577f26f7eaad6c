"""The queue of one priority: accounts share it, callers share an account."""

from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailhatch.limits.fair_shares import FairShares
from foxtailhatch.limits.tickets import Ticket


@dataclass(slots=True)
class AccountQueue:
    """The waiting tickets of one account, first in first out by caller."""

    callers: dict[str, dict[str, Ticket]] = field(default_factory=dict)
    shares: FairShares = field(default_factory=FairShares)

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return sum(len(tickets) for tickets in self.callers.values())

    def push(self, ticket: Ticket) -> None:
        """Put a ticket behind the others of its caller."""
        name = ticket.caller.name
        if name not in self.callers:
            self.callers[name] = {}
            self.shares.join(name)
        self.callers[name][ticket.ticket_id] = ticket

    def requeue(self, ticket: Ticket) -> None:
        """Put a ticket before the others of its caller; undo its charge."""
        others = self.callers.pop(ticket.caller.name, {})
        self.push(ticket)
        self.callers[ticket.caller.name].update(others)
        self.shares.charge(ticket.caller.name, -ticket.work, 1)

    def pop(self) -> Ticket:
        """Take the oldest ticket of the caller whose turn it is."""
        name = self.shares.first(self.callers) or ''
        ticket = next(iter(self.callers[name].values()))
        self.shares.serve(name, ticket.work, 1)
        self.remove(ticket)
        return ticket

    def newest(self) -> Ticket:
        """Return the newest ticket of the caller that has most waiting."""
        most = max(self.callers.values(), key=len)
        return next(reversed(most.values()))

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, wherever it stands."""
        tickets = self.callers[ticket.caller.name]
        tickets.pop(ticket.ticket_id)
        if not tickets:
            self.callers.pop(ticket.caller.name)


@dataclass(slots=True)
class FairQueue:
    """The waiting tickets of one priority, by client account."""

    accounts: dict[str, AccountQueue] = field(default_factory=dict)
    shares: FairShares = field(default_factory=FairShares)

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return sum(len(queue) for queue in self.accounts.values())

    def waiting(self, account: str) -> int:
        """Return the number of waiting tickets of one account."""
        queue = self.accounts.get(account)
        return len(queue) if queue else 0

    def push(self, ticket: Ticket) -> None:
        """Put a ticket into its account's queue."""
        self._account(ticket.caller.account).push(ticket)

    def requeue(
        self,
        ticket: Ticket,
        weight: Callable[[str], float],
    ) -> None:
        """Put a popped ticket back in front; undo its charge."""
        name = ticket.caller.account
        self._account(name).requeue(ticket)
        self.shares.charge(name, -ticket.work, weight(name))

    def pop(
        self,
        weight: Callable[[str], float],
        may_start: Callable[[str], bool],
    ) -> Ticket | None:
        """Take the next ticket of an account that may start one, if any."""
        name = self.shares.first(filter(may_start, self.accounts))
        if name is None:
            return None
        ticket = self.accounts[name].pop()
        self.shares.serve(name, ticket.work, weight(name))
        self._drop_empty(name)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, wherever it stands."""
        name = ticket.caller.account
        self.accounts[name].remove(ticket)
        self._drop_empty(name)

    def newest_over_share(
        self,
        weight: Callable[[str], float],
        newcomer: str | None = None,
    ) -> Ticket | None:
        """Return the newest ticket of who has most waiting for its weight.

        The newcomer's account counts one ticket more than it has waiting;
        the result is ``None`` if that account itself has most.
        """
        lengths = {name: len(queue) for name, queue in self.accounts.items()}
        if newcomer is not None:
            lengths[newcomer] = lengths.get(newcomer, 0) + 1
        most = max(lengths, key=lambda name: lengths[name] / weight(name))
        if most == newcomer:
            return None
        return self.accounts[most].newest()

    def _account(self, name: str) -> AccountQueue:
        if name not in self.accounts:
            self.accounts[name] = AccountQueue()
            self.shares.join(name)
        return self.accounts[name]

    def _drop_empty(self, name: str) -> None:
        if not self.accounts[name].callers:
            self.accounts.pop(name)
