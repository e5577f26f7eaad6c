"""A request's place in the queue, and what becomes of it."""

from dataclasses import dataclass

from foxtailhatch.core import Caller, Refusal


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits to be started; its body stays with the caller.

    ``work`` is the expected number of tokens, by which fair shares are
    counted.  ``deadline`` is the wall time by which the first token is wanted
    and ``first_token_s`` how long that takes once the request has started.
    """

    ticket_id: str
    caller: Caller
    arrived_at: float
    priority: int = 0
    work: float = 1
    deadline: float | None = None
    first_token_s: float = 0

    @property
    def latest_start(self) -> float:
        """Return the last time at which starting meets the deadline."""
        if self.deadline is None:
            return float('inf')
        return self.deadline - self.first_token_s


@dataclass(frozen=True, slots=True)
class RefusedTicket:
    """A ticket that left the queue unstarted, with what to tell its caller."""

    ticket: Ticket
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Queued:
    """A ticket was let in and is expected to wait ``expected_wait_s``.

    ``evicted`` tickets had to leave a full queue for it.
    """

    ticket: Ticket
    expected_wait_s: float
    evicted: tuple[RefusedTicket, ...] = ()
