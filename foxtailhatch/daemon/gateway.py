"""The daemon as the HTTP front sees it."""

from collections import Counter
from collections.abc import Callable, Sequence

from returns.result import Failure, Result, Success

from foxtailhatch.callers.gateway import (
    AnswerSink,
    EntryRecommendation,
    GenerateRequest,
    ReachableModel,
    RunningAnswer,
    ServiceRequest,
)
from foxtailhatch.callers.unclaimed_refusals import refusal_without_claim
from foxtailhatch.config import (
    Access,
    Adapter,
    ConfigurationIndex,
    Service,
    evaluate_access,
    find_caller,
    reachable_models,
    requires_at_most_once,
)
from foxtailhatch.core import Caller, ErrorCode, Refusal
from foxtailhatch.daemon.answers import Answers
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.claimed_answers import ClaimedAnswers
from foxtailhatch.daemon.claimed_calls import ClaimedCalls
from foxtailhatch.daemon.grants import NO_CONFIGURATION, grant_answer
from foxtailhatch.daemon.service_calls import InProgressCount, ServiceCalls
from foxtailhatch.outside import ServiceCall, ServiceResponse

BAD_TOKEN = Refusal(
    ErrorCode.BAD_TOKEN,
    'The bearer token is missing or names no caller.',
)


class EndedAnswer:
    """The handle of an answer that was refused at once."""

    def cancel(self) -> None:
        """Do nothing."""

    def pause(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Do nothing."""


class DaemonGateway:
    """Check who asks for what, and pass it on to the part that runs it."""

    def __init__(
        self,
        board: Blackboard,
        answers: Answers,
        calls: ServiceCalls,
        claimed: ClaimedCalls,
        claimed_answers: ClaimedAnswers,
        blocks: Callable[[tuple[int, ...]], tuple[str, ...]],
        later: Callable[[Callable[[], None]], object],
    ) -> None:
        """Join the parts; ``later`` runs a call in the next loop turn."""
        self._board = board
        self._answers = answers
        self._calls = calls
        self._claimed = claimed
        self._claimed_answers = claimed_answers
        self._blocks = blocks
        self._running: Counter[str] = Counter()
        self._later = later

    def authenticate(self, token: str) -> Result[Caller, Refusal]:
        """Return the caller that a bearer token names."""
        index = self._board.index
        if index is None:
            return Failure(NO_CONFIGURATION)
        caller = find_caller(index, token)
        return Failure(BAD_TOKEN) if caller is None else Success(caller)

    def models(self, caller: Caller) -> Sequence[ReachableModel]:
        """Return the models the caller may reach, sorted by name."""
        index = self._board.index
        if index is None:
            return ()
        return tuple(
            _reachable(index, model)
            for model in reachable_models(index, caller)
        )

    def recommend_entries(
        self, availability_zone: str | None
    ) -> EntryRecommendation:
        """Return the entries to use, for a caller in a zone if known."""
        return self._board.entries.advise(
            availability_zone, self._answers.now()
        )

    def generate(
        self,
        req: GenerateRequest,
        sink: AnswerSink,
    ) -> RunningAnswer:
        """Admit and run a request; refusals go to the sink too."""
        found = grant_answer(self._board.index, req, self._blocks)
        refusal = self._stopping()
        if not isinstance(found, Success):
            return self._refuse(found.failure(), sink)
        granted = found.unwrap()
        if granted.plan.repeatable and refusal is None:
            return self._answers.admit(req, granted, sink)
        if refusal is None:
            return self._claimed_answers.run(req, granted, sink)
        if not granted.plan.repeatable:
            refusal = refusal_without_claim(refusal, req.key, req.first_try)
        return self._refuse(refusal, sink)

    def _refuse(self, refusal: Refusal, sink: AnswerSink) -> RunningAnswer:
        # The front gets its handle before it hears of the end.
        self._later(lambda: sink.failed(refusal))
        return EndedAnswer()

    async def call_service(
        self,
        req: ServiceRequest,
    ) -> Result[ServiceResponse, Refusal]:
        """Run one call of a plain service."""
        refusal = self._stopping()
        if refusal is not None:
            return Failure(
                refusal_without_claim(refusal, req.key, req.first_try)
            )
        with InProgressCount(self._running, req.service):
            return await self._call_service(req)

    def running_calls(self) -> int:
        """Return the number of service calls and claims in progress."""
        return self._running.total() + len(self._claimed_answers)

    async def _call_service(
        self,
        req: ServiceRequest,
    ) -> Result[ServiceResponse, Refusal]:
        found = _granted_service(self._board.index, req)
        if not isinstance(found, Success):
            return Failure(
                refusal_without_claim(found.failure(), req.key, req.first_try)
            )
        service, granted = found.unwrap()
        call = ServiceCall(
            req.method, req.path, req.body, req.content_type, req.key
        )
        if requires_at_most_once(service, granted, req.method, req.path):
            return await self._claimed.run(service, granted, req)
        return await self._calls.call_with_retries(service, granted, call)

    def _stopping(self) -> Refusal | None:
        now = self._answers.now()
        if self._board.stop.accepts_requests(now):
            return None
        advice = self._board.entries.advise(None, now)
        return self._board.stop.refusal(advice.addresses, now)


def _reachable(index: ConfigurationIndex, target: object) -> ReachableModel:
    if isinstance(target, Adapter):
        base = index.targets.get(target.model)
        return ReachableModel(target.name, getattr(base, 'version', ''))
    return ReachableModel(
        getattr(target, 'name', ''), getattr(target, 'version', '')
    )


def _granted_service(
    index: ConfigurationIndex | None,
    req: ServiceRequest,
) -> Result[tuple[Service, Access], Refusal]:
    if index is None:
        return Failure(NO_CONFIGURATION)
    service = index.targets.get(req.service)
    if not isinstance(service, Service):
        return Failure(
            Refusal(
                ErrorCode.UNKNOWN_SERVICE,
                f'There is no service named {req.service}.',
            )
        )
    granted = evaluate_access(index, req.caller, req.service)
    if granted is None:
        return Failure(
            Refusal(
                ErrorCode.FORBIDDEN,
                f'No selector lets this caller reach {req.service}.',
            )
        )
    return Success((service, granted))
