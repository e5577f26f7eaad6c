"""Frames that an entry and an engine exchange in a session.

A session is a pair of long-lived HTTP streams between one entry and one
engine, shared by the frames of many answers.  Every frame of an answer holds
its ``stream`` and ``attempt``, so that late frames of an earlier attempt are
recognized and dropped.
"""

from dataclasses import dataclass
from enum import StrEnum

from foxtailhatch.core import LayerRange

Activation = str


@dataclass(frozen=True, slots=True)
class OpenStage:
    """Request that an engine runs ``layers`` of a model for one stream.

    A higher ``attempt`` of a known stream replaces the lower one and reuses
    the part of the KV cache that the engine still holds.  ``prompt`` is the
    digest chain of the prompt's blocks, by which the engine finds a cached
    prefix.  A higher ``priority`` is more important.
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
    """Run the stage for the positions from ``position`` on.

    The first stage receives ``tokens``, the others ``activations``, one for
    each position.  The engine must hold at least ``position`` positions; it
    drops those above before the step.
    """

    stream: str
    attempt: int
    position: int
    tokens: tuple[int, ...] = ()
    activations: tuple[Activation, ...] = ()


@dataclass(frozen=True, slots=True)
class CancelStage:
    """Drop a stream and everything that the engine holds for it."""

    stream: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Request a :class:`Pong` with the same number."""

    number: int


UpFrame = OpenStage | StepStage | CancelStage | Ping


@dataclass(frozen=True, slots=True)
class StageOpened:
    """The stage is open; ``cached`` of its positions need no prefill."""

    stream: str
    attempt: int
    layers: LayerRange
    cached: int


@dataclass(frozen=True, slots=True)
class StageOutput:
    """The outputs of a step for the positions from ``position`` on.

    A stage that ends below the last layer of the model returns one activation
    for each position.  The last stage returns no activations but ``token``,
    which follows the last position of the step; ``end`` is true for the
    model's end-of-sequence token.
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
    """The engine refused a frame of this attempt and ran no part of it."""

    stream: str
    attempt: int
    fault: StageFault
    message: str = ''


@dataclass(frozen=True, slots=True)
class Pong:
    """The reply to a :class:`Ping`."""

    number: int


DownFrame = StageOpened | StageOutput | StageRefused | Pong
