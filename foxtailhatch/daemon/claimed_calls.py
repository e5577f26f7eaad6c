"""Calls of plain services that run at most once."""

import hashlib

from returns.result import Failure, Result, Success

from foxtailhatch.callers.gateway import ServiceRequest
from foxtailhatch.config import Access, Service
from foxtailhatch.core import (
    Endpoint,
    ErrorCode,
    EventKind,
    Refusal,
    RunState,
)
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.claim_loop import ClaimLoop
from foxtailhatch.daemon.service_calls import ServiceCalls, ServiceOutcome
from foxtailhatch.durable import (
    ClaimRequest,
    Decision,
    KeyOwner,
    MayRun,
    Outcome,
    Refuse,
    SendPermit,
)
from foxtailhatch.outside import (
    PlatformError,
    PlatformFault,
    ServiceCall,
    ServiceResponse,
)

CLAIM_WAIT_S = 10.0

KEY_REQUIRED = Refusal(
    ErrorCode.KEY_REQUIRED,
    'This call may not repeat: give it an Idempotency-Key that tells when it '
    'was made, such as a UUID of version 7.',
)
ANSWER_NOT_KEPT = Refusal(
    ErrorCode.ANSWER_NOT_KEPT,
    'The request ran before; its answer was too large to be kept.',
    RunState.RAN,
)


class ClaimedCalls:
    """Send a call once its claim is first in the log's order."""

    def __init__(
        self,
        board: Blackboard,
        claims: ClaimLoop,
        calls: ServiceCalls,
    ) -> None:
        """Join the parts."""
        self._board = board
        self._claims = claims
        self._calls = calls

    async def run(
        self,
        service: Service,
        granted: Access,
        req: ServiceRequest,
    ) -> ServiceOutcome:
        """Run a call at most once, or return the first one's outcome."""
        if req.key is None:
            return Failure(KEY_REQUIRED)
        decision = await self._claims.decide(
            self._claim_request(service, req, req.key),
        )
        self._board.metrics.count_claim(type(decision).__name__.lower())
        self._board.record(
            EventKind.CLAIM_DECIDED,
            req.request_id,
            type(decision).__name__,
        )
        tried: list[str] = []
        while isinstance(decision, MayRun):
            now = self._calls.now()
            endpoint = self._calls.selector.select(service, granted, tried, now)
            if endpoint is None:
                decision = self._claims.manager.release(req.request_id)
                break
            tried.append(endpoint.name)
            sent = await self._send(endpoint, req)
            if isinstance(sent, Result):
                return sent
            decision = sent
        return _settled(decision)

    def _claim_request(
        self,
        service: Service,
        req: ServiceRequest,
        key: str,
    ) -> ClaimRequest:
        return ClaimRequest(
            req.request_id,
            KeyOwner(req.caller.account, key),
            _digest(req),
            self._board.wall_time() + CLAIM_WAIT_S,
            req.first_try,
            service.checks_key,
        )

    async def _send(
        self,
        endpoint: Endpoint,
        req: ServiceRequest,
    ) -> Decision | Result[ServiceResponse, Refusal]:
        now = self._board.wall_time()
        right = self._claims.manager.authorise_send(now, req.request_id)
        if not isinstance(right, Success):
            return Failure(right.failure())
        self._board.record(
            EventKind.SERVICE_SENT, req.request_id, endpoint.name
        )
        answer = await self._calls.call_once(
            endpoint, _call(req, right.unwrap())
        )
        if isinstance(answer, Success):
            self._answered(req, answer.unwrap())
            return answer
        return self._failed(req, answer.failure())

    def _answered(self, req: ServiceRequest, answer: ServiceResponse) -> None:
        outcome = Outcome(
            RunState.RAN,
            answer.status,
            answer.content_type,
            answer.body,
        )
        self._claims.manager.record_outcome(req.request_id, outcome)
        self._board.record(
            EventKind.SERVICE_ANSWERED,
            req.request_id,
            str(answer.status),
        )

    def _failed(self, req: ServiceRequest, error: PlatformError) -> Decision:
        if error.fault is PlatformFault.UNREACHABLE:
            self._claims.manager.handle_not_executed(req.request_id)
            return MayRun(req.request_id)
        return self._claims.manager.handle_lost_response(req.request_id)


def _call(req: ServiceRequest, right: SendPermit) -> ServiceCall:
    return ServiceCall(
        req.method,
        req.path,
        req.body,
        req.content_type,
        right.key,
        right.fence,
    )


def _digest(req: ServiceRequest) -> bytes:
    told = hashlib.sha256()
    for part in (req.service, req.method, req.path, req.content_type):
        told.update(part.encode())
        told.update(b'\0')
    told.update(req.body)
    return told.digest()


def _settled(decision: Decision) -> ServiceOutcome:
    if isinstance(decision, Refuse):
        return Failure(decision.refusal)
    if isinstance(decision, MayRun) or not decision.outcome.kept:
        return Failure(ANSWER_NOT_KEPT)
    first = decision.outcome
    return Success(
        ServiceResponse(first.status, first.body, first.content_type)
    )
