"""The requests that an entry holds between arrival and outcome."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import Invariant, check_invariant
from foxtailhatch.durable.claim_requests import ClaimRequest


class TicketState(StrEnum):
    """How far a request has come.

    ``CLAIMING`` waits to read its own claim, ``WAITING`` for the outcome of
    another claim, ``HELD`` may be sent, ``SENT`` was sent, ``CLOSED`` will
    never be sent by this entry.
    """

    CLAIMING = 'claiming'
    WAITING = 'waiting'
    HELD = 'held'
    SENT = 'sent'
    CLOSED = 'closed'


@dataclass(slots=True)
class Ticket:
    """One request on its way.

    ``seen`` is as in the claim, ``fence`` the offset of the claim once it
    holds the key.  ``may_have_run`` is true from a send until it is certain
    that the send was not carried out; ``lost_answers`` counts the sends
    whose answer was lost.
    """

    req: ClaimRequest
    claim_id: str
    seen: int
    state: TicketState = TicketState.CLAIMING
    fence: int | None = None
    may_have_run: bool = False
    lost_answers: int = 0

    @property
    def is_open(self) -> bool:
        """Tell whether the request still waits for a decision."""
        return self.state in {TicketState.CLAIMING, TicketState.WAITING}

    @property
    def may_send(self) -> bool:
        """Tell whether the request may be sent, once or once more."""
        if self.state is TicketState.SENT:
            return self.req.checks_key
        return self.state is TicketState.HELD


class TicketBook:
    """All tickets of one claim stream, by request and by claim."""

    def __init__(self, run_id: str) -> None:
        """Start empty; claim ids start with ``run_id``."""
        self._run_id = run_id
        self._count = 0
        self._by_request: dict[str, Ticket] = {}
        self._by_claim: dict[str, Ticket] = {}

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over a copy, so that tickets may be closed meanwhile."""
        return iter(tuple(self._by_request.values()))

    def open(self, req: ClaimRequest, seen: int) -> Ticket:
        """Return a new ticket with a claim id of its own."""
        self._count += 1
        ticket = Ticket(req, f'{self._run_id}:{self._count}', seen)
        self._by_request[req.request_id] = ticket
        self._by_claim[ticket.claim_id] = ticket
        return ticket

    def get(self, request_id: str) -> Ticket | None:
        """Return the ticket of a request that is not closed."""
        return self._by_request.get(request_id)

    def of_claim(self, claim_id: str) -> Ticket | None:
        """Return the ticket of a claim whose request is not closed."""
        return self._by_claim.get(claim_id)

    def has_rival(self, ticket: Ticket) -> bool:
        """Tell whether another open ticket here is for the same key."""
        return any(
            other is not ticket and other.req.owner == ticket.req.owner
            for other in self._by_request.values()
        )

    def close(self, ticket: Ticket) -> None:
        """Forget a ticket: this entry will not send its request any more."""
        ticket.state = TicketState.CLOSED
        self._by_request.pop(ticket.req.request_id, None)
        self._by_claim.pop(ticket.claim_id, None)


def require_not_run(ticket: Ticket) -> None:
    """Assert that a request about to be called not run was not sent."""
    check_invariant(
        Invariant.NOT_RUN_IS_ACCURATE,
        not ticket.may_have_run,
        f'claim {ticket.claim_id} may have run',
    )
