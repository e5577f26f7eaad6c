"""The frames that an entry and an engine exchange on one session.

A session is one pair of long-lived HTTP streams between one entry and one
engine; frames of many answers share it.  Every frame about an answer carries
the answer's ``stream`` and its ``attempt``, so that late frames of an earlier
attempt can be told apart and dropped.
"""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import LayerRange

Activation = str


@dataclass(frozen=True, slots=True)
class OpenStage:
    """Ask an engine to run ``layers`` of one model for one stream.

    A higher ``attempt`` for a known stream takes the place of the lower one
    and resumes what the engine still holds of its KV cache.  ``prompt`` is
    the digest chain of the prompt's blocks, by which the engine finds a cached
    prefix.  ``priority`` grows with importance.
    """

    stream: str
    attempt: int
    model: str
    version: str
    layers: LayerRange
    adapter: str | None = None
    priority: int = 0
    prompt: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StepStage:
    """Run the stage over positions ``position`` and following.

    The first stage gets ``tokens``, the others get ``activations``, one for
    each position.  The engine must hold exactly ``position`` positions, or
    more, in which case it drops the surplus first.
    """

    stream: str
    attempt: int
    position: int
    tokens: tuple[int, ...] = ()
    activations: tuple[Activation, ...] = ()


@dataclass(frozen=True, slots=True)
class CancelStage:
    """Drop a stream and all that the engine holds for it."""

    stream: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask for a :class:`Pong` with the same number."""

    number: int


UpFrame = OpenStage | StepStage | CancelStage | Ping


@dataclass(frozen=True, slots=True)
class StageOpened:
    """The stage is open and ``cached`` positions of it need no prefill."""

    stream: str
    attempt: int
    layers: LayerRange
    cached: int


@dataclass(frozen=True, slots=True)
class StageOutput:
    """The outputs of a step, for positions ``position`` and following.

    A stage that ends below the model's last layer gives one activation for
    each position.  The last stage gives ``token``, the one that follows the
    step's last position, and no activations; ``end`` says that this token is
    the model's end of answer.
    """

    stream: str
    attempt: int
    layers: LayerRange
    position: int
    activations: tuple[Activation, ...] = ()
    token: int | None = None
    end: bool = False


class StageFault(StrEnum):
    """Why an engine refused a frame."""

    WRONG_HOLDING = 'wrong_holding'
    FULL = 'full'
    LEAVING = 'leaving'
    STALE_ATTEMPT = 'stale_attempt'
    UNKNOWN_STREAM = 'unknown_stream'
    BAD_POSITION = 'bad_position'


@dataclass(frozen=True, slots=True)
class StageRefused:
    """The engine refused a frame of this attempt; nothing of it was run."""

    stream: str
    attempt: int
    fault: StageFault
    message: str = ''


@dataclass(frozen=True, slots=True)
class Pong:
    """The answer to a :class:`Ping`."""

    number: int


DownFrame = StageOpened | StageOutput | StageRefused | Pong
