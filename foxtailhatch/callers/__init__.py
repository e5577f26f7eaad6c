"""The HTTP front towards callers, and what it asks of the daemon."""

from foxtailhatch.callers.gateway import (
    AnswerSink,
    EntryAdvice,
    FinishReason,
    Gateway,
    GenerateRequest,
    ReachableModel,
    RunningAnswer,
    ServiceRequest,
)

__all__ = [
    'AnswerSink',
    'EntryAdvice',
    'FinishReason',
    'Gateway',
    'GenerateRequest',
    'ReachableModel',
    'RunningAnswer',
    'ServiceRequest',
]
