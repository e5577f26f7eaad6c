"""One answer over its stages, as a state machine without I/O."""

from foxtailhatch.pipeline.actions import (
    Action,
    AnswerFailed,
    AnswerFinished,
    AnswerRecovered,
    ChainStarted,
    DeliverToken,
    SendFrame,
    StageDenied,
    StageReady,
    StepAnswered,
)
from foxtailhatch.pipeline.answer import AnswerRun
from foxtailhatch.pipeline.plan import (
    AnswerPlan,
    ChainSource,
    ChainWish,
    Patience,
)
from foxtailhatch.pipeline.retained import RetainedInputs

__all__ = [
    'Action',
    'AnswerFailed',
    'AnswerFinished',
    'AnswerPlan',
    'AnswerRecovered',
    'AnswerRun',
    'ChainSource',
    'ChainStarted',
    'ChainWish',
    'DeliverToken',
    'Patience',
    'RetainedInputs',
    'SendFrame',
    'StageDenied',
    'StageReady',
    'StepAnswered',
]
