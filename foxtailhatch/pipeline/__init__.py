"""Pipelined execution of one answer, as a state machine without I/O."""

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
    StepCompleted,
)
from foxtailhatch.pipeline.answer import AnswerRun
from foxtailhatch.pipeline.plan import (
    AnswerPlan,
    ChainRequest,
    ChainSource,
    StallPolicy,
)
from foxtailhatch.pipeline.retained_inputs import RetainedInputs

__all__ = [
    'Action',
    'AnswerFailed',
    'AnswerFinished',
    'AnswerPlan',
    'AnswerRecovered',
    'AnswerRun',
    'ChainSource',
    'ChainStarted',
    'ChainRequest',
    'DeliverToken',
    'StallPolicy',
    'RetainedInputs',
    'SendFrame',
    'StageDenied',
    'StageReady',
    'StepCompleted',
]
