"""Actions that an :class:`AnswerRun` returns for its driver to carry out."""

from dataclasses import dataclass

from foxtailhatch.callers.gateway import FinishReason
from foxtailhatch.core import Chain, Refusal
from foxtailhatch.outside.frames import StageFault, UpFrame


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Send ``frame`` on the session with ``endpoint``."""

    endpoint: str
    frame: UpFrame


@dataclass(frozen=True, slots=True)
class ChainStarted:
    """An attempt was started on ``chain``; attempts are numbered from 1."""

    chain: Chain
    attempt: int


@dataclass(frozen=True, slots=True)
class StageReady:
    """An endpoint opened its stage with ``cached`` positions in its KV cache."""

    endpoint: str
    cached: int


@dataclass(frozen=True, slots=True)
class StageDenied:
    """An endpoint refused a frame of its stage because of ``fault``."""

    endpoint: str
    fault: StageFault


@dataclass(frozen=True, slots=True)
class StepCompleted:
    """A stage completed a step.

    ``layers`` is the number of layers of the stage, ``positions`` the number
    of positions of the step, ``seconds`` the time since the step was sent.
    """

    endpoint: str
    layers: int
    positions: int
    seconds: float


@dataclass(frozen=True, slots=True)
class DeliverToken:
    """Deliver the answer's token number ``index``, counted from 0."""

    index: int
    token: int


@dataclass(frozen=True, slots=True)
class AnswerRecovered:
    """The answer resumed ``seconds`` after a stage was lost or stalled."""

    seconds: float


@dataclass(frozen=True, slots=True)
class AnswerFinished:
    """The answer is complete."""

    reason: FinishReason


@dataclass(frozen=True, slots=True)
class AnswerFailed:
    """The answer failed; ``refusal`` states the error and what has run."""

    refusal: Refusal


Action = (
    SendFrame
    | ChainStarted
    | StageReady
    | StageDenied
    | StepCompleted
    | DeliverToken
    | AnswerRecovered
    | AnswerFinished
    | AnswerFailed
)
