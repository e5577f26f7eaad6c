"""The requests that an entry holds between arrival and outcome."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import Invariant, require
from foxtailhatch.durable.claim_requests import ClaimRequest


class RequestState(StrEnum):
    """How far a request has come.

    ``CLAIMING`` waits to read its own claim, ``WAITING`` for the outcome of
    another claim, ``HELD`` may be sent, ``SENT`` was sent, ``CLOSED`` will
    never be sent by this entry.
    """

    CLAIMING = 'claiming'
    WAITING = 'waiting'
    READY = 'held'
    SENT = 'sent'
    CLOSED = 'closed'


@dataclass(slots=True)
class PendingRequest:
    """One request on its way.

    ``seen`` is as in the claim, ``fence`` the offset of the claim once it
    holds the key.  ``may_have_run`` is true from a send until it is certain
    that the send was not carried out; ``lost_answers`` counts the sends
    whose answer was lost.
    """

    req: ClaimRequest
    claim_id: str
    read_offset: int
    state: RequestState = RequestState.CLAIMING
    fence: int | None = None
    may_have_run: bool = False
    lost_responses: int = 0

    @property
    def is_open(self) -> bool:
        """Tell whether the request still waits for a decision."""
        return self.state in {RequestState.CLAIMING, RequestState.WAITING}

    @property
    def may_send(self) -> bool:
        """Tell whether the request may be sent, once or once more."""
        if self.state is RequestState.SENT:
            return self.req.checks_key
        return self.state is RequestState.READY


class PendingRequests:
    """All tickets of one claim stream, by request and by claim."""

    def __init__(self, run_id: str) -> None:
        """Start empty; claim ids start with ``run_id``."""
        self._run_id = run_id
        self._count = 0
        self._by_request: dict[str, PendingRequest] = {}
        self._by_claim: dict[str, PendingRequest] = {}

    def __iter__(self) -> Iterator[PendingRequest]:
        """Iterate over a copy, so that tickets may be closed meanwhile."""
        return iter(tuple(self._by_request.values()))

    def add(self, req: ClaimRequest, read_offset: int) -> PendingRequest:
        """Return a new ticket with a claim id of its own."""
        self._count += 1
        pending = PendingRequest(
            req, f'{self._run_id}:{self._count}', read_offset
        )
        self._by_request[req.request_id] = pending
        self._by_claim[pending.claim_id] = pending
        return pending

    def get(self, request_id: str) -> PendingRequest | None:
        """Return the ticket of a request that is not closed."""
        return self._by_request.get(request_id)

    def by_claim(self, claim_id: str) -> PendingRequest | None:
        """Return the ticket of a claim whose request is not closed."""
        return self._by_claim.get(claim_id)

    def has_concurrent(self, pending: PendingRequest) -> bool:
        """Tell whether another open ticket here is for the same key."""
        return any(
            other is not pending and other.req.owner == pending.req.owner
            for other in self._by_request.values()
        )

    def close(self, pending: PendingRequest) -> None:
        """Forget a ticket: this entry will not send its request any more."""
        pending.state = RequestState.CLOSED
        self._by_request.pop(pending.req.request_id, None)
        self._by_claim.pop(pending.claim_id, None)


def require_not_run(pending: PendingRequest) -> None:
    """Assert that a request about to be called not run was not sent."""
    require(
        Invariant.NOT_RUN_IS_TRUE,
        not pending.may_have_run,
        f'claim {pending.claim_id} may have run',
    )
