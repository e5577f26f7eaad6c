"""Fair queue of one priority: between accounts, then between their callers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailhatch.limits.fair_shares import FairShares
from foxtailhatch.limits.tickets import Ticket


@dataclass(slots=True)
class AccountQueue:
    """The queued tickets of one account, first in first out by caller."""

    callers: dict[str, dict[str, Ticket]] = field(default_factory=dict)
    shares: FairShares = field(default_factory=FairShares)

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return sum(len(tickets) for tickets in self.callers.values())

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind the others of its caller."""
        name = ticket.caller.name
        if name not in self.callers:
            self.callers[name] = {}
            self.shares.activate(name)
        self.callers[name][ticket.ticket_id] = ticket

    def requeue(self, ticket: Ticket) -> None:
        """Add a popped ticket in front of its caller's others; refund its charge."""
        others = self.callers.pop(ticket.caller.name, {})
        self.push(ticket)
        self.callers[ticket.caller.name].update(others)
        self.shares.charge(ticket.caller.name, -ticket.work, 1)

    def pop(self) -> Ticket:
        """Remove and return the oldest ticket of the next caller."""
        name = self.shares.next_key(self.callers) or ''
        ticket = next(iter(self.callers[name].values()))
        self.shares.serve(name, ticket.work, 1)
        self.remove(ticket)
        return ticket

    def newest(self) -> Ticket:
        """Return the newest ticket of the caller with the most queued."""
        most = max(self.callers.values(), key=len)
        return next(reversed(most.values()))

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket from any position."""
        tickets = self.callers[ticket.caller.name]
        tickets.pop(ticket.ticket_id)
        if not tickets:
            self.callers.pop(ticket.caller.name)


@dataclass(slots=True)
class FairQueue:
    """The queued tickets of one priority, by client account."""

    accounts: dict[str, AccountQueue] = field(default_factory=dict)
    shares: FairShares = field(default_factory=FairShares)

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return sum(len(queue) for queue in self.accounts.values())

    def length_of(self, account: str) -> int:
        """Return the number of queued tickets of one account."""
        queue = self.accounts.get(account)
        return len(queue) if queue else 0

    def push(self, ticket: Ticket) -> None:
        """Add a ticket to its account's queue."""
        self._queue_of(ticket.caller.account).push(ticket)

    def requeue(
        self,
        ticket: Ticket,
        weight: Callable[[str], float],
    ) -> None:
        """Add a popped ticket in front again; refund its charge."""
        name = ticket.caller.account
        self._queue_of(name).requeue(ticket)
        self.shares.charge(name, -ticket.work, weight(name))

    def pop(
        self,
        weight: Callable[[str], float],
        may_start: Callable[[str], bool],
    ) -> Ticket | None:
        """Remove and return the next ticket of an account that may start one."""
        name = self.shares.next_key(filter(may_start, self.accounts))
        if name is None:
            return None
        ticket = self.accounts[name].pop()
        self.shares.serve(name, ticket.work, weight(name))
        self._drop_empty(name)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket from any position."""
        name = ticket.caller.account
        self.accounts[name].remove(ticket)
        self._drop_empty(name)

    def newest_over_share(
        self,
        weight: Callable[[str], float],
        new_account: str | None = None,
    ) -> Ticket | None:
        """Return the newest ticket of the account furthest over its share.

        That is the account with the most queued tickets relative to its
        weight, where ``new_account`` counts one more than it has queued.
        Return ``None`` if ``new_account`` is itself that account.
        """
        lengths = {name: len(queue) for name, queue in self.accounts.items()}
        if new_account is not None:
            lengths[new_account] = lengths.get(new_account, 0) + 1
        most = max(lengths, key=lambda name: lengths[name] / weight(name))
        if most == new_account:
            return None
        return self.accounts[most].newest()

    def _queue_of(self, name: str) -> AccountQueue:
        if name not in self.accounts:
            self.accounts[name] = AccountQueue()
            self.shares.activate(name)
        return self.accounts[name]

    def _drop_empty(self, name: str) -> None:
        if not self.accounts[name].callers:
            self.accounts.pop(name)
