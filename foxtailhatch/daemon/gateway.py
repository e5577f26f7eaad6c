"""The entry's implementation of the gateway that the HTTP front calls."""

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
from foxtailhatch.daemon.grants import NO_CONFIGURATION, authorize_answer
from foxtailhatch.daemon.service_calls import InProgressCount, ServiceCalls
from foxtailhatch.outside import ServiceCall, ServiceResponse

BAD_TOKEN = Refusal(
    ErrorCode.BAD_TOKEN,
    'The bearer token is missing or names no caller.',
)


class RefusedAnswer:
    """The handle of an answer that was refused before its admission.

    There is nothing to cancel or pause, so all methods have no effect.
    """

    def cancel(self) -> None:
        """Do nothing."""

    def pause(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Do nothing."""


class DaemonGateway:
    """Authenticate and authorize requests, and dispatch them."""

    def __init__(
        self,
        board: Blackboard,
        answers: Answers,
        calls: ServiceCalls,
        claimed: ClaimedCalls,
        claimed_answers: ClaimedAnswers,
        hash_blocks: Callable[[tuple[int, ...]], tuple[str, ...]],
        call_soon: Callable[[Callable[[], None]], object],
    ) -> None:
        """Dispatch to ``answers`` and ``calls``, or to their claimed variants.

        ``hash_blocks`` returns the chained digests of a prompt's blocks;
        ``call_soon`` runs a function in the next iteration of the loop.
        """
        self._board = board
        self._answers = answers
        self._calls = calls
        self._claimed = claimed
        self._claimed_answers = claimed_answers
        self._hash_blocks = hash_blocks
        self._calls_in_progress: Counter[str] = Counter()
        self._call_soon = call_soon

    def authenticate(self, token: str) -> Result[Caller, Refusal]:
        """Return the caller that a bearer token belongs to."""
        index = self._board.index
        if index is None:
            return Failure(NO_CONFIGURATION)
        caller = find_caller(index, token)
        return Failure(BAD_TOKEN) if caller is None else Success(caller)

    def models(self, caller: Caller) -> Sequence[ReachableModel]:
        """Return the models that the caller may use, sorted by name."""
        index = self._board.index
        if index is None:
            return ()
        return tuple(
            _reachable_model(index, model)
            for model in reachable_models(index, caller)
        )

    def recommend_entries(
        self, availability_zone: str | None
    ) -> EntryRecommendation:
        """Return the recommended entries, by the caller's zone if known."""
        return self._board.entries.advise(
            availability_zone, self._answers.now()
        )

    def generate(
        self,
        req: GenerateRequest,
        sink: AnswerSink,
    ) -> RunningAnswer:
        """Admit and run a request; ``sink`` receives refusals as well."""
        result = authorize_answer(self._board.index, req, self._hash_blocks)
        refusal = self._shutdown_refusal()
        if not isinstance(result, Success):
            return self._refuse(result.failure(), sink)
        authorized = result.unwrap()
        if authorized.plan.repeatable and refusal is None:
            return self._answers.admit(req, authorized, sink)
        if refusal is None:
            return self._claimed_answers.run(req, authorized, sink)
        if not authorized.plan.repeatable:
            refusal = refusal_without_claim(refusal, req.key, req.first_try)
        return self._refuse(refusal, sink)

    def _refuse(self, refusal: Refusal, sink: AnswerSink) -> RunningAnswer:
        # Deferred, so that the front has its handle before the answer ends.
        self._call_soon(lambda: sink.failed(refusal))
        return RefusedAnswer()

    async def call_service(
        self,
        req: ServiceRequest,
    ) -> Result[ServiceResponse, Refusal]:
        """Run one service call, at most once if it must not be repeated."""
        refusal = self._shutdown_refusal()
        if refusal is not None:
            return Failure(
                refusal_without_claim(refusal, req.key, req.first_try)
            )
        with InProgressCount(self._calls_in_progress, req.service):
            return await self._call_service(req)

    def running_calls(self) -> int:
        """Return the number of service calls and undecided claims."""
        return self._calls_in_progress.total() + len(self._claimed_answers)

    async def _call_service(
        self,
        req: ServiceRequest,
    ) -> Result[ServiceResponse, Refusal]:
        result = _authorize_service(self._board.index, req)
        if not isinstance(result, Success):
            return Failure(
                refusal_without_claim(result.failure(), req.key, req.first_try)
            )
        service, granted = result.unwrap()
        call = ServiceCall(
            req.method, req.path, req.body, req.content_type, req.key
        )
        if requires_at_most_once(service, granted, req.method, req.path):
            return await self._claimed.run(service, granted, req)
        return await self._calls.call_with_retries(service, granted, call)

    def _shutdown_refusal(self) -> Refusal | None:
        now = self._answers.now()
        if self._board.stop.accepts_requests(now):
            return None
        advice = self._board.entries.advise(None, now)
        return self._board.stop.refusal(advice.addresses, now)


def _reachable_model(
    index: ConfigurationIndex, target: object
) -> ReachableModel:
    if isinstance(target, Adapter):
        base = index.targets.get(target.model)
        return ReachableModel(target.name, getattr(base, 'version', ''))
    return ReachableModel(
        getattr(target, 'name', ''), getattr(target, 'version', '')
    )


def _authorize_service(
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
