"""Queue tickets of requests, and the results of admission."""

from dataclasses import dataclass

from foxtailhatch.core import Caller, Refusal


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request to be admitted, without its body.

    ``work`` is the expected number of tokens, the unit of fair shares.
    ``deadline`` is the wall time by which the first token is due, and
    ``first_token_s`` the expected time from start to first token.
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
        """Return the latest start time that still meets the deadline."""
        if self.deadline is None:
            return float('inf')
        return self.deadline - self.first_token_s


@dataclass(frozen=True, slots=True)
class RefusedTicket:
    """A ticket that left the queue without starting, and its refusal."""

    ticket: Ticket
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Queued:
    """A ticket was queued and is expected to wait ``expected_wait_s``.

    ``evicted`` are the tickets removed from a full queue in its favour.
    """

    ticket: Ticket
    expected_wait_s: float
    evicted: tuple[RefusedTicket, ...] = ()
