"""The HTTP front towards callers, and what it asks of the daemon."""

from foxtailhatch.callers.front import FrontLimits, Observability
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
from foxtailhatch.callers.site import build_site

__all__ = [
    'AnswerSink',
    'EntryAdvice',
    'FinishReason',
    'FrontLimits',
    'Gateway',
    'GenerateRequest',
    'Observability',
    'ReachableModel',
    'RunningAnswer',
    'ServiceRequest',
    'build_site',
]
