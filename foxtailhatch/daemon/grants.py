"""Authorization of generate requests, with the plan of their answers."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from foxtailhatch.callers.gateway import GenerateRequest
from foxtailhatch.config import (
    Access,
    Adapter,
    ConfigurationIndex,
    Model,
    evaluate_access,
)
from foxtailhatch.core import ErrorCode, Refusal
from foxtailhatch.pipeline import AnswerPlan

NO_CONFIGURATION = Refusal(
    ErrorCode.NO_CONFIGURATION,
    'This entry has not received a configuration yet.',
    retry_after_s=1.0,
)


@dataclass(frozen=True, slots=True)
class AuthorizedAnswer:
    """The plan of a request, and the access that the selectors grant to it."""

    plan: AnswerPlan
    access: Access


def authorize_answer(
    index: ConfigurationIndex | None,
    req: GenerateRequest,
    blocks: Callable[[tuple[int, ...]], tuple[str, ...]],
) -> Result[AuthorizedAnswer, Refusal]:
    """Return the plan of a request, or the refusal if it is not authorized.

    ``hash_blocks`` returns the chained digests of a prompt's blocks.
    """
    if index is None:
        return Failure(NO_CONFIGURATION)
    target = index.targets.get(req.model)
    model = _model_of(index, target)
    if model is None:
        return Failure(_unknown_model(req.model))
    granted = evaluate_access(index, req.caller, req.model)
    if granted is None:
        return Failure(_forbidden(req.model))
    plan = AnswerPlan(
        stream=req.request_id,
        model=model.name,
        version=model.version,
        layer_count=model.layers,
        prompt=req.prompt,
        max_tokens=req.max_tokens,
        received=req.received,
        priority=granted.priority,
        repeatable=granted.repeatable,
        adapter=target.name if isinstance(target, Adapter) else None,
        blocks=blocks(req.prompt),
    )
    return Success(AuthorizedAnswer(plan, granted))


def _model_of(index: ConfigurationIndex, target: object) -> Model | None:
    if isinstance(target, Adapter):
        target = index.targets.get(target.model)
    return target if isinstance(target, Model) else None


def _unknown_model(name: str) -> Refusal:
    return Refusal(
        ErrorCode.UNKNOWN_MODEL,
        f'There is no model named {name}.',
    )


def _forbidden(name: str) -> Refusal:
    return Refusal(
        ErrorCode.FORBIDDEN,
        f'No selector lets this caller reach {name}.',
    )
