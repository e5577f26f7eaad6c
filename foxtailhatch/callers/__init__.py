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
from foxtailhatch.callers.operations import (
    ConfigurationInForce,
    FaultyDocument,
    MarkRequest,
    Operations,
    OperatorAccess,
    PublishConflict,
    PublishedVersion,
    PublishRefusal,
    PublishRequest,
)
from foxtailhatch.callers.site import build_site

__all__ = [
    'AnswerSink',
    'ConfigurationInForce',
    'EntryAdvice',
    'FaultyDocument',
    'FinishReason',
    'FrontLimits',
    'Gateway',
    'GenerateRequest',
    'MarkRequest',
    'Observability',
    'Operations',
    'OperatorAccess',
    'PublishConflict',
    'PublishRefusal',
    'PublishRequest',
    'PublishedVersion',
    'ReachableModel',
    'RunningAnswer',
    'ServiceRequest',
    'build_site',
]
