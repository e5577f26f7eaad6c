"""Service calls that run at most once for each idempotency key."""

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
    'This request must not be repeated and needs an Idempotency-Key that '
    'contains its creation time, such as a UUID of version 7.',
)
ANSWER_NOT_KEPT = Refusal(
    ErrorCode.ANSWER_NOT_KEPT,
    'The request ran before, but its answer was too large to be stored.',
    RunState.RAN,
)


class ClaimedCalls:
    """Send a call once its claim is the first on its key in the log."""

    def __init__(
        self,
        board: Blackboard,
        claims: ClaimLoop,
        calls: ServiceCalls,
    ) -> None:
        """Use ``claims`` for the decisions and ``calls`` for the sending."""
        self._board = board
        self._claims = claims
        self._calls = calls

    async def run(
        self,
        service: Service,
        granted: Access,
        req: ServiceRequest,
    ) -> ServiceOutcome:
        """Run a call at most once; on a retry, return the stored outcome."""
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
        return _outcome_of(decision)

    def _claim_request(
        self,
        service: Service,
        req: ServiceRequest,
        key: str,
    ) -> ClaimRequest:
        return ClaimRequest(
            req.request_id,
            KeyOwner(req.caller.account, key),
            _request_digest(req),
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
        send_permit = self._claims.manager.authorize_send(now, req.request_id)
        if not isinstance(send_permit, Success):
            return Failure(send_permit.failure())
        self._board.record(
            EventKind.SERVICE_SENT, req.request_id, endpoint.name
        )
        answer = await self._calls.call_once(
            endpoint, _service_call(req, send_permit.unwrap())
        )
        if isinstance(answer, Success):
            self._record_answer(req, answer.unwrap())
            return answer
        return self._handle_failure(req, answer.failure())

    def _record_answer(
        self, req: ServiceRequest, answer: ServiceResponse
    ) -> None:
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

    def _handle_failure(
        self, req: ServiceRequest, error: PlatformError
    ) -> Decision:
        if error.fault is PlatformFault.UNREACHABLE:
            self._claims.manager.handle_not_executed(req.request_id)
            return MayRun(req.request_id)
        return self._claims.manager.handle_lost_response(req.request_id)


def _service_call(req: ServiceRequest, send_permit: SendPermit) -> ServiceCall:
    return ServiceCall(
        req.method,
        req.path,
        req.body,
        req.content_type,
        send_permit.key,
        send_permit.fence,
    )


def _request_digest(req: ServiceRequest) -> bytes:
    hasher = hashlib.sha256()
    for part in (req.service, req.method, req.path, req.content_type):
        hasher.update(part.encode())
        hasher.update(b'\0')
    hasher.update(req.body)
    return hasher.digest()


def _outcome_of(decision: Decision) -> ServiceOutcome:
    if isinstance(decision, Refuse):
        return Failure(decision.refusal)
    if isinstance(decision, MayRun) or not decision.outcome.kept:
        return Failure(ANSWER_NOT_KEPT)
    outcome = decision.outcome
    return Success(
        ServiceResponse(outcome.status, outcome.body, outcome.content_type)
    )
