"""What an answer asks of whoever drives it."""

from dataclasses import dataclass

from foxtailhatch.callers.gateway import FinishReason
from foxtailhatch.core import Chain, Refusal
from foxtailhatch.outside.frames import StageFault, UpFrame


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Send a frame on the session with an endpoint."""

    endpoint: str
    frame: UpFrame


@dataclass(frozen=True, slots=True)
class ChainStarted:
    """An attempt begins on a chain; attempts count from 1."""

    chain: Chain
    attempt: int


@dataclass(frozen=True, slots=True)
class StageReady:
    """An endpoint opened its stage and holds ``cached`` positions of it."""

    endpoint: str
    cached: int


@dataclass(frozen=True, slots=True)
class StageDenied:
    """An endpoint refused a frame of its stage."""

    endpoint: str
    fault: StageFault


@dataclass(frozen=True, slots=True)
class StepAnswered:
    """A stage of ``layers`` layers answered a step after ``seconds``."""

    endpoint: str
    layers: int
    positions: int
    seconds: float


@dataclass(frozen=True, slots=True)
class DeliverToken:
    """Hand the answer's token number ``index`` to the caller."""

    index: int
    token: int


@dataclass(frozen=True, slots=True)
class AnswerRecovered:
    """The next token came ``seconds`` after a stage was lost or stalled."""

    seconds: float


@dataclass(frozen=True, slots=True)
class AnswerFinished:
    """The answer is complete."""

    reason: FinishReason


@dataclass(frozen=True, slots=True)
class AnswerFailed:
    """The answer ends without being complete."""

    refusal: Refusal


Action = (
    SendFrame
    | ChainStarted
    | StageReady
    | StageDenied
    | StepAnswered
    | DeliverToken
    | AnswerRecovered
    | AnswerFinished
    | AnswerFailed
)
