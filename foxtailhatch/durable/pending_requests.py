"""The requests of an entry between arrival and outcome."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import Invariant, check_invariant
from foxtailhatch.durable.claim_requests import ClaimRequest


class RequestState(StrEnum):
    """The state of a request.

    ``CLAIMING`` waits to read its own claim, ``WAITING`` waits for the
    outcome of another claim, ``READY`` may be sent, ``SENT`` was sent, and
    ``CLOSED`` will not be sent by this entry any more.
    """

    CLAIMING = 'claiming'
    WAITING = 'waiting'
    READY = 'held'
    SENT = 'sent'
    CLOSED = 'closed'


@dataclass(slots=True)
class PendingRequest:
    """One request between arrival and outcome.

    ``read_offset`` is as in the claim, ``fence`` the offset of the claim once
    it holds the key.  ``may_have_run`` is true from a send until it is
    certain that the service did not execute it; ``lost_responses`` counts the
    sends whose response was lost.
    """

    req: ClaimRequest
    claim_id: str
    read_offset: int
    state: RequestState = RequestState.CLAIMING
    fence: int | None = None
    may_have_run: bool = False
    lost_responses: int = 0

    @property
    def is_undecided(self) -> bool:
        """Return whether the request still waits for a decision."""
        return self.state in {RequestState.CLAIMING, RequestState.WAITING}

    @property
    def may_send(self) -> bool:
        """Return whether the request may be sent, or sent again."""
        if self.state is RequestState.SENT:
            return self.req.checks_key
        return self.state is RequestState.READY


class PendingRequests:
    """The pending requests of one claim stream, by request and by claim."""

    def __init__(self, run_id: str) -> None:
        """Start empty; claim ids start with ``run_id``."""
        self._run_id = run_id
        self._count = 0
        self._by_request: dict[str, PendingRequest] = {}
        self._by_claim: dict[str, PendingRequest] = {}

    def __iter__(self) -> Iterator[PendingRequest]:
        """Iterate over a copy, so that requests may be closed meanwhile."""
        return iter(tuple(self._by_request.values()))

    def add(self, req: ClaimRequest, read_offset: int) -> PendingRequest:
        """Add a request under a new claim id and return it."""
        self._count += 1
        pending = PendingRequest(
            req, f'{self._run_id}:{self._count}', read_offset
        )
        self._by_request[req.request_id] = pending
        self._by_claim[pending.claim_id] = pending
        return pending

    def get(self, request_id: str) -> PendingRequest | None:
        """Return the pending request with this id, if it is not closed."""
        return self._by_request.get(request_id)

    def by_claim(self, claim_id: str) -> PendingRequest | None:
        """Return the pending request of a claim, if it is not closed."""
        return self._by_claim.get(claim_id)

    def has_concurrent(self, pending: PendingRequest) -> bool:
        """Return whether another pending request here has the same key."""
        return any(
            other is not pending and other.req.owner == pending.req.owner
            for other in self._by_request.values()
        )

    def close(self, pending: PendingRequest) -> None:
        """Close and remove a request that this entry will not send again."""
        pending.state = RequestState.CLOSED
        self._by_request.pop(pending.req.request_id, None)
        self._by_claim.pop(pending.claim_id, None)


def require_not_run(pending: PendingRequest) -> None:
    """Assert that a request to be reported as not run was not sent."""
    check_invariant(
        Invariant.NOT_RUN_IS_ACCURATE,
        not pending.may_have_run,
        f'expected claim {pending.claim_id} not to have run, but it may have',
    )
